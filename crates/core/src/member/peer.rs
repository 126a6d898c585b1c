//! What is known of another instance.

use std::net::SocketAddr;

use super::Heartbeat;
use crate::Millis;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// Address that the heartbeat came from or that it names.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heartbeat_at: Millis,
    /// Since when it has been heard without a gap.
    pub steady_since: Millis,
}
