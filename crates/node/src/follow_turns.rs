//! Which instances follow the lease, and which rest.
//!
//! The load pattern that this answers: hundreds of instances, each of which may take the lease. A
//! renewal answers every question that waits, so that the calls to the store grow with those that
//! follow it. A few notice a missing renewal as soon as all would. They take turns, so that nothing
//! depends on who is alive: an instance follows for a while, rests by chance, and as many begin as
//! end.
//!
//! Limits: it takes the number of instances from the owner; until that is known all follow. Where
//! all that follow are lost together with the owner, others begin within half a second.

/// Instances of a size that follow at a time, on average.
const TARGET_FOLLOWERS: u64 = 12;

/// An instance follows for this long, in milliseconds.
const TURN_MS: u64 = 2000;

/// Longest rest, in milliseconds.
const MAX_REST_MS: u64 = 120_000;

/// The turn of an instance.
#[derive(Debug)]
pub(crate) struct FollowTurn {
    started_at: u64,
}

impl FollowTurn {
    /// Begins a turn.
    pub(crate) fn new(now: u64) -> FollowTurn {
        FollowTurn { started_at: now }
    }

    /// Returns for how long the instance has followed the lease without a rest, in milliseconds.
    pub(crate) fn followed_ms(&self, now: u64) -> u64 {
        now - self.started_at
    }

    /// Returns for how long the instance rests from now on, in milliseconds, where there are
    /// `count` of its size; nothing while its turn lasts. `chance` is a random number from 0 to 1.
    ///
    /// Rests have no memory, so that instances that start at the same moment do not go on
    /// together.
    pub(crate) fn rest_ms(&self, now: u64, count: u64, chance: f64) -> Option<u64> {
        if count <= TARGET_FOLLOWERS || self.followed_ms(now) < TURN_MS {
            return None;
        }
        let mean = TURN_MS * (count - TARGET_FOLLOWERS) / TARGET_FOLLOWERS;
        let rest = -(1.0 - chance).ln() * mean as f64;
        Some((rest as u64).min(MAX_REST_MS))
    }
}
