//! Messages between instances of the system.

use std::net::SocketAddr;

use gorsespur_core::{
    config::{ConfigEntry, ConfigVersion},
    member::Role,
    name::Name,
    route::RouteCounts,
    shard::{JobKey, JobStatus, ShardStatus, TargetInfo},
    size::Size,
};
use serde::{Deserialize, Serialize};

/// Asks for the targets of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsRequest {
    /// Index of the shard among all shards.
    pub shard: u32,
}

/// The targets of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsAnswer {
    /// Index of the shard.
    pub shard: u32,
    /// Epoch of its owner.
    pub epoch: u64,
    /// Version within the epoch.
    pub version: u64,
    /// Its targets.
    pub targets: Vec<TargetInfo>,
    /// Its largest worker.
    pub largest: Size,
}

/// Asks for templates that are newer than those known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Versions known, sorted by organisation.
    pub known: Vec<ConfigVersion>,
}

/// Templates that are newer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Number of the last change that the sender has.
    pub head: u64,
    /// The templates.
    pub entries: Vec<ConfigEntry>,
}

/// What is asked of a shard's owner about jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Their states.
    Watch {
        /// Name of the shard.
        shard: Name,
        /// The jobs.
        keys: Vec<JobKey>,
    },
    /// Cancel them; the answer comes once that is in the journal.
    Cancel {
        /// Name of the shard.
        shard: Name,
        /// The jobs.
        keys: Vec<JobKey>,
    },
    /// Whether the instance may still command the shard's workers.
    Holds {
        /// Name of the shard.
        shard: Name,
    },
    /// Look into the inbox now.
    Look {
        /// Name of the shard.
        shard: Name,
    },
}

/// What a shard's owner answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobsAnswer {
    /// States in the order of the keys; none for unknown jobs.
    States(Vec<Option<JobStatus>>),
    /// The cancellation is in the journal; these jobs are not known, or not yet.
    Cancelled(Vec<JobKey>),
    /// Whether the instance may still command the shard's workers.
    Holds(bool),
    /// Noted.
    Noted,
    /// The instance does not own the shard.
    NotOwner,
    /// The journal can't be reached.
    Unavailable,
}

/// What operators see of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance.
    pub id: Name,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Release.
    pub release: Name,
    /// Last change of configuration that is in force.
    pub config: u64,
    /// Versions of the templates in force.
    pub versions: Vec<ConfigVersion>,
    /// Instances that it takes to be alive.
    pub live: Vec<Name>,
    /// Shards that it owns.
    pub shards: Vec<ShardStatus>,
    /// What it routed.
    pub routed: Option<RouteCounts>,
}
