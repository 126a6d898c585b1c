//! Events that a router handles.

use serde::{Deserialize, Serialize};

use super::AttemptOutcome;
use crate::{Millis, name::Name, shard::TargetInfo, template::Priority};

/// A request that arrived from a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request, unique on this instance.
    pub req: u64,
    /// Organisation of the service.
    pub org: Name,
    /// Name of the service.
    pub service: Name,
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which the request must be answered.
    pub deadline: Millis,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// Maximum number of queued requests of the organisation on this instance.
    #[serde(rename = "queue")]
    pub max_queued: u32,
    /// Retries as a percentage of recent requests of the organisation.
    #[serde(rename = "retries")]
    pub retry_percent: u32,
}

/// The targets that the owner of a shard announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Index of the shard.
    pub shard: u32,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Version of the list within the epoch.
    pub version: u64,
    /// Whether the shard belongs to the zone of this instance.
    #[serde(rename = "near")]
    pub same_zone: bool,
    /// Targets of the shard.
    pub targets: Vec<TargetInfo>,
}

/// The share of an entry instance in the targets of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Number of entry instances that share the targets.
    pub entries: u32,
    /// Index of this instance among them, from 0.
    pub rank: u32,
}

/// An event for a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// An attempt ended.
    Ended {
        /// The request.
        req: u64,
        /// Number of the attempt.
        attempt: u32,
        /// Outcome of the attempt.
        end: AttemptOutcome,
    },
    /// The answer is late enough for a hedged attempt beside the first one.
    Hedge {
        /// The request.
        req: u64,
    },
    /// A shard's owner announced its targets.
    Targets(TargetList),
    /// Workers that are about to leave, according to the membership list.
    Leaving(Vec<Name>),
    /// The share of this instance in the targets of its zone changed.
    Entries(Share),
    /// Time has passed.
    Tick,
}
