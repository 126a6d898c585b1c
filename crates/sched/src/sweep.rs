//! Deletes what is older than the retention time.
//!
//! Finished jobs and claims are listed by the hour. The owner of a shard sweeps
//! its list of jobs, the owner of the first shard the list of claims too. What
//! is deleted twice, or by an owner that has just lost its shard, does no harm:
//! a row goes only with its entry in the list, and a claim only if it is as old
//! as its entry.

use std::{sync::Arc, time::Duration};

use gorsespur_core::{name::Name, shard::checkpoint_key};
use gorsespur_runtime::{cancel::CancelToken, clock::wall_hour};
use gorsespur_services::{Objects, Table, TableError};
use gorsespur_wire::{
    codec::decode,
    keys,
    stored::{Claim, ClaimedKey, EndedJob},
    table::{Expect, Row, Tx},
};

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Entries of one sweep; the list is sorted by age.
const SWEEP_ROWS: u32 = 200;

/// Sweeps the lists of one shard.
pub struct Sweep {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// Name of the shard.
    pub shard: Name,
    /// Whether to sweep the list of claims.
    pub include_claims: bool,
    /// Hours for which finished jobs and claims are kept.
    pub retention_hours: u64,
}

impl Sweep {
    /// Sweeps until `cancel`.
    pub fn run(self, cancel: &CancelToken) {
        while !cancel.wait(SWEEP_INTERVAL) {
            if let Err(err) = self.sweep(wall_hour()) {
                log::debug!("sweep: {err}");
            }
        }
    }

    /// Deletes what is too old in `hour`; returns how many jobs and claims.
    pub fn sweep(&self, hour: u64) -> Result<usize, TableError> {
        let min_hour = hour.saturating_sub(self.retention_hours);
        let mut count = self.sweep_jobs(min_hour)?;
        if self.include_claims {
            count += self.sweep_claims(min_hour)?;
        }
        Ok(count)
    }

    fn sweep_jobs(&self, min_hour: u64) -> Result<usize, TableError> {
        let mut count = 0;
        let (rows, _) = self
            .table
            .scan(&keys::ended_rows(&self.shard), None, SWEEP_ROWS)?;
        for row in rows {
            let Ok(job) = decode::<EndedJob>(&row.value) else {
                continue;
            };
            if job.hour >= min_hour {
                break;
            }
            self.delete_checkpoints(&job);
            let tx = Tx::new()
                .delete(keys::job(&job.key))
                .delete(row.key.clone());
            let tx = tx.check(row.key, Expect::Version(row.version));
            count += usize::from(is_deleted(self.table.tx(&tx))?);
        }
        Ok(count)
    }

    /// Deletes checkpoints; those that can't be deleted now are left behind.
    fn delete_checkpoints(&self, job: &EndedJob) {
        for (task, attempts) in job.attempts.iter().enumerate() {
            for attempt in 1..=*attempts {
                let key = checkpoint_key(&self.shard, job.no, task as u32, attempt);
                let _ = self.objects.delete(&key);
            }
        }
    }

    fn sweep_claims(&self, min_hour: u64) -> Result<usize, TableError> {
        let mut count = 0;
        let (rows, _) = self
            .table
            .scan(&Name::from(keys::CLAIMED), None, SWEEP_ROWS)?;
        for row in rows {
            let Ok(entry) = decode::<ClaimedKey>(&row.value) else {
                continue;
            };
            if entry.hour >= min_hour {
                break;
            }
            let key = keys::claim(&entry.org, &entry.key);
            let found = self
                .table
                .get(std::slice::from_ref(&key))?
                .into_iter()
                .next()
                .flatten();
            let mut tx = Tx::new().delete(row.key);
            if let Some(claim) = found.filter(|r| is_listed_claim(r, &entry)) {
                tx = tx
                    .check(key.clone(), Expect::Version(claim.version))
                    .delete(key);
            }
            count += usize::from(is_deleted(self.table.tx(&tx))?);
        }
        Ok(count)
    }
}

/// Tells whether a claim is the one that its entry in the list stands for, and
/// not a later one of the same key.
fn is_listed_claim(row: &Row, entry: &ClaimedKey) -> bool {
    decode::<Claim>(&row.value).is_ok_and(|c| c.hour <= entry.hour)
}

/// Passes over rows that changed meanwhile.
fn is_deleted(result: Result<u64, TableError>) -> Result<bool, TableError> {
    match result {
        Ok(_) => Ok(true),
        Err(TableError::Conflict { .. }) => Ok(false),
        Err(err) => Err(err),
    }
}
