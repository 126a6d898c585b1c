//! Membership: the platform's lagging list joined with heartbeats.
//!
//! The list says who may exist; liveness comes from the instances' own
//! heartbeats. Each instance sends them at a constant rate to everyone in its
//! zone and to a few contacts in each other zone, so that the cost does not
//! grow with failures.

mod heartbeat;
mod peer;
mod peers;

pub use heartbeat::{Heartbeat, Role, ShardOwnership};
pub use peer::Peer;
pub use peers::{MemberSettings, Peers};
