//! Interference between kinds of tasks.
//!
//! The scheduler can't read these slowdowns; it has to learn them from samples.

use gorsespur_core::hashing::stable_hash;

/// Upper bound of a neighbour's contribution, before strength and load factor apply.
const MAX_CONTRIBUTION: f64 = 1.0;

/// Exponent of the uniform hash; it makes most pairs harmless and a few harmful.
const SKEW_EXPONENT: f64 = 4.0;

/// Slowdowns of each pair of kinds, as a pure function of `seed` and `shift`.
#[derive(Debug, Clone)]
pub struct Slowdown {
    /// Seed of the table.
    pub seed: u64,
    /// Factor of every entry; 0 for no interference.
    pub strength: f64,
    /// Version of the table; each value gives another table.
    pub shift: u64,
}

impl Slowdown {
    /// Returns what a neighbour of kind `other` adds to the slowdown of `victim` if it
    /// runs at full pace. `load` is the reserved share of the worker, from 0 to 1.
    pub fn contribution(&self, victim: &str, other: &str, load: f64) -> f64 {
        let seed = format!("{}.{}", self.seed, self.shift);
        let hash = stable_hash(&[&seed, victim, other]);
        let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
        let load_factor = if load < 0.5 {
            0.5
        } else if load < 0.8 {
            1.0
        } else {
            1.5
        };
        self.strength * MAX_CONTRIBUTION * uniform.powf(SKEW_EXPONENT) * load_factor
    }

    /// Returns the slowdown of `victim` beside `others`; 1 without interference.
    ///
    /// `others` gives the kind and the CPU percentage of each neighbour.
    pub fn total<'a>(
        &self,
        victim: &str,
        others: impl Iterator<Item = (&'a str, u32)>,
        load: f64,
    ) -> f64 {
        let mut sum = 1.0;
        for (other, percent) in others {
            sum += self.contribution(victim, other, load) * f64::from(percent) / 100.0;
        }
        sum
    }
}
