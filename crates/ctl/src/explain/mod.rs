//! The `explain` and `losses` commands.
//!
//! `explain` shows from collected logs why a job ended as it did; `losses` shows how all jobs
//! spent their time. The input is the standard output of any number of `gorsespur` instances, in
//! any order. Lines are ordered by the wall clocks of the instances: if the clocks differ, lines
//! of different instances can be out of order.

mod cause;
mod line;
pub mod logs;
pub mod losses;
mod show;
pub mod timeline;

pub use cause::Cause;
pub use line::LogLine;
pub(crate) use losses::losses;
pub(crate) use show::explain;
