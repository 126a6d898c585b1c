//! Parts of a trace.

use gorsespur_core::{
    Millis,
    shard::{Event, ShardId, ShardSettings, Takeover},
};
use serde::{Deserialize, Serialize};

/// What a machine starts from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Place of the shard.
    pub place: ShardId,
    /// Settings.
    pub settings: ShardSettings,
    /// Seed of its random numbers.
    pub seed: u64,
    /// What the owner started from.
    pub takeover: Takeover,
    /// When it started.
    pub now: Millis,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// When it was taken.
    pub now: Millis,
    /// The event.
    pub event: Event,
    /// Hash of the actions that it led to.
    pub actions: u64,
}
