//! Heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Owns shards.
    Sched,
}

/// A shard that its sender owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwnership {
    /// Index of the shard among all shards.
    pub shard: u32,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Version of the list of targets.
    #[serde(rename = "targets")]
    pub targets_version: u64,
}

/// What an instance tells the others at a constant rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub id: Name,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: Name,
    /// Grows with each start of the sender.
    pub incarnation: u64,
    /// Grows with each heartbeat.
    pub seq: u64,
    /// Where its peers reach it.
    pub addr: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Last configuration change that is in force on it.
    #[serde(rename = "config")]
    pub config_head: u64,
    /// Shards that it owns.
    pub shards: Vec<ShardOwnership>,
}
