//! How regularly the owner renews its lease, and how soon a missing renewal means that it
//! is gone.
//!
//! The store's speed changes by a factor of sixty. A time that fits a slow store leaves
//! all work undecided for as long after each owner's death; one that fits a fast store
//! takes the lease from owners that live. So the owner itself says, in the lease, what its
//! renewals of late allow.

/// Shortest time without a renewal after which the lease is free, in milliseconds: two
/// renewals are missing then, and a pause of the process that is no failure has passed.
const LEAST_TERM: u64 = 1000;

/// Longest such time, in milliseconds: a renewal each 400 ms that takes 700, and half as
/// much again.
pub(crate) const MOST_TERM: u64 = 1800;

/// The lease is free after this many times the longest time between renewals of late ...
const TERM_TIMES: u64 = 2;

/// ... and this much more, in milliseconds.
const TERM_MORE: u64 = 200;

/// What a peak keeps at each newer renewal, as a fraction: half is gone after eleven.
const FADE: (u64, u64) = (15, 16);

/// The renewals of late.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    /// The longest time between two, in milliseconds, fading.
    gap: u64,
    /// When the last one was confirmed.
    last: Option<u64>,
}

impl Pulse {
    /// Takes note that the lease was renewed at `now`.
    pub(crate) fn renewed(&mut self, now: u64) {
        if let Some(before) = self.last.replace(now) {
            self.gap = (now - before).max(self.gap * FADE.0 / FADE.1);
        }
    }

    /// Returns after how long without a renewal the lease is free, in milliseconds; the
    /// longest time before two renewals told something.
    pub(crate) fn term(&self) -> u64 {
        if self.gap == 0 {
            return MOST_TERM;
        }
        let term = self.gap * TERM_TIMES + TERM_MORE;
        term.clamp(LEAST_TERM, MOST_TERM)
    }
}
