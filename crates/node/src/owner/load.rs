//! Builds the owner's scheduler from the store after a takeover.

use std::sync::Arc;

use gorsespur_jobs::{Event, JobId, Learned, QueuePolicy, Record, Scheduler, SortedMap};
use gorsespur_runtime::clock::wall_ms;

use super::{
    Tenure,
    contents::read_contents,
    feed::{self, Cursor},
};
use crate::{
    follow::refresh_at,
    metrics::{Count, Duty},
    rows::{JobRow, LEARNED, OWNER_KEY, OWNER_PART, decode},
    shared::Shared,
    store::{Row, StoreError},
};

/// A scheduler with all jobs, and the positions from which to follow changes.
pub(crate) struct Loaded {
    pub(crate) scheduler: Scheduler,
    /// Keys of the log rows, oldest first.
    pub(crate) log: Vec<String>,
    pub(crate) jobs: Cursor,
    pub(crate) workers: Cursor,
}

/// Reads all jobs, their records and the workers.
pub(crate) fn load(shared: &Arc<Shared>, tenure: &Tenure) -> Result<Loaded, StoreError> {
    let now = shared.clock.now();
    let mut scheduler = Scheduler::new(shared.settings.jobs, now, tenure.takeover);
    if let Some(learned) = learned(shared) {
        scheduler.import_learned(&learned);
    }
    let mut records: SortedMap<String, Record> = SortedMap::default();
    let mut unreadable: Vec<String> = Vec::new();
    // No other owner writes records or the log any more, so they are consistent whichever is read
    // first.
    let contents = read_contents(shared)?;
    let log = replay(shared, &mut scheduler, contents.log);
    for row in contents.records {
        match Record::decode(&row.value) {
            Ok(record) => {
                records.insert(row.key, record);
            }
            Err(err) => {
                shared.metrics.count(Count::BadRows);
                log::error!(key = row.key.as_str(), err = err.to_string().as_str(); "owner: record can't be read, its job is left alone");
                unreadable.push(row.key);
            }
        }
    }
    restore_policies(shared, &mut scheduler, &contents.policies);
    let mut rows = contents.jobs;
    rows.retain(|row| {
        // Which tasks of such a job have run is unknown; if restarted, they might run twice.
        if unreadable.contains(&row.key) {
            return false;
        }
        let id = row.key.parse::<JobId>().ok();
        let record = records.get(&row.key).cloned();
        let record = id.and_then(|id| scheduler.current_record(id, record));
        let Some(record) = record else {
            return true;
        };
        let Some(JobRow { job, policy }) = feed::read_job(shared, row) else {
            return false;
        };
        if !record.is_valid_for(&job.spec) {
            shared.metrics.count(Count::BadRows);
            log::error!(key = row.key.as_str(); "owner: record of another job, the job is left alone");
            return false;
        }
        if let Some(policy) = policy.filter(|_| !record.outcome.is_final()) {
            let event = Event::AcceptedUnder(policy);
            scheduler.handle(shared.clock.now(), wall_ms(), event);
        }
        scheduler.restore(Arc::new(job), &record);
        // Restored above, so that it needs no event of its own.
        false
    });
    let jobs = Cursor::new(contents.version);
    let mut workers = Cursor::from_start();
    let mut events = Vec::new();
    feed::job_events(shared, &rows, &mut events);
    if let Some(config) = shared.config() {
        events.push(Event::Queues(config.policies()));
    }
    // The zones that this instance has followed so far may be outdated, since it may have been cut
    // off. The first pass of the decision loop passes them to the scheduler, before anything is
    // placed.
    refresh_at(shared, Duty::Takeover)?;
    feed::apply_listing(shared, &mut workers, &contents.workers, &mut events);
    for event in events {
        scheduler.handle(shared.clock.now(), wall_ms(), event);
    }
    scheduler.log_unverified_runs();
    Ok(Loaded {
        scheduler,
        log,
        jobs,
        workers,
    })
}

/// Restores the policies that earlier owners stored.
fn restore_policies(shared: &Shared, scheduler: &mut Scheduler, rows: &[Row]) {
    for row in rows {
        match decode::<QueuePolicy>("policy", &row.value) {
            Some(policy) => scheduler.restore_policy(policy),
            None => shared.metrics.count(Count::BadRows),
        }
    }
}

/// Replays the log into a scheduler; returns the keys of its rows.
fn replay(shared: &Shared, scheduler: &mut Scheduler, rows: Vec<Row>) -> Vec<String> {
    for row in &rows {
        if let Err(err) = scheduler.replay(&row.value) {
            shared.metrics.count(Count::BadRows);
            log::error!(key = row.key.as_str(), err = err.to_string().as_str(); "owner: row of the log can't be read");
        }
    }
    rows.into_iter().map(|r| r.key).collect()
}

/// Reads the learned estimates of earlier owners; without them the owner works, and learns them
/// again.
fn learned(shared: &Shared) -> Option<Learned> {
    match shared
        .store(Duty::Takeover)
        .read_one(LEARNED, OWNER_PART, OWNER_KEY)
    {
        Ok(row) => row.and_then(|r| decode("learned", &r.value)),
        Err(err) => {
            log::warn!(err = err.to_string().as_str(); "owner: nothing that was learned is known");
            None
        }
    }
}
