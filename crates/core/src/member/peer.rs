//! What is known of another instance.

use std::net::SocketAddr;

use super::Heartbeat;
use crate::Millis;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its last heartbeat.
    pub beat: Heartbeat,
    /// Address that the heartbeat came from or that it names.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard: Millis,
    /// Since when it has been heard without a gap.
    pub steady: Millis,
}
