//! The row of a shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What the table service keeps of a shard besides its journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Grows with each change of owner.
    pub epoch: u64,
    /// Instance that owns the shard; none after a release.
    pub owner: Option<Name>,
    /// Address at which the owner's peers reach it.
    pub addr: SocketAddr,
    /// Chosen anew for each write, to recognise one's own.
    pub token: u64,
    /// Number of the next journal record.
    #[serde(rename = "next")]
    pub next_record: u64,
    /// Number of the first record after the snapshot; 0 without one.
    #[serde(rename = "snapshot")]
    pub first_record: u64,
    /// Number of the journal's next row.
    #[serde(rename = "row")]
    pub next_row: u64,
    /// Number of the first row after the snapshot.
    pub first_row: u64,
    /// Longest time in milliseconds for which this owner goes on without the
    /// table service.
    pub hold: u64,
    /// Whether no owner before this one can still renew leases.
    pub settled: bool,
}
