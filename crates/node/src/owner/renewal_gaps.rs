//! How regularly the owner renews its lease, and how soon a missing renewal means that it
//! is gone.
//!
//! The store's speed changes by a factor of sixty. A time that fits a slow store leaves
//! all work undecided for as long after each owner's death; one that fits a fast store
//! takes the lease from owners that live. So the owner itself says, in the lease, what its
//! renewals of late allow.

/// Shortest time without a renewal after which the lease is free, in milliseconds: two
/// renewals are missing then, and a pause of the process that is no failure has passed.
const MIN_TERM_MS: u64 = 1000;

/// Longest such time, in milliseconds: a renewal each 400 ms that takes 700, and half as
/// much again.
pub(crate) const MAX_TERM_MS: u64 = 1800;

/// The lease is free after this many times the longest time between renewals of late ...
const TERM_FACTOR: u64 = 2;

/// ... and this much more, in milliseconds.
const TERM_MARGIN_MS: u64 = 200;

/// What a peak keeps at each newer renewal, as a fraction: half is gone after eleven.
const GAP_DECAY: (u64, u64) = (15, 16);

/// The renewals of late.
#[derive(Debug, Default)]
pub(crate) struct RenewalGaps {
    /// The longest time between two, in milliseconds, fading.
    longest: u64,
    /// When the last one was confirmed.
    last_at: Option<u64>,
}

impl RenewalGaps {
    /// Takes note that the lease was renewed at `now`.
    pub(crate) fn record(&mut self, now: u64) {
        if let Some(previous) = self.last_at.replace(now) {
            self.longest = (now - previous).max(self.longest * GAP_DECAY.0 / GAP_DECAY.1);
        }
    }

    /// Returns after how long without a renewal the lease is free, in milliseconds; the
    /// longest time before two renewals told something.
    pub(crate) fn term(&self) -> u64 {
        if self.longest == 0 {
            return MAX_TERM_MS;
        }
        let term = self.longest * TERM_FACTOR + TERM_MARGIN_MS;
        term.clamp(MIN_TERM_MS, MAX_TERM_MS)
    }
}
