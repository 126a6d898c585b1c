//! The heartbeat message between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Owns shards and schedules their jobs.
    Sched,
}

/// A shard that the sender of a heartbeat owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwnership {
    /// Index of the shard among all shards.
    pub shard: u32,
    /// Epoch of the sender's ownership.
    pub epoch: u64,
    /// Version of the shard's target list.
    #[serde(rename = "targets")]
    pub targets_version: u64,
}

/// The state that an instance sends to its peers at a constant rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the sender.
    pub id: Name,
    /// Role of the sender.
    pub role: Role,
    /// Availability zone of the sender.
    pub zone: Name,
    /// Incarnation of the sender; increases with each start.
    pub incarnation: u64,
    /// Sequence number within the incarnation; increases with each heartbeat.
    pub seq: u64,
    /// Address at which peers reach the sender.
    pub addr: SocketAddr,
    /// Whether the sender is about to leave.
    pub leaving: bool,
    /// Number of the last configuration change that the sender has applied.
    #[serde(rename = "config")]
    pub config_head: u64,
    /// Shards that the sender owns.
    pub shards: Vec<ShardOwnership>,
}
