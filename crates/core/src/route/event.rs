//! What a router is told.

use serde::{Deserialize, Serialize};

use super::AttemptOutcome;
use crate::{Millis, name::Name, shard::TargetInfo, template::Priority};

/// A request that a caller sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request on this instance.
    pub req: u64,
    /// Organisation.
    pub org: Name,
    /// Service.
    pub service: Name,
    /// Priority.
    pub priority: Priority,
    /// Time by which the answer is wanted.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Most requests of the organisation that may wait here.
    #[serde(rename = "queue")]
    pub max_queued: u32,
    /// Share of recent requests that may be sent again, in hundredths.
    #[serde(rename = "retries")]
    pub retry_percent: u32,
}

/// The targets that one shard's owner announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Index of the shard.
    pub shard: u32,
    /// Epoch of its owner.
    pub epoch: u64,
    /// Version within the epoch.
    pub version: u64,
    /// Whether the shard is of this instance's zone.
    #[serde(rename = "near")]
    pub same_zone: bool,
    /// Its targets.
    pub targets: Vec<TargetInfo>,
}

/// An entry's part in the use of the near targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Number of entries that share the targets.
    pub entries: u32,
    /// Place of this entry among them, from 0.
    pub rank: u32,
}

/// An event for a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteEvent {
    /// A request came.
    Arrive(Arrival),
    /// A try ended.
    Ended {
        /// The request.
        req: u64,
        /// The try.
        attempt: u32,
        /// How it ended.
        end: AttemptOutcome,
    },
    /// The caller's answer is late enough for a second try beside the first.
    Hedge {
        /// The request.
        req: u64,
    },
    /// A shard's owner announced its targets.
    Targets(TargetList),
    /// Workers that are about to leave, by the membership list.
    Leaving(Vec<Name>),
    /// The entries that share the near targets.
    Entries(Share),
    /// Time passed.
    Tick,
}
