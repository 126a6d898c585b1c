//! Addresses of shard owners and sizes of their largest workers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use gorsespur_core::{name::Name, owner::ShardRow, size::Size};
use gorsespur_peer::AgentState;
use gorsespur_services::Table;
use gorsespur_wire::{codec::decode, keys};

/// Finds the owners of shards.
pub(crate) struct Owners {
    shared: Arc<AgentState>,
    table: Arc<dyn Table>,
    largest_workers: Mutex<Vec<Size>>,
}

impl Owners {
    pub fn new(shared: Arc<AgentState>, table: Arc<dyn Table>) -> Owners {
        let shards = shared.settings.layout.shards().len();
        Owners {
            shared,
            table,
            largest_workers: Mutex::new(vec![Size::default(); shards]),
        }
    }

    /// Records the size of a shard's largest worker.
    pub fn set_largest_worker(&self, shard: usize, size: Size) {
        let mut workers = self
            .largest_workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = workers.get_mut(shard) {
            *slot = size;
        }
    }

    /// Returns the size of a shard's largest worker, or `None` if it is not known.
    pub fn largest_worker(&self, shard: u32) -> Option<Size> {
        let workers = self
            .largest_workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        workers.get(shard as usize).copied().filter(|s| s.cpu > 0)
    }

    /// Returns the address of a shard's owner, from heartbeats or else from the
    /// shard's row.
    pub fn find(&self, shard: &Name) -> Option<SocketAddr> {
        let found = self.shared.settings.layout.find(shard)?;
        let now = self.shared.clock.now();
        let addr = self
            .shared
            .peers()
            .owner_of(now, found.place.index)
            .map(|p| p.addr);
        addr.or_else(|| self.find_in_row(shard))
    }

    fn find_in_row(&self, shard: &Name) -> Option<SocketAddr> {
        let rows = self.table.get(&[keys::shard(shard)]).ok()?;
        let row = rows.into_iter().next().flatten()?;
        let row: ShardRow = decode(&row.value).ok()?;
        row.owner.is_some().then_some(row.addr)
    }
}
