//! Counts the instances, by the owner.

use std::{net::SocketAddr, time::Duration};

use gorsespur_runtime::clock::wall_ms;

use crate::{
    census::InstanceRegistry,
    metrics::Duty,
    rows::{INSTANCES, INSTANCES_PART},
    shared::Shared,
    store::{StoreError, Tx},
};

/// Time limit of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Limit on removed rows per transaction.
const MAX_REMOVED: usize = 100;

/// Follows the announcements of instances.
#[derive(Debug, Default)]
pub(super) struct Counter {
    registry: InstanceRegistry,
    /// Version of the store after which to read changes; `None` to read all announcements.
    version: Option<u64>,
}

impl Counter {
    /// Returns the addresses of the instances that receive signs of life of the owner.
    pub(super) fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.registry.peers()
    }

    /// Reads what has changed, and publishes the counts.
    pub(super) fn update(&mut self, shared: &Shared) {
        let result = match self.version {
            None => list(shared, &mut self.registry),
            Some(after) => follow(shared, &mut self.registry, after),
        };
        match result {
            Ok(next) => self.version = Some(next),
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "census: count failed");
                self.version = self.version.filter(|_| err != StoreError::Compacted);
            }
        }
        shared.set_census(self.registry.census());
    }
}

fn list(shared: &Shared, registry: &mut InstanceRegistry) -> Result<u64, StoreError> {
    let store = shared.store(Duty::Census);
    let page = store.read_all(INSTANCES, INSTANCES_PART)?;
    *registry = InstanceRegistry::default();
    let mut expired = registry.apply(shared, &page.rows, wall_ms());
    expired.truncate(MAX_REMOVED);
    if !expired.is_empty() {
        log::info!(count = expired.len(); "census: removing expired instances");
        let tx = Tx {
            part: INSTANCES_PART.into(),
            removes: expired.into_iter().map(|key| (INSTANCES, key)).collect(),
            ..Tx::default()
        };
        store.commit(&tx, WRITE_TIMEOUT)?;
    }
    Ok(page.version)
}

fn follow(shared: &Shared, registry: &mut InstanceRegistry, after: u64) -> Result<u64, StoreError> {
    let changes = shared
        .store(Duty::Census)
        .changes(INSTANCES, after, Duration::ZERO)?;
    // Expired announcements are removed by the next owner.
    registry.apply(shared, &changes.rows, wall_ms());
    Ok(changes.version)
}
