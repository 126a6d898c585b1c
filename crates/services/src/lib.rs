//! Clients of the platform's services and of workers.
//!
//! Programs use the services through traits, so that tests can replace them by
//! fakes. The HTTP clients bound the time of each call. Calls to the table
//! service and messages sent by [`post`] distinguish failures without an effect
//! from failures whose effect is unknown.

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
