//! The platform's membership list.

use std::net::SocketAddr;

use gorsespur_core::{member::Role, name::Name, shard::WorkerInfo};
use serde::{Deserialize, Serialize};

/// An instance of the system in the membership list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name.
    pub id: Name,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: Name,
    /// Address for peers.
    pub addr: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Live and leaving instances and workers; may be outdated.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Instances.
    pub instances: Vec<InstanceInfo>,
    /// Workers.
    pub workers: Vec<WorkerInfo>,
}
