//! Load, trial runs and measurements, for tests and not for operation.
//!
//! This is the one program that starts others: it runs the system's processes
//! with stand-ins on loopback, and judges promises by the workers' ledgers.

pub mod args;
mod capacity;
mod clients;
pub mod error;
mod fleet;
mod measure;
pub mod program;
mod slopes;
mod trial;
mod verify;
