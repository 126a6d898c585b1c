//! Validated settings of a node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gorsespur_jobs::Settings;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the instance, unique among those alive.
    pub name: Arc<str>,
    /// Address of the job API; `None` if it is not served.
    pub front: Option<SocketAddr>,
    /// Address of the readiness check for the load balancer; `None` if it is not served.
    pub ready: Option<SocketAddr>,
    /// Address of the metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Address for signs of life of the owner, as datagrams; `None` to receive none.
    pub peer: Option<SocketAddr>,
    /// Time for which the process keeps answering after SIGTERM.
    pub linger: Duration,
    /// Limit on open connections of callers.
    pub connections: usize,
    /// Time limit for a change of the configuration to be in force.
    pub apply: Duration,
    /// Settings of the scheduling of jobs.
    pub jobs: Settings,
    /// Whether jobs that can't be served in time are refused.
    pub admission: bool,
    /// CPU share of this instance, in thousandths; large instances are preferred as the owner.
    pub share: u64,
}
