//! A node: one instance of the scheduler, which serves the job API and, while it holds the lease,
//! schedules all jobs.
//!
//! All instances run the same code and keep no state of their own. Durable state is in the store,
//! and each response is based on a row there:
//!
//! | fact | row | written by |
//! |---|---|---|
//! | a job is accepted | `jobs`/hash/ID | a write on condition that the row is absent |
//! | a job is cancelled | `jobs`/hash/ID.c | an unconditional write |
//! | the state of a job | `records`/all/ID | the owner's journal |
//! | which tasks run, and which are done | `log`/all/EPOCH.NUMBER.INDEX | the owner's journal |
//! | which instance is the owner | `lease`/all/owner | a write on condition of the version seen |
//! | what new jobs can expect | `figures`/all/owner | with each renewal of the lease |
//! | the head of the journal | `journal`/all/head | each write of the journal, and a takeover |
//!
//! One instance owns the lease and decides about all jobs. A takeover replaces the head of the
//! journal, so that the previous owner's next write fails, and raises the epoch that workers
//! check. Instances exchange no messages; they communicate through the store only.
//!
//! Limits: the owner's CPU bounds the number of starts per second; see docs/CAPACITY.md.

mod admission;
mod admission_control;
#[cfg(test)]
mod admission_control_tests;
#[cfg(test)]
mod admission_tests;
mod candidate;
#[cfg(test)]
mod candidate_tests;
mod census;
#[cfg(test)]
mod census_tests;
mod config;
mod duty;
#[cfg(test)]
mod duty_tests;
mod error;
#[cfg(test)]
mod fakes_tests;
mod follow;
#[cfg(test)]
mod follow_tests;
mod follow_turns;
#[cfg(test)]
mod follow_turns_tests;
mod front;
#[cfg(test)]
mod front_tests;
mod heartbeat;
#[cfg(test)]
mod heartbeat_tests;
mod lease;
#[cfg(test)]
mod lease_tests;
pub mod logging;
#[cfg(test)]
mod logging_tests;
mod long_poll;
#[cfg(test)]
mod long_poll_tests;
mod metrics;
mod owner;
mod program;
mod protocol;
mod returns;
#[cfg(test)]
mod returns_tests;
mod row_limits;
#[cfg(test)]
mod row_limits_tests;
mod rows;
#[cfg(test)]
mod rows_tests;
mod settings;
mod shared;
mod store;
#[cfg(test)]
mod watch_sim_tests;
mod write_limit;
#[cfg(test)]
mod write_limit_tests;

pub use config::{Config, FrontLimits, Queue};
pub use error::NodeError;
pub use program::{Node, run};
pub use protocol::{Order, Protocol, ProtocolError};
pub use settings::NodeSettings;
pub use store::{Changes, Commit, Expect, Page, Range, Row, Store, StoreError, Tx, Write};
