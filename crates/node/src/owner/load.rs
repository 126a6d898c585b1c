//! Reads all jobs and workers after a takeover.

use std::sync::Arc;

use gorsespur_jobs::{Event, JobId, Learned, Machine, Record, SortedMap};
use gorsespur_runtime::clock::wall_ms;

use super::{
    Tenure,
    contents::read_contents,
    feed::{self, Cursor},
};
use crate::{
    follow::refresh_at,
    metrics::{Count, Duty},
    rows::{LEARNED, OWNER_KEY, OWNER_PART, decode},
    shared::Shared,
    store::{Row, StoreError},
};

/// A machine that knows all jobs, and from where on changes are to be followed.
pub(crate) struct Loaded {
    pub(crate) machine: Machine,
    /// Keys of the log's rows, the oldest one first.
    pub(crate) log: Vec<String>,
    pub(crate) jobs: Cursor,
    pub(crate) workers: Cursor,
}

/// Reads all jobs, their records and the workers.
pub(crate) fn load(shared: &Arc<Shared>, tenure: &Tenure) -> Result<Loaded, StoreError> {
    let now = shared.clock.now();
    let mut machine = Machine::new(shared.settings.jobs, now, tenure.takeover);
    if let Some(learned) = learned(shared) {
        machine.import_learned(&learned);
    }
    let mut records: SortedMap<String, Record> = SortedMap::default();
    let mut unreadable: Vec<String> = Vec::new();
    // No other owner writes records or the log any more: they fit each other, whichever was read
    // first.
    let contents = read_contents(shared)?;
    let log = replay(shared, &mut machine, contents.log);
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
    let mut rows = contents.jobs;
    rows.retain(|row| {
        // What has run of such a job is not known: begun anew it might run twice.
        if unreadable.contains(&row.key) {
            return false;
        }
        let id = row.key.parse::<JobId>().ok();
        let record = records.get(&row.key).cloned();
        let record = id.and_then(|id| machine.current_record(id, record));
        let Some(record) = record else {
            return true;
        };
        let Some(job) = feed::read_job(shared, row) else {
            return false;
        };
        if !record.is_valid_for(&job.spec) {
            shared.metrics.count(Count::BadRows);
            log::error!(key = row.key.as_str(); "owner: record of another job, the job is left alone");
            return false;
        }
        machine.restore(Arc::new(job), &record);
        // It need not be read and told a second time.
        false
    });
    let jobs = Cursor::new(contents.version);
    let mut workers = Cursor::from_start();
    let mut events = Vec::new();
    feed::job_events(shared, &rows, &mut events);
    if let Some(config) = shared.config() {
        events.push(Event::Queues(config.policies()));
    }
    // What this instance followed so far may be old: it may have been cut off. The first turn
    // tells the machine which zones are evacuated then, before anything is placed.
    refresh_at(shared, Duty::Takeover)?;
    feed::apply_listing(shared, &mut workers, &contents.workers, &mut events);
    for event in events {
        machine.handle(shared.clock.now(), wall_ms(), event);
    }
    machine.log_unverified_runs();
    Ok(Loaded {
        machine,
        log,
        jobs,
        workers,
    })
}

/// Has a machine take the log; returns the keys of its rows.
fn replay(shared: &Shared, machine: &mut Machine, rows: Vec<Row>) -> Vec<String> {
    for row in &rows {
        if let Err(err) = machine.replay(&row.value) {
            shared.metrics.count(Count::BadRows);
            log::error!(key = row.key.as_str(), err = err.to_string().as_str(); "owner: row of the log can't be read");
        }
    }
    rows.into_iter().map(|r| r.key).collect()
}

/// Reads what earlier owners learned; without it all can be done, and is learned anew.
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
