//! Settings of a node, checked.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gorsespur_jobs::Settings;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the instance, unique among those alive.
    pub name: Arc<str>,
    /// Where callers' requests arrive.
    pub front: Option<SocketAddr>,
    /// Where the balancer asks whether the instance takes requests.
    pub ready: Option<SocketAddr>,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// After SIGTERM the process goes on answering for this long.
    pub linger: Duration,
    /// Most open connections of callers.
    pub connections: usize,
    /// Time within which a change of the configuration has to be in force.
    pub apply: Duration,
    /// Limits and times of the decisions.
    pub jobs: Settings,
    /// This instance's share of a processor, in thousandths; the lease should
    /// go to a large instance.
    pub share: u64,
}
