//! Contents of a trace: one header, then one frame for each step.
//!
//! Both are encoded by position, so that the order of their fields is part of the file format.

use gorsespur_core::{
    Millis,
    shard::{Event, ShardId, ShardSettings, Takeover},
};
use serde::{Deserialize, Serialize};

/// Initial state of the recorded scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Place of the shard among all shards.
    pub place: ShardId,
    /// Settings of the shard.
    pub settings: ShardSettings,
    /// Seed of the random number generator.
    pub seed: u64,
    /// State that the owner took over.
    pub takeover: Takeover,
    /// Time of the start.
    pub now: Millis,
}

/// One step of the scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Time of the step.
    pub now: Millis,
    /// Input of the step.
    pub event: Event,
    /// Hash of the actions that the step returned, from [`crate::hash_actions`].
    #[serde(rename = "actions")]
    pub actions_hash: u64,
}
