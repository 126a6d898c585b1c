//! The decisions of gorsespur, without I/O, clocks or threads.
//!
//! Each part is a deterministic state machine: time comes in with the event,
//! randomness from one seeded generator, and collections iterate in a fixed
//! order. The programs put threads around the machines; tests and the replay
//! program drive them directly.

pub mod config;
pub mod hashing;
pub mod member;
pub mod name;
pub mod owner;
pub mod placement;
pub mod problem;
pub mod retry;
pub mod route;
pub mod shard;
pub mod size;
pub mod template;

/// Milliseconds on a process's monotonic clock.
pub type Millis = u64;
