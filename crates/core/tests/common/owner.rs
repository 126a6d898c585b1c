//! A simulated owner: its scheduler, its lease and the records that it has not written yet.

use std::collections::VecDeque;

use gorsespur_core::{
    owner::OwnerLease,
    shard::{Record, ShardScheduler},
};

/// An instance that owns the shard, or that has lost the shard without noticing.
pub struct Owner {
    pub scheduler: ShardScheduler,
    pub lease: OwnerLease,
    pub epoch: u64,
    /// Version of the row that the next write expects.
    pub version: u64,
    pub backlog: VecDeque<Record>,
    pub renewed_at: u64,
    pub paused: bool,
    pub dead: bool,
    pub store_unreachable: bool,
    pub has_orgs: bool,
}
