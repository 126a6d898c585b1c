//! Load generation, trial runs and measurements for tests. Not used in operation.
//!
//! This is the only program that starts other programs. It runs the system's processes with
//! stand-ins for the platform and the workers on one host, and verifies the system's guarantees
//! against the workers' ledgers.

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
