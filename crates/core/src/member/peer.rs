//! The state that is kept for another instance.

use std::net::SocketAddr;

use super::Heartbeat;
use crate::Millis;

/// Another instance, as seen through its heartbeats.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Newest heartbeat received.
    pub heartbeat: Heartbeat,
    /// Address at which to reach the instance, taken from its heartbeat.
    pub addr: SocketAddr,
    /// Time at which the newest heartbeat was received.
    pub heartbeat_at: Millis,
    /// Time since which heartbeats have arrived without a gap or a restart.
    pub steady_since: Millis,
}
