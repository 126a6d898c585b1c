//! The row of a shard in the table service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The state of a shard that the table service stores besides the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Epoch of the ownership; increases with each change of owner.
    pub epoch: u64,
    /// Instance that owns the shard; `None` after a release.
    pub owner: Option<Name>,
    /// Address at which peers reach the owner.
    pub addr: SocketAddr,
    /// Chosen anew for each write, so that a writer recognises its own write.
    pub token: u64,
    /// Number of the next journal record.
    #[serde(rename = "next")]
    pub next_record: u64,
    /// Number of the first record after the snapshot; 0 without a snapshot.
    #[serde(rename = "snapshot")]
    pub first_record: u64,
    /// Number of the journal's next row.
    #[serde(rename = "row")]
    pub next_row: u64,
    /// Number of the first row after the snapshot.
    pub first_row: u64,
    /// Longest time in milliseconds for which this owner keeps renewing leases
    /// without the table service.
    pub hold: u64,
    /// Whether no earlier owner can still renew leases of workers.
    pub settled: bool,
}
