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

/// Requests the targets of a shard.
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
    /// Epoch of the shard's owner.
    pub epoch: u64,
    /// Version within the epoch.
    pub version: u64,
    /// Targets.
    pub targets: Vec<TargetInfo>,
    /// Size of the shard's largest worker.
    pub largest: Size,
}

/// Requests templates that are newer than the known ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Known versions, sorted by organisation.
    pub known: Vec<ConfigVersion>,
}

/// Templates that are newer than the known ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Number of the last change known to the sender.
    pub head: u64,
    /// The templates.
    pub entries: Vec<ConfigEntry>,
}

/// A request about jobs to a shard's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Returns the states of jobs.
    Watch {
        /// Name of the shard.
        shard: Name,
        /// The jobs.
        keys: Vec<JobKey>,
    },
    /// Cancels jobs; answered once the cancellation is in the journal.
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
    /// Reads the inbox immediately.
    Look {
        /// Name of the shard.
        shard: Name,
    },
}

/// The answer of a shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobsAnswer {
    /// States in the order of the keys; none for unknown jobs.
    States(Vec<Option<JobStatus>>),
    /// The cancellation is in the journal. Contains the requested jobs that the owner does not
    /// have, possibly because it has not read them yet.
    Cancelled(Vec<JobKey>),
    /// Whether the instance may still command the shard's workers.
    Holds(bool),
    /// The request was accepted.
    Noted,
    /// The instance does not own the shard.
    NotOwner,
    /// The journal can't be reached.
    Unavailable,
}

/// Status of an instance, for operators.
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
    /// Release of the software.
    pub release: Name,
    /// Number of the last change of configuration in force.
    pub config: u64,
    /// Versions of the templates in force.
    pub versions: Vec<ConfigVersion>,
    /// Instances considered alive.
    pub live: Vec<Name>,
    /// Owned shards.
    pub shards: Vec<ShardStatus>,
    /// Counts of routed requests, if the instance routes any.
    pub routed: Option<RouteCounts>,
}
