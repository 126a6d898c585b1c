//! Exponential backoff with jitter.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::Millis;

/// Delays that double up to a bound; each is drawn from its upper half.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Millis,
    most: Millis,
    tries: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Returns a backoff from `first` to `most`.
    pub fn new(first: Millis, most: Millis, seed: u64) -> Backoff {
        Backoff {
            first: first.max(1),
            most: most.max(1),
            tries: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Millis {
        let full = (self.first << self.tries.min(20)).min(self.most);
        self.tries += 1;
        self.rng.random_range(full / 2..=full)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
