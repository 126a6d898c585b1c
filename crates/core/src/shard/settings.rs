//! Settings of a shard's scheduler.

use serde::{Deserialize, Serialize};

use crate::{Millis, placement::PlacementPolicy};

/// Settings of a shard's scheduler; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShardSettings {
    /// Policy for the choice of workers.
    pub policy: PlacementPolicy,
    /// Time between exchanges with a worker when there is nothing new to send.
    #[serde(rename = "exchange")]
    pub exchange_interval: Millis,
    /// Length of a task's lease.
    pub lease: Millis,
    /// Time added to a lease before it is presumed to have lapsed, for clock drift and pauses.
    #[serde(rename = "margin")]
    pub lease_margin: Millis,
    /// Time without an answer after which a worker is silent.
    #[serde(rename = "silent")]
    pub silent_after: Millis,
    /// How long a finished job stays in the shard state.
    #[serde(rename = "retain")]
    pub retention: Millis,
    /// Number of distinct tasks that fail in a row after which a worker is quarantined.
    #[serde(rename = "strikes")]
    pub quarantine_threshold: usize,
    /// Length of the first quarantine; doubles with each further one in a row.
    #[serde(rename = "ban")]
    pub quarantine: Millis,
    /// Longest quarantine.
    #[serde(rename = "max_ban")]
    pub max_quarantine: Millis,
    /// Maximum number of placements in one pass.
    #[serde(rename = "batch")]
    pub max_placements: usize,
    /// Maximum number of evictions of noisy tasks in a minute.
    #[serde(rename = "evictions")]
    pub evictions_per_minute: u32,
    /// How long an urgent task waits for capacity before others are preempted.
    #[serde(rename = "patience")]
    pub preempt_after: Millis,
    /// How long resources stay reserved for a task after others were preempted for it.
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
