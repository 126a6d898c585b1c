//! Limits how many instances follow the lease at a time.
//!
//! Each of hundreds of instances may claim the lease. A renewal answers every pending long poll, so
//! that calls to the store grow with the number of followers, while a few followers notice a
//! missing renewal as soon as all would. Instances take turns, so that nothing depends on which of
//! them are alive: each follows for a while and rests for a random time, and on average as many
//! begin as end.
//!
//! All followers may be lost together with the owner, and all others with them. So an instance that
//! rests looks at the lease whenever it has heard nothing from the owner for [`MAX_SILENCE_MS`], and
//! claims it if it was not renewed between two looks.
//!
//! Limits: the number of instances comes from the owner; until it is received, all follow. It
//! counts lost instances for a day, which lengthens rests but not the time between two looks.

use crate::census::Census;

/// Average number of followers per size class.
const TARGET_FOLLOWERS: u64 = 12;

/// Shortest length of a turn, in milliseconds.
const TURN_MS: u64 = 2000;

/// Longest rest, in milliseconds.
const MAX_REST_MS: u64 = 120_000;

/// Longest silence of the owner during a rest, in milliseconds: two of its heartbeats are missing
/// by then, and a lease without a renewal expires a little earlier.
pub(crate) const MAX_SILENCE_MS: u64 = 2500;

/// A period in which an instance follows the lease.
#[derive(Debug)]
pub(crate) struct FollowTurn {
    started_at: u64,
    /// Since when no renewal can have been missed.
    unbroken_since: u64,
}

impl FollowTurn {
    /// Begins a turn at `now`.
    pub(crate) fn new(now: u64) -> FollowTurn {
        FollowTurn {
            started_at: now,
            unbroken_since: now,
        }
    }

    /// Begins a turn at `now` after a look that found the lease as it was at `seen_at`.
    pub(crate) fn after_look(now: u64, seen_at: u64) -> FollowTurn {
        FollowTurn {
            started_at: now,
            unbroken_since: seen_at,
        }
    }

    /// Returns the time for which the instance has missed no renewal, in milliseconds.
    pub(crate) fn followed_ms(&self, now: u64) -> u64 {
        now - self.unbroken_since
    }

    /// Returns the length of the rest that begins now, in milliseconds, for `count` instances in
    /// the size class; `None` while the turn lasts. `chance` is a random number from 0 to 1.
    ///
    /// Rests are exponentially distributed and so memoryless: instances that start together do not
    /// stay in step.
    pub(crate) fn rest_ms(&self, now: u64, count: u64, chance: f64) -> Option<u64> {
        if count <= TARGET_FOLLOWERS || now - self.started_at < TURN_MS {
            return None;
        }
        let mean = TURN_MS * (count - TARGET_FOLLOWERS) / TARGET_FOLLOWERS;
        let rest = -(1.0 - chance).ln() * mean as f64;
        Some((rest as u64).min(MAX_REST_MS))
    }
}

/// Returns whether some of the counted instances rest.
pub(crate) fn has_rests(census: Census) -> bool {
    census.peers(true).max(census.peers(false)) > TARGET_FOLLOWERS
}

/// What an instance that rests does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RestStep {
    /// Waits for this long, in milliseconds.
    Wait(u64),
    /// Looks at the lease.
    Look,
    /// Begins to follow again.
    End,
}

/// A period in which an instance does not follow the lease.
#[derive(Debug)]
pub(crate) struct Rest {
    ends_at: u64,
    /// When the lease was last known to be held.
    held_at: u64,
    /// Longest silence of the owner.
    max_silence: u64,
}

impl Rest {
    /// Begins a rest of `ms` milliseconds at `now`. Instances differ by `jitter_ms`, so that not
    /// all of them look at once.
    pub(crate) fn new(now: u64, ms: u64, jitter_ms: u64) -> Rest {
        Rest {
            ends_at: now + ms,
            held_at: now,
            max_silence: MAX_SILENCE_MS + jitter_ms,
        }
    }

    /// Returns what to do at `now`, if the owner is known to have held the lease at `heard_at`.
    pub(crate) fn step(&self, now: u64, heard_at: u64) -> RestStep {
        if now >= self.ends_at {
            return RestStep::End;
        }
        let silent_at = self.held_at.max(heard_at) + self.max_silence;
        match silent_at.min(self.ends_at).saturating_sub(now) {
            0 => RestStep::Look,
            ms => RestStep::Wait(ms),
        }
    }

    /// Records that a look at `now` found the lease renewed.
    pub(crate) fn record_renewed(&mut self, now: u64) {
        self.held_at = now;
    }
}
