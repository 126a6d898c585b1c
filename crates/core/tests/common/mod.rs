//! A shard with its owners, its journal and its workers, in no real time.
//!
//! Owners are the real machines with the real lease logic; the journal is a
//! list of records behind a row with a version; workers are the stand-ins,
//! whose ledger is what promises are judged by.

#![expect(dead_code, reason = "each test file uses a part")]

pub mod checks;
mod fault;
mod injection;
mod owner;
pub mod world;

pub use checks::check_promises;
pub use fault::Fault;
pub use world::{World, WorldSettings, spec};
