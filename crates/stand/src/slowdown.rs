//! A hidden table of how kinds of tasks slow each other down.

use gorsespur_core::hashing::stable_hash;

/// Largest share of one neighbour, before the strength is applied.
const MAX_CONTRIBUTION: f64 = 1.0;

/// Power that makes most pairs harmless and a few harmful.
const SKEW_EXPONENT: f64 = 4.0;

/// The table; it is a function of its seed and shifts when the shift does.
#[derive(Debug, Clone)]
pub struct Slowdown {
    /// Seed.
    pub seed: u64,
    /// Factor on every entry.
    pub strength: f64,
    /// Changes the table.
    pub shift: u64,
}

impl Slowdown {
    /// Returns what one neighbour of kind `other` adds to the slowdown of `victim`.
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

    /// Returns the slowdown of `victim` beside `others`; 1 is not slowed.
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
