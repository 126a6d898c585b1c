//! Largest numbers that jobs and workers may state.
//!
//! Callers and workers choose these numbers freely. Within the bounds, sums over the 4,000 tasks of
//! a job or over all workers, and a hundred times such a sum, fit into 64 bits.

use snafu::Snafu;

/// Largest amount of a resource: thousandths of a core, MB, or accelerators.
pub(crate) const MAX_AMOUNT: u64 = 1 << 40;

/// Longest duration, in milliseconds: 34 years.
pub(crate) const MAX_DURATION_MS: u64 = 1 << 40;

/// Latest time, in milliseconds since the Unix epoch or on a monotonic clock.
pub(crate) const MAX_TIME_MS: u64 = 1 << 50;

/// Largest number of an end.
pub(crate) const MAX_END_NUMBER: u64 = 1 << 50;

/// The error for a number beyond its bound.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field} is {value}, more than {max}"))]
pub struct NumberError {
    field: &'static str,
    value: u64,
    max: u64,
}

/// A number that a caller or a worker states, and its bound.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Number {
    field: &'static str,
    value: u64,
    max: u64,
}

impl Number {
    pub(crate) fn new(field: &'static str, value: u64, max: u64) -> Number {
        Number { field, value, max }
    }
}

/// Checks that all numbers are within their bounds.
pub(crate) fn check(numbers: &[Number]) -> Result<(), NumberError> {
    let exceeded = numbers.iter().find(|n| n.value > n.max);
    match exceeded.copied() {
        Some(Number { field, value, max }) => NumberSnafu { field, value, max }.fail(),
        None => Ok(()),
    }
}
