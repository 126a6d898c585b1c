//! Settings of a shard's machine.

use serde::{Deserialize, Serialize};

use crate::{Millis, placement::PlacementPolicy};

/// Settings of a shard's machine; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShardSettings {
    /// How places are chosen.
    pub policy: PlacementPolicy,
    /// Time between exchanges with a worker that has nothing new.
    #[serde(rename = "exchange")]
    pub exchange_interval: Millis,
    /// Length of a task's lease.
    pub lease: Millis,
    /// Added to a lease before its end is presumed: clock rates and pauses.
    #[serde(rename = "margin")]
    pub lease_margin: Millis,
    /// Time without an answer after which a worker counts as silent.
    #[serde(rename = "silent")]
    pub silent_after: Millis,
    /// How long a finished job stays in the book.
    #[serde(rename = "retain")]
    pub retention: Millis,
    /// Distinct failing tasks in a row after which a worker is quarantined.
    #[serde(rename = "strikes")]
    pub quarantine_threshold: usize,
    /// Length of the first quarantine; doubles each time.
    #[serde(rename = "ban")]
    pub quarantine: Millis,
    /// Longest quarantine.
    #[serde(rename = "max_ban")]
    pub max_quarantine: Millis,
    /// Most placements in one tick.
    #[serde(rename = "batch")]
    pub max_placements: usize,
    /// Most evictions in a minute.
    #[serde(rename = "evictions")]
    pub evictions_per_minute: u32,
    /// How long an urgent task waits for room before others are evicted for it.
    #[serde(rename = "patience")]
    pub preempt_after: Millis,
    /// How long room is kept for a task that others were evicted for.
    #[serde(rename = "reserve")]
    pub reservation: Millis,
}

impl Default for ShardSettings {
    fn default() -> ShardSettings {
        ShardSettings {
            policy: PlacementPolicy::default(),
            exchange_interval: 500,
            lease: 15_000,
            lease_margin: 1_000,
            silent_after: 3_000,
            retention: 60_000,
            quarantine_threshold: 3,
            quarantine: 10_000,
            max_quarantine: 600_000,
            max_placements: 4_096,
            evictions_per_minute: 60,
            preempt_after: 600,
            reservation: 2_000,
        }
    }
}
