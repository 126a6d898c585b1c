//! Stand-ins for the platform's services and for workers.
//!
//! They exist for tests and measurements: small, in memory, and with faults
//! that can be switched on. Each worker records its starts and ends in a ledger
//! that the scheduler never writes to. Checks of the scheduler's guarantees use
//! these ledgers, so that they don't depend on its own records.

pub mod args;
mod checkpoints;
mod error;
mod faults;
mod ledger;
mod members_file;
mod platform;
mod platform_http;
mod sim;
mod slowdown;
mod target;
mod worker_http;

pub use checkpoints::{Checkpoints, MemoryCheckpoints, StoredCheckpoints};
pub use error::StandError;
pub use faults::{PlatformFaults, WorkerFaults};
pub use ledger::{Entry, EntryKind, Ledger, LedgerError};
pub use members_file::send_members;
pub use platform::Platform;
pub use platform_http::{ZoneEndpoint, serve_platform};
pub use sim::{SimSettings, SimWorker};
pub use slowdown::Slowdown;
pub use target::{SimTarget, answer_body};
pub use worker_http::{WorkerServer, serve_worker};
