//! Largest numbers that jobs and workers may state.
//!
//! Callers and workers choose these numbers freely. Within the bounds, sums over the 4,000 tasks of
//! a job or over all workers, and a hundred times such a sum, fit into 64 bits.

/// Largest amount of a resource: thousandths of a core, MB, or accelerators.
pub const MAX_AMOUNT: u64 = 1 << 40;

/// Longest duration, in milliseconds: 34 years.
pub const MAX_DURATION_MS: u64 = 1 << 40;

/// Latest time, in milliseconds since the Unix epoch or on a monotonic clock.
pub const MAX_TIME_MS: u64 = 1 << 50;
