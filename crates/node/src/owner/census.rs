//! The owner counts the instances.

use std::{sync::Arc, time::Duration};

use gorsespur_runtime::{cancel::CancelToken, clock::wall_ms};

use crate::{
    census::Register,
    metrics::Duty,
    rows::{INSTANCES, INSTANCES_PART},
    shared::Shared,
    store::{StoreError, Tx},
};

/// Pause between questions: instances that start at once are one change and not hundreds, and
/// the thread ends when it is told to.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for an answer to a write.
const LIMIT: Duration = Duration::from_millis(2500);

/// Rows that one transaction removes at most.
const MOST_REMOVED: usize = 100;

/// Follows the announcements of instances until cancelled.
pub(crate) fn count(shared: &Arc<Shared>, cancel: &CancelToken) {
    let mut register = Register::default();
    let mut version = None;
    // An owner has more urgent things to read at first.
    while !cancel.wait(PAUSE) {
        let step = match version {
            None => list(shared, &mut register),
            Some(after) => follow(shared, &mut register, after),
        };
        match step {
            Ok(next) => version = Some(next),
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "census: not counted");
                version = version.filter(|_| err != StoreError::Forgotten);
            }
        }
        shared.counted(register.census());
    }
}

fn list(shared: &Shared, register: &mut Register) -> Result<u64, StoreError> {
    let store = shared.store(Duty::Census);
    let page = store.read_all(INSTANCES, INSTANCES_PART)?;
    *register = Register::default();
    let mut expired = register.take(shared, &page.rows, wall_ms());
    expired.truncate(MOST_REMOVED);
    if !expired.is_empty() {
        log::info!(count = expired.len(); "census: instances are gone");
        let tx = Tx {
            part: INSTANCES_PART.into(),
            removes: expired.into_iter().map(|key| (INSTANCES, key)).collect(),
            ..Tx::default()
        };
        store.commit(&tx, LIMIT)?;
    }
    Ok(page.version)
}

fn follow(shared: &Shared, register: &mut Register, after: u64) -> Result<u64, StoreError> {
    let changes = shared
        .store(Duty::Census)
        .changes(INSTANCES, after, Duration::ZERO)?;
    // Those that have expired are removed by the next owner.
    register.take(shared, &changes.rows, wall_ms());
    Ok(changes.version)
}
