//! The decision logic of gorsespur, free of I/O, clocks and threads.
//!
//! Each part is a deterministic state machine: every event carries its time,
//! randomness comes from one seeded generator, and collections iterate in a
//! fixed order. The programs drive these state machines from threads; tests
//! and the replay program call them directly.

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

/// A time or duration in milliseconds on the monotonic clock of a process.
pub type Millis = u64;
