//! The records and the log of jobs in the store.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use gorsespur_jobs::{Batch, Job, JobId, Outcome, QueuePolicy, Record, Scheduler};

/// Number of entries that a transaction of the store holds.
const MAX_ENTRIES: usize = 100;

/// Entries of a transaction that are not in the batch: the condition, the head of the journal, the
/// lease, the figures of the queues and what was learned.
const OTHER_ENTRIES: usize = 5;

/// The records and the log after the committed batches.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    records: BTreeMap<JobId, Vec<u8>>,
    log: VecDeque<Vec<u8>>,
    policies: BTreeMap<Arc<str>, QueuePolicy>,
}

impl Ledger {
    /// Applies a committed batch.
    pub fn apply(&mut self, batch: Batch) {
        let rows = batch.records.len() + batch.appended_rows.len() + batch.dropped_rows;
        let entries = rows + batch.policies.len() + batch.dropped_queues.len();
        assert!(entries + OTHER_ENTRIES <= MAX_ENTRIES, "{entries} entries");
        self.records.extend(batch.records);
        self.log.drain(..batch.dropped_rows);
        self.log.extend(batch.appended_rows);
        for policy in batch.policies {
            self.policies.insert(policy.queue.clone(), policy);
        }
        for queue in batch.dropped_queues {
            self.policies.remove(&queue);
        }
    }

    /// Restores a new owner from the stored rows.
    pub fn restore<'a>(
        &self,
        scheduler: &mut Scheduler,
        jobs: impl IntoIterator<Item = &'a Arc<Job>>,
    ) {
        for policy in self.policies.values() {
            scheduler.restore_policy(policy.clone());
        }
        for row in &self.log {
            scheduler.replay(row).expect("own row");
        }
        for job in jobs {
            let record = self.records.get(&job.id);
            let record = record.map(|r| Record::decode(r).expect("own record"));
            let Some(record) = scheduler.current_record(job.id, record) else {
                continue;
            };
            assert!(record.is_valid_for(&job.spec));
            scheduler.restore(job.clone(), &record);
        }
    }

    /// Returns the outcome of a job.
    pub fn outcome(&self, id: JobId) -> Outcome {
        let record = self.records.get(&id);
        record.map_or(Outcome::Pending, |r| {
            Record::decode(r).expect("own record").outcome
        })
    }

    /// Returns the queues with a stored policy.
    pub fn stored_queues(&self) -> Vec<Arc<str>> {
        self.policies.keys().cloned().collect()
    }

    /// Returns the rows of the log, the oldest one first.
    pub fn log(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.log.iter()
    }

    /// Returns the number of rows of the log and their size in bytes.
    pub fn log_size(&self) -> (usize, usize) {
        (self.log.len(), self.log.iter().map(Vec::len).sum())
    }
}
