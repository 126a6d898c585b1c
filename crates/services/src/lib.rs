//! Clients of the platform's services and of the workers.
//!
//! The traits are the edges of a process: programs use them, tests put fakes
//! behind them. The HTTP clients bound each call's time and tell apart calls
//! that had no effect from calls whose effect is unknown.

pub mod fake;
mod http_members;
mod http_objects;
mod http_table;
mod http_worker;
mod members;
mod objects;
mod post;
mod rows;
mod table;
mod worker;

pub use http_members::HttpMembers;
pub use http_objects::HttpObjects;
pub use http_table::HttpTable;
pub use http_worker::HttpWorkers;
pub use members::{Members, MembersError};
pub use objects::{ObjectError, Objects};
pub use post::{PostError, post};
pub use rows::Rows;
pub use table::{Table, TableError};
pub use worker::{WorkerError, Workers};
