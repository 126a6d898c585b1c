//! Counts the instances, by the owner.

use std::{sync::Arc, time::Duration};

use gorsespur_runtime::{cancel::CancelToken, clock::wall_ms};

use crate::{
    census::InstanceRegistry,
    metrics::Duty,
    rows::{INSTANCES, INSTANCES_PART},
    shared::Shared,
    store::{StoreError, Tx},
};

/// Pause between reads. Instances that start at once become one change instead of hundreds, and the
/// pause ends when the thread is cancelled.
const READ_PAUSE: Duration = Duration::from_secs(3);

/// Time limit of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Limit on removed rows per transaction.
const MAX_REMOVED: usize = 100;

/// Follows the announcements of instances until cancelled.
pub(crate) fn count(shared: &Arc<Shared>, cancel: &CancelToken) {
    let mut registry = InstanceRegistry::default();
    let mut version = None;
    // Waits first, since a new owner has more urgent rows to read.
    while !cancel.wait(READ_PAUSE) {
        let result = match version {
            None => list(shared, &mut registry),
            Some(after) => follow(shared, &mut registry, after),
        };
        match result {
            Ok(next) => version = Some(next),
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "census: count failed");
                version = version.filter(|_| err != StoreError::Compacted);
            }
        }
        shared.set_census(registry.census());
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
