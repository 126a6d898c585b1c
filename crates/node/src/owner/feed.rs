//! Follows the accepted jobs and the workers' announcements.

use std::{sync::Arc, time::Duration};

use gorsespur_jobs::{Event, Job, WorkerInfo};
use gorsespur_runtime::cancel::CancelToken;

use super::{
    contents::{WorkerListing, list_workers, read_jobs},
    inbox::InboxSender,
};
use crate::{
    metrics::{Count, Duty},
    protocol::ProtocolError,
    rows::{JOBS, JobRow, JobsRowKey, parse_jobs_key},
    shared::Shared,
    store::{Changes, Row, StoreError},
};

/// Wait of a long poll, which bounds how long a thread takes to stop.
pub(super) const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Pause between reads of changed workers. Each worker writes its row every other second, so that
/// without the pause nearly every write would cause a call and a wake-up. Together with the time of
/// one answer, it bounds the age of the announcements.
const WORKERS_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);

/// Position from which to follow a table's changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cursor {
    /// Version after which to read changes; `None` if the whole table has to be read.
    pub(crate) version: Option<u64>,
    /// Keys of the rows last reported, sorted.
    pub(crate) known_keys: Vec<String>,
}

impl Cursor {
    /// Follows changes after a version.
    pub(crate) fn new(version: u64) -> Cursor {
        Cursor {
            version: Some(version),
            known_keys: Vec::new(),
        }
    }

    /// Reads the whole table first.
    pub(crate) fn from_start() -> Cursor {
        Cursor::default()
    }
}

/// Follows the accepted jobs until cancelled.
pub(crate) fn follow_jobs(
    shared: &Arc<Shared>,
    mut cursor: Cursor,
    sender: &InboxSender,
    cancel: &CancelToken,
) {
    while !cancel.is_cancelled() {
        let mut events = Vec::new();
        let result = match cursor.version {
            None => reread_jobs(shared, &mut cursor, &mut events),
            Some(after) => {
                let changes = shared
                    .store(Duty::Jobs)
                    .changes(JOBS, after, poll_wait(shared));
                changes.map(|c| {
                    shared.record_store_answer();
                    job_events(shared, &c.rows, &mut events);
                    cursor.version = Some(c.version);
                })
            }
        };
        if let Err(err) = result {
            handle_failure(shared, &mut cursor, &err, cancel);
        }
        sender.events(events);
    }
}

fn reread_jobs(
    shared: &Shared,
    cursor: &mut Cursor,
    events: &mut Vec<Event>,
) -> Result<(), StoreError> {
    let (rows, version) = read_jobs(shared)?;
    job_events(shared, &rows, events);
    cursor.version = Some(version);
    Ok(())
}

/// Decodes the row of an accepted job; `None` for one that no instance would have written, since a
/// foreign row may contain any number of tasks.
pub(crate) fn read_job(shared: &Shared, row: &Row) -> Option<JobRow> {
    let decoded = JobRow::decode(&row.value);
    let is_valid = |j: &Job| j.spec.validate().is_ok() && j.id.to_string() == row.key;
    let decoded = decoded.filter(|r| is_valid(&r.job));
    if decoded.is_none() {
        shared.metrics.count(Count::BadRows);
        log::error!(key = row.key.as_str(); "jobs: invalid row of a job");
    }
    decoded
}

/// Converts rows of accepted jobs to events, with cancellations last.
pub(crate) fn job_events(shared: &Shared, rows: &[Row], events: &mut Vec<Event>) {
    let mut cancels = Vec::new();
    for row in rows.iter().filter(|r| !r.removed) {
        match parse_jobs_key(&row.key) {
            Some(JobsRowKey::Job) => {
                let Some(JobRow { job, policy }) = read_job(shared, row) else {
                    continue;
                };
                events.extend(policy.map(Event::AcceptedUnder));
                events.push(Event::Accepted(Arc::new(job)));
            }
            Some(JobsRowKey::Cancel(id)) => cancels.push(Event::Cancelled(id)),
            None => log::warn!(key = row.key.as_str(); "jobs: unknown key"),
        }
    }
    events.extend(cancels);
}

/// Follows the workers' announcements until cancelled.
pub(crate) fn follow_workers(
    shared: &Arc<Shared>,
    mut cursor: Cursor,
    sender: &InboxSender,
    cancel: &CancelToken,
) {
    let table = shared.protocol.workers_table();
    while !cancel.is_cancelled() {
        let mut events = Vec::new();
        let asked_at = shared.clock.now();
        let result = match cursor.version {
            None => list_workers(shared).map(|listing| {
                apply_listing(shared, &mut cursor, &listing, &mut events);
                WORKERS_PAUSE
            }),
            Some(after) => {
                let changes = shared
                    .store(Duty::Workers)
                    .changes(table, after, poll_wait(shared));
                changes.map(|c| {
                    shared.record_store_answer();
                    apply_worker_rows(shared, &mut cursor, &c.rows, &mut events);
                    cursor.version = Some(c.version);
                    if c.is_complete {
                        events.push(Event::WorkersSynced { asked_at });
                    }
                    pause_after(&c)
                })
            }
        };
        let pause = match result {
            Ok(pause) => pause,
            Err(err) => {
                handle_failure(shared, &mut cursor, &err, cancel);
                WORKERS_PAUSE
            }
        };
        sender.events(events);
        cancel.wait(pause);
    }
}

/// Returns the pause of the reader of workers' rows after an answer: none if it is behind.
///
/// 3,000 workers write 2,000 rows a second. With a pause after each answer of at most 500 rows, the
/// reader fell permanently behind, and tasks were started on workers up to 5 s after these had
/// announced that they leave.
pub(super) fn pause_after(changes: &Changes) -> Duration {
    match changes.is_complete {
        true => WORKERS_PAUSE,
        false => Duration::ZERO,
    }
}

/// Applies a listing of all announcements; reports workers that are no longer listed as removed.
pub(super) fn apply_listing(
    shared: &Shared,
    cursor: &mut Cursor,
    listing: &WorkerListing,
    events: &mut Vec<Event>,
) {
    let rows = &listing.page.rows;
    for key in &cursor.known_keys {
        if !rows.iter().any(|r| r.key == *key) {
            events.push(Event::WorkerRemoved(key.as_str().into()));
        }
    }
    cursor.known_keys.clear();
    apply_worker_rows(shared, cursor, rows, events);
    events.push(Event::WorkersSynced {
        asked_at: listing.asked_at,
    });
    cursor.version = Some(listing.page.version);
}

fn apply_worker_rows(shared: &Shared, cursor: &mut Cursor, rows: &[Row], events: &mut Vec<Event>) {
    for row in rows {
        let position = cursor.known_keys.binary_search(&row.key);
        if row.removed {
            log::info!(worker = row.key.as_str(); "worker: no longer listed");
            events.push(Event::WorkerRemoved(row.key.as_str().into()));
            if let Ok(position) = position {
                cursor.known_keys.remove(position);
            }
            continue;
        }
        match read_worker(shared, row) {
            Ok(info) => {
                events.push(Event::WorkerUpdated(info));
            }
            Err(err) => {
                shared.metrics.count(Count::BadRows);
                log::warn!(worker = row.key.as_str(), err = err.to_string().as_str(); "worker: can't be read");
                // No task is started there any more; running tasks are polled as before.
                events.push(Event::WorkerRemoved(row.key.as_str().into()));
            }
        }
        if let Err(position) = position {
            cursor.known_keys.insert(position, row.key.clone());
        }
    }
}

fn read_worker(shared: &Shared, row: &Row) -> Result<WorkerInfo, ProtocolError> {
    let info = shared.protocol.worker(row)?;
    match info.validate() {
        Ok(()) => Ok(info),
        Err(err) => Err(ProtocolError::Malformed {
            what: "worker",
            reason: err.to_string(),
        }),
    }
}

/// Returns the wait of a long poll: zero while the store is lost, so that its recovery is noticed a
/// second sooner.
fn poll_wait(shared: &Shared) -> Duration {
    match shared.is_store_lost() {
        true => Duration::ZERO,
        false => LONG_POLL_WAIT,
    }
}

fn handle_failure(shared: &Shared, cursor: &mut Cursor, err: &StoreError, cancel: &CancelToken) {
    shared.metrics.count(Count::StoreErrors);
    log::debug!(err = err.to_string().as_str(); "feed: failed");
    if *err == StoreError::Compacted {
        log::info!("feed: change history compacted; rereading the table");
        cursor.version = None;
    }
    cancel.wait(FAILURE_PAUSE);
}
