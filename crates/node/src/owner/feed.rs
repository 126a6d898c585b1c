//! Follows the accepted jobs and the workers' announcements.

use std::{sync::Arc, time::Duration};

use gorsespur_jobs::{Event, Job};
use gorsespur_runtime::cancel::CancelToken;

use super::{
    contents::{WorkerListing, list_workers, read_jobs},
    inbox::InboxSender,
};
use crate::{
    metrics::{Count, Duty},
    rows::{JOBS, JobsRowKey, decode, parse_jobs_key},
    shared::Shared,
    store::{Changes, Row, StoreError},
};

/// How long one question for changes waits; it bounds how late a thread ends.
pub(super) const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Pause between questions for changed workers. Each writes its row every other
/// second, so that without it nearly each write would be a call and a wake-up. It bounds
/// how old what is known of workers may be, together with the time of one answer.
const WORKERS_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);

/// Where a table's changes are to be followed from.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cursor {
    /// The version; nothing if the whole table has to be read.
    pub(crate) version: Option<u64>,
    /// Keys that were there when last told, sorted.
    pub(crate) known_keys: Vec<String>,
}

impl Cursor {
    /// Follows from a version on.
    pub(crate) fn new(version: u64) -> Cursor {
        Cursor {
            version: Some(version),
            known_keys: Vec::new(),
        }
    }

    /// Begins with the whole table.
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
        let step = match cursor.version {
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
        if let Err(err) = step {
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

/// Reads the row of an accepted job. One that no instance would have written is no job:
/// somebody else's row may name any number of tasks.
pub(crate) fn read_job(shared: &Shared, row: &Row) -> Option<Job> {
    let job = decode::<Job>("job", &row.value);
    let job = job.filter(|j| j.spec.validate().is_ok() && j.id.to_string() == row.key);
    if job.is_none() {
        shared.metrics.count(Count::BadRows);
        log::error!(key = row.key.as_str(); "jobs: not a job's row");
    }
    job
}

/// Turns rows of accepted jobs into events; cancellations come last.
pub(crate) fn job_events(shared: &Shared, rows: &[Row], events: &mut Vec<Event>) {
    let mut cancels = Vec::new();
    for row in rows.iter().filter(|r| !r.removed) {
        match parse_jobs_key(&row.key) {
            Some(JobsRowKey::Job) => {
                let job = read_job(shared, row);
                events.extend(job.map(|j| Event::Accepted(Arc::new(j))));
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
        let step = match cursor.version {
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
        let pause = match step {
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

/// Returns how long the reader of workers' rows waits after an answer: not at all if it is
/// behind.
///
/// 3,000 workers write 2,000 rows a second. With a pause after each answer of at most 500
/// rows the reader fell behind for good, and tasks were started on workers up to 5 s after
/// these had said that they leave.
pub(super) fn pause_after(changes: &Changes) -> Duration {
    match changes.is_complete {
        true => WORKERS_PAUSE,
        false => Duration::ZERO,
    }
}

/// Takes all announcements; those that are no longer there are told as gone.
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
        match shared.protocol.worker(row) {
            Ok(info) => {
                events.push(Event::WorkerUpdated(info));
            }
            Err(err) => {
                shared.metrics.count(Count::BadRows);
                log::warn!(worker = row.key.as_str(), err = err.to_string().as_str(); "worker: can't be read");
                // Nothing begins there any more; what runs there is asked after as before.
                events.push(Event::WorkerRemoved(row.key.as_str().into()));
            }
        }
        if let Err(position) = position {
            cursor.known_keys.insert(position, row.key.clone());
        }
    }
}

/// Returns how long a question for changes waits: not at all while the store is lost, so
/// that it is found to answer a second sooner.
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
        log::info!("feed: history forgotten, the table is read anew");
        cursor.version = None;
    }
    cancel.wait(FAILURE_PAUSE);
}
