//! Limits how many instances follow the lease at a time.
//!
//! Each of hundreds of instances may claim the lease. A renewal answers every pending long poll, so
//! that calls to the store grow with the number of followers, while a few followers notice a
//! missing renewal as soon as all would. Instances take turns, so that nothing depends on which of
//! them are alive: each follows for a while and rests for a random time, and on average as many
//! begin as end.
//!
//! Limits: the number of instances comes from the owner; until it is received, all follow. If all
//! followers are lost together with the owner, others begin to follow within half a second.

/// Average number of followers per size class.
const TARGET_FOLLOWERS: u64 = 12;

/// Shortest length of a turn, in milliseconds.
const TURN_MS: u64 = 2000;

/// Longest rest, in milliseconds.
const MAX_REST_MS: u64 = 120_000;

/// A period in which an instance follows the lease.
#[derive(Debug)]
pub(crate) struct FollowTurn {
    started_at: u64,
}

impl FollowTurn {
    /// Begins a turn at `now`.
    pub(crate) fn new(now: u64) -> FollowTurn {
        FollowTurn { started_at: now }
    }

    /// Returns the time for which the instance has followed the lease, in milliseconds.
    pub(crate) fn followed_ms(&self, now: u64) -> u64 {
        now - self.started_at
    }

    /// Returns the length of the rest that begins now, in milliseconds, for `count` instances in
    /// the size class; `None` while the turn lasts. `chance` is a random number from 0 to 1.
    ///
    /// Rests are exponentially distributed and so memoryless: instances that start together do not
    /// stay in step.
    pub(crate) fn rest_ms(&self, now: u64, count: u64, chance: f64) -> Option<u64> {
        if count <= TARGET_FOLLOWERS || self.followed_ms(now) < TURN_MS {
            return None;
        }
        let mean = TURN_MS * (count - TARGET_FOLLOWERS) / TARGET_FOLLOWERS;
        let rest = -(1.0 - chance).ln() * mean as f64;
        Some((rest as u64).min(MAX_REST_MS))
    }
}
