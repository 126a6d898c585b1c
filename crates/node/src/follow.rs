//! Follows the configuration and the evacuated zones in the store.

use std::{sync::Arc, time::Duration};

use gorsespur_core::retry::Backoff;
use gorsespur_runtime::cancel::CancelToken;

use crate::{
    metrics::{Count, Duty},
    shared::Shared,
    store::{Row, StoreError},
};

/// First pause after a failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;

/// Longest pause after a failure, in milliseconds. A store that refuses hundreds of instances must
/// not be called ten times a second by each, and its recovery is noticed within a second.
const MAX_PAUSE_MS: u64 = 1000;

/// Puts the newest configuration in force for a waiting request.
///
/// A configuration may have a megabyte, so requests do not read it whole: they read its changes,
/// and fail until the following thread has read the first one. Full reads for each request by 35
/// instances that had just started filled their links for 10 s.
pub(crate) fn refresh(shared: &Shared) -> Result<(), StoreError> {
    let (table, _) = shared.protocol.config_row();
    let after = shared
        .config_version()
        .ok_or_else(|| StoreError::Unavailable {
            reason: "the configuration has not been read yet".into(),
        })?;
    match changes(shared, Duty::Callers, table, after, Duration::ZERO) {
        Err(StoreError::Compacted) => reread(shared),
        result => result.map(drop),
    }
}

/// Reads the whole configuration, unless another request is reading it.
fn reread(shared: &Shared) -> Result<(), StoreError> {
    let busy = |_| StoreError::Unavailable {
        reason: "another request is reading the configuration".into(),
    };
    let _guard = shared.config_read.try_lock().map_err(busy)?;
    refresh_at(shared, Duty::Callers).map(drop)
}

fn apply_row(shared: &Shared, row: &Row) {
    let (_, key) = shared.protocol.config_row();
    if row.key != key || row.removed {
        return;
    }
    match shared.protocol.config(row) {
        Ok(config) => shared.apply_config(config),
        Err(err) => log::error!(err = err.to_string().as_str(); "config: can't be read"),
    }
}

/// Follows the configuration until cancelled.
pub(crate) fn follow(shared: &Arc<Shared>, cancel: &CancelToken) {
    let (table, _) = shared.protocol.config_row();
    let mut version = None;
    let mut lost = false;
    let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, rand::random());
    while !cancel.is_cancelled() {
        let result = match version {
            None => refresh_at(shared, Duty::Config),
            Some(after) => changes(shared, Duty::Config, table, after, wait(shared)),
        };
        match result {
            Ok(next) => {
                version = Some(next);
                if lost {
                    log::info!("store: answers again");
                }
                lost = false;
                backoff.reset();
            }
            Err(err) => {
                if !lost {
                    log::warn!(err = err.to_string().as_str(); "store: lost");
                }
                lost = true;
                shared.record_store_failure();
                shared.metrics.count(Count::StoreErrors);
                version = version.filter(|_| err != StoreError::Compacted);
                cancel.wait(Duration::from_millis(backoff.next_delay()));
            }
        }
    }
}

/// Returns the wait of a long poll: zero while the store is lost, so that its recovery is noticed
/// at once.
fn wait(shared: &Shared) -> Duration {
    match shared.is_store_lost() {
        true => Duration::ZERO,
        false => shared.config_wait(),
    }
}

/// Reads the whole configuration and all evacuated zones; returns the store's version.
pub(crate) fn refresh_at(shared: &Shared, duty: Duty) -> Result<u64, StoreError> {
    let (table, _) = shared.protocol.config_row();
    let page = shared.store(duty).read_all(table, "")?;
    shared.record_store_answer();
    for row in &page.rows {
        apply_row(shared, row);
    }
    let asked = page.rows.iter().filter_map(|r| evacuation(shared, r));
    let mut zones: Vec<Arc<str>> = asked.collect();
    zones.sort();
    shared.update_evacuated(page.version, |known| *known = zones);
    Ok(page.version)
}

fn changes(
    shared: &Shared,
    duty: Duty,
    table: &str,
    after: u64,
    wait: Duration,
) -> Result<u64, StoreError> {
    let changes = shared.store(duty).changes(table, after, wait)?;
    shared.record_store_answer();
    for row in &changes.rows {
        apply_row(shared, row);
    }
    shared.update_evacuated(changes.version, |known| {
        for row in &changes.rows {
            let Some(zone) = evacuation(shared, row) else {
                continue;
            };
            match (known.binary_search(&zone), row.removed) {
                (Err(at), false) => known.insert(at, zone),
                (Ok(at), true) => {
                    known.remove(at);
                }
                _ => {}
            }
        }
    });
    Ok(changes.version)
}

/// Returns the zone that a row evacuates; `None` if it evacuates none or can't be read.
fn evacuation(shared: &Shared, row: &Row) -> Option<Arc<str>> {
    match shared.protocol.evacuation(row) {
        Ok(zone) => zone,
        Err(err) => {
            shared.metrics.count(Count::BadRows);
            log::warn!(key = row.key.as_str(), err = err.to_string().as_str(); "zones: evacuation can't be read");
            None
        }
    }
}
