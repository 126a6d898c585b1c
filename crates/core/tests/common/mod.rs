//! Simulation of a shard with its owners, its journal and its workers, in virtual time.
//!
//! Owners run the real scheduler and lease logic; the journal is a list of
//! records behind a versioned row; workers are simulated, and their ledger is
//! the ground truth for checking the invariants.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

pub mod checks;
mod fault;
mod injection;
mod owner;
pub mod world;

pub use checks::check_invariants;
pub use fault::Fault;
pub use world::{World, WorldSettings, spec};
