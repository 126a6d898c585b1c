//! Services, whose replicas answer requests.

use serde::{Deserialize, Serialize};

use crate::{Millis, name::Name, size::Size};

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique among the services and job templates of the organisation.
    pub name: Name,
    /// Number of replicas over all zones.
    pub replicas: u32,
    /// Size of a replica.
    pub size: Size,
    /// Maximum number of requests that a replica handles at one time.
    pub slots: u32,
    /// Maximum number of connections that a replica accepts.
    pub connections: u32,
    /// Default time limit of a request.
    pub deadline: Millis,
}
