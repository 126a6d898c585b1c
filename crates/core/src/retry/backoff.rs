//! Exponential backoff with jitter.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::Millis;

/// Delays that double up to a bound; each is drawn from its upper half.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Millis,
    max: Millis,
    attempts: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Returns a backoff from `first` to `most`.
    pub fn new(initial: Millis, max: Millis, seed: u64) -> Backoff {
        Backoff {
            initial: initial.max(1),
            max: max.max(1),
            attempts: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Millis {
        let delay = (self.initial << self.attempts.min(20)).min(self.max);
        self.attempts += 1;
        self.rng.random_range(delay / 2..=delay)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
