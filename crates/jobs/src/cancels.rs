//! Cancellations, also of jobs that arrive later.
//!
//! A caller whose submission got no answer may cancel the job before the store carries the
//! submission out, seconds later. An instance of an earlier version submits without regard to the
//! cancellation, so it is remembered until no such write can come any more.
//!
//! Limits: a new owner counts the time from when it read the cancellation.

use crate::{
    model::{ids::JobId, record::Outcome},
    scheduler::Scheduler,
    sorted_map::SortedMap,
};

/// Time for which the cancellation of an unknown job is kept, in milliseconds. The store carries a
/// write out seconds after it was given up, and a job's state is kept for as long.
pub const CANCEL_RETENTION_MS: u64 = 120_000;

/// Cancellations of jobs that are not known, with the time of each in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancels {
    jobs: SortedMap<JobId, u64>,
}

impl EarlyCancels {
    fn add(&mut self, id: JobId, now: u64) {
        self.jobs.insert(id, now);
    }

    /// Removes the cancellation of a job; returns whether there was one.
    pub(crate) fn take(&mut self, id: JobId) -> bool {
        self.jobs.remove(&id).is_some()
    }

    /// Removes and returns at most `limit` jobs whose cancellations are older than the retention.
    fn take_expired(&mut self, now: u64, limit: usize) -> Vec<JobId> {
        let is_expired = |at: u64| now >= at + CANCEL_RETENTION_MS;
        let expired = self.jobs.iter().filter(|&(_, &at)| is_expired(at));
        let expired: Vec<JobId> = expired.map(|(&id, _)| id).take(limit).collect();
        for id in &expired {
            self.jobs.remove(id);
        }
        expired
    }
}

impl Scheduler {
    pub(crate) fn handle_cancelled(&mut self, id: JobId) {
        match self.jobs.get(&id) {
            Some(state) if state.outcome.is_final() => {}
            Some(_) => self.end_job(id, Outcome::Cancelled),
            None => self.early_cancels.add(id, self.now),
        }
    }

    /// Returns at most `limit` jobs that were cancelled [`CANCEL_RETENTION_MS`] ago and have not
    /// arrived, and forgets their cancellations. The caller removes the rows of these.
    pub fn take_expired_cancels(&mut self, limit: usize) -> Vec<JobId> {
        self.early_cancels.take_expired(self.now, limit)
    }
}
