//! Removes the rows of cancellations whose jobs never arrived.
//!
//! A row is removed only in the version that was read, and only if the job does not exist, so that
//! a removal which is carried out late harms nothing. One whose answer is lost is tried again.

use std::{collections::VecDeque, time::Duration};

use gorsespur_jobs::{CANCEL_RETENTION_MS, JobId};
use gorsespur_runtime::clock::wall_ms;

use crate::{
    metrics::Duty,
    rows::{CancelRow, JOBS, cancel_key, decode, job_part},
    shared::Shared,
    store::{Commit, Expect, Row, StoreError, Tx, has_row},
};

/// Rows that are removed in one round at most, which leaves the store to more urgent calls.
const MAX_PER_ROUND: usize = 64;

/// Time limit of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// What became of the row of a cancellation.
#[derive(Debug)]
enum Removal {
    /// The row is gone, or was renewed.
    Done,
    /// The job exists.
    Arrived,
}

/// Jobs whose cancellations are to be removed.
#[derive(Debug, Default)]
pub(super) struct Cleaner {
    queue: VecDeque<JobId>,
}

impl Cleaner {
    /// Adds jobs.
    pub(super) fn add(&mut self, jobs: impl Iterator<Item = JobId>) {
        self.queue.extend(jobs);
    }

    /// Removes the rows of some jobs. Returns the jobs that exist after all.
    pub(super) fn clean(&mut self, shared: &Shared) -> Vec<JobId> {
        let mut arrived = Vec::new();
        for _ in 0..MAX_PER_ROUND {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            match remove(shared, id) {
                Ok(Removal::Done) => {}
                Ok(Removal::Arrived) => arrived.push(id),
                Err(StoreError::Rejected { reason }) => {
                    log::error!(job = id.to_string().as_str(), reason = reason.as_str(); "cancels: the store rejects a removal");
                }
                Err(err) => {
                    log::debug!(job = id.to_string().as_str(), err = err.to_string().as_str(); "cancels: removal failed");
                    self.queue.push_back(id);
                    break;
                }
            }
        }
        arrived
    }
}

fn remove(shared: &Shared, id: JobId) -> Result<Removal, StoreError> {
    let store = shared.store(Duty::Census);
    let (part, key) = (job_part(id), cancel_key(id));
    let row = store.read_one(JOBS, &part, &key)?;
    let Some(row) = row.filter(|r| is_old(r, wall_ms())) else {
        return Ok(Removal::Done);
    };
    let expect = |key: String, version| Expect {
        table: JOBS,
        key,
        version,
    };
    let tx = Tx {
        part,
        expects: vec![expect(id.to_string(), 0), expect(key.clone(), row.version)],
        writes: Vec::new(),
        removes: vec![(JOBS, key)],
    };
    let rows = match store.commit(&tx, WRITE_TIMEOUT)? {
        Commit::Done(_) => {
            log::info!(job = id.to_string().as_str(); "cancels: removed, the job never arrived");
            return Ok(Removal::Done);
        }
        Commit::Conflict(rows) => rows,
    };
    match has_row(&rows, &id.to_string()) {
        true => Ok(Removal::Arrived),
        false => Ok(Removal::Done),
    }
}

/// Returns whether a cancellation was not renewed since it was read; a renewed one is reported
/// again by the feed. Half of the retention covers the differences between the instances' clocks.
fn is_old(row: &Row, now: u64) -> bool {
    let at = match row.value.is_empty() {
        true => None,
        false => decode::<CancelRow>("cancellation", &row.value),
    };
    at.is_none_or(|row| now >= row.at + CANCEL_RETENTION_MS / 2)
}
