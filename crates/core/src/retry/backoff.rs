//! Exponential backoff with jitter.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::Millis;

/// Delays that double up to a maximum.
///
/// Each delay is drawn at random from the upper half of its range, so that
/// callers that failed together don't retry together.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Millis,
    max: Millis,
    attempts: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `initial` to `max`.
    pub fn new(initial: Millis, max: Millis, seed: u64) -> Backoff {
        Backoff {
            initial: initial.max(1),
            max: max.max(1),
            attempts: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Millis {
        let delay = (self.initial << self.attempts.min(20)).min(self.max);
        self.attempts += 1;
        self.rng.random_range(delay / 2..=delay)
    }

    /// Restarts at the initial delay, after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
