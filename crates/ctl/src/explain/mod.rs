//! `explain` and `losses`: why one job ended as it did, and where the time of all went,
//! out of collected logs.
//!
//! It reads what `gorsespur` instances wrote to standard output, of as many instances as
//! were collected, in any order. Times are the instances' times of day: where clocks
//! differ, lines of different instances may stand in a wrong order.

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
