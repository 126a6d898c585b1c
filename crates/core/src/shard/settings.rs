//! Settings of a shard's machine.

use serde::{Deserialize, Serialize};

use crate::{Millis, place::PlacePolicy};

/// Settings of a shard's machine; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShardSettings {
    /// How places are chosen.
    pub policy: PlacePolicy,
    /// Time between exchanges with a worker that has nothing new.
    pub exchange: Millis,
    /// Length of a task's lease.
    pub lease: Millis,
    /// Added to a lease before its end is presumed: clock rates and pauses.
    pub margin: Millis,
    /// Time without an answer after which a worker counts as silent.
    pub silent: Millis,
    /// How long a finished job stays in the book.
    pub retain: Millis,
    /// Distinct failing tasks in a row after which a worker is quarantined.
    pub strikes: usize,
    /// Length of the first quarantine; doubles each time.
    pub ban: Millis,
    /// Longest quarantine.
    pub max_ban: Millis,
    /// Most placements in one tick.
    pub batch: usize,
    /// Most evictions in a minute.
    pub evictions: u32,
    /// How long an urgent task waits for room before others are evicted for it.
    pub patience: Millis,
    /// How long room is kept for a task that others were evicted for.
    pub reserve: Millis,
}

impl Default for ShardSettings {
    fn default() -> ShardSettings {
        ShardSettings {
            policy: PlacePolicy::default(),
            exchange: 500,
            lease: 15_000,
            margin: 1_000,
            silent: 3_000,
            retain: 60_000,
            strikes: 3,
            ban: 10_000,
            max_ban: 600_000,
            batch: 4_096,
            evictions: 60,
            patience: 600,
            reserve: 2_000,
        }
    }
}
