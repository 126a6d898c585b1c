//! Membership: which instances exist and which of them are alive.
//!
//! The platform's membership list lags behind, so it only determines which
//! instances may exist; liveness comes from the heartbeats of the instances.
//! Each instance sends heartbeats at a constant rate to all instances of its
//! zone and to a few contacts in each other zone, so that the load does not
//! increase during failures.

mod heartbeat;
mod peer;
mod peers;

pub use heartbeat::{Heartbeat, Role, ShardOwnership};
pub use peer::Peer;
pub use peers::{MemberSettings, Peers};
