//! A shard with its owners, its journal and its workers, in no real time.
//!
//! Owners are the real machines with the real lease logic; the journal is a
//! list of records behind a row with a version; workers are the stand-ins,
//! whose ledger is what promises are judged by.

#![expect(dead_code, reason = "each test file uses a part")]

mod fault;
pub mod judge;
mod owner;
mod strikes;
pub mod world;

pub use fault::Fault;
pub use judge::check_promises;
pub use world::{World, WorldSettings, spec};
