//! What the store holds of the jobs.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use gorsespur_jobs::{Batch, Job, JobId, Machine, Outcome, Record};

/// Records and the log, as batches left them.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    records: BTreeMap<JobId, Vec<u8>>,
    log: VecDeque<Vec<u8>>,
}

impl Ledger {
    /// Makes a batch durable.
    pub fn apply(&mut self, batch: Batch) {
        self.records.extend(batch.records);
        self.log.drain(..batch.dropped_rows);
        self.log.extend(batch.appended_rows);
    }

    /// What a new owner reads.
    pub fn restore<'a>(&self, machine: &mut Machine, jobs: impl IntoIterator<Item = &'a Arc<Job>>) {
        for row in &self.log {
            machine.replay(row).expect("own row");
        }
        for job in jobs {
            let record = self.records.get(&job.id);
            let record = record.map(|r| Record::decode(r).expect("own record"));
            let Some(record) = machine.current_record(job.id, record) else {
                continue;
            };
            assert!(record.is_valid_for(&job.spec));
            machine.restore(job.clone(), &record);
        }
    }

    /// What became of a job.
    pub fn outcome(&self, id: JobId) -> Outcome {
        let record = self.records.get(&id);
        record.map_or(Outcome::Pending, |r| {
            Record::decode(r).expect("own record").outcome
        })
    }

    /// The log's rows, the oldest one first.
    pub fn log(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.log.iter()
    }

    /// Rows of the log, and their bytes.
    pub fn log_size(&self) -> (usize, usize) {
        (self.log.len(), self.log.iter().map(Vec::len).sum())
    }
}
