//! Services: replicas that answer requests.

use serde::{Deserialize, Serialize};

use crate::{Millis, name::Name, size::Size};

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique among the organisation's services and jobs.
    pub name: Name,
    /// Replicas over all zones.
    pub replicas: u32,
    /// Size of a replica.
    pub size: Size,
    /// Requests that a replica runs at one time.
    pub slots: u32,
    /// Connections that a replica accepts.
    pub connections: u32,
    /// Default time limit of a request.
    pub deadline: Millis,
}
