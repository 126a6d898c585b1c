//! The platform's membership list.

use std::net::SocketAddr;

use gorsespur_core::{member::Role, name::Name, shard::WorkerInfo};
use serde::{Deserialize, Serialize};

/// An instance of the system, by the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name.
    pub id: Name,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: Name,
    /// Address at which peers reach it.
    pub addr: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Live and leaving instances and workers; lags behind reality.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Instances.
    pub instances: Vec<InstanceInfo>,
    /// Workers.
    pub workers: Vec<WorkerInfo>,
}
