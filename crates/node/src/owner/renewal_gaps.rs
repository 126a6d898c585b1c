//! Derives the term of the lease from the times between the owner's recent renewals.
//!
//! The store's speed varies by a factor of sixty. A term for a slow store would leave all work
//! undecided for as long after each owner's death; one for a fast store would take the lease from
//! live owners. So the owner publishes, in the lease, a term that its recent renewals allow.

/// Shortest term, in milliseconds: two renewals are missing by then, and a harmless pause of the
/// process has passed.
const MIN_TERM_MS: u64 = 1000;

/// Longest term, in milliseconds: a renewal every 400 ms that takes 700 ms, and half as much again.
pub(crate) const MAX_TERM_MS: u64 = 1800;

/// The term is the longest recent time between renewals, multiplied by this factor ...
const TERM_FACTOR: u64 = 2;

/// ... plus this margin, in milliseconds.
const TERM_MARGIN_MS: u64 = 200;

/// Fraction of the longest time that is kept at each further renewal; after eleven, half is left.
const GAP_DECAY: (u64, u64) = (15, 16);

/// The times between recent renewals.
#[derive(Debug, Default)]
pub(crate) struct RenewalGaps {
    /// The longest time between two renewals, in milliseconds, decaying.
    longest: u64,
    /// When the last renewal was confirmed, in milliseconds.
    last_at: Option<u64>,
}

impl RenewalGaps {
    /// Records that a renewal was confirmed at `now`.
    pub(crate) fn record(&mut self, now: u64) {
        if let Some(previous) = self.last_at.replace(now) {
            self.longest = (now - previous).max(self.longest * GAP_DECAY.0 / GAP_DECAY.1);
        }
    }

    /// Returns the term, in milliseconds; the longest one before the second renewal.
    pub(crate) fn term(&self) -> u64 {
        if self.longest == 0 {
            return MAX_TERM_MS;
        }
        let term = self.longest * TERM_FACTOR + TERM_MARGIN_MS;
        term.clamp(MIN_TERM_MS, MAX_TERM_MS)
    }
}
