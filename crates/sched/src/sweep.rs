//! Deletes finished jobs and claims that are older than the retention time.
//!
//! Finished jobs and claims of idempotency keys are listed by the hour. The owner
//! of a shard sweeps the shard's list of jobs; the owner of the first shard also
//! sweeps the list of claims. A sweep is safe to repeat, also by an owner that
//! has just lost its shard: a row is deleted only together with its list entry,
//! and a claim only if it is not newer than its entry.

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

/// Maximum number of list entries per sweep; the oldest entries come first.
const SWEEP_ROWS: u32 = 200;

/// The sweep of one shard's lists.
pub struct Sweep {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// Name of the shard.
    pub shard: Name,
    /// Whether to sweep the list of claims of idempotency keys too.
    pub include_claims: bool,
    /// Hours for which finished jobs and claims are kept.
    pub retention_hours: u64,
}

impl Sweep {
    /// Sweeps at intervals until `cancel`.
    pub fn run(self, cancel: &CancelToken) {
        while !cancel.wait(SWEEP_INTERVAL) {
            if let Err(err) = self.sweep(wall_hour()) {
                log::debug!("sweep: {err}");
            }
        }
    }

    /// Deletes jobs and claims whose retention time has passed in `hour`; returns
    /// their number.
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

    /// Deletes the checkpoints of a job. Failures are ignored, and the checkpoint
    /// is left behind.
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

/// Returns whether a claim is the one that its list entry was written for, not a
/// later claim of the same key.
fn is_listed_claim(row: &Row, entry: &ClaimedKey) -> bool {
    decode::<Claim>(&row.value).is_ok_and(|c| c.hour <= entry.hour)
}

/// Returns whether the transaction deleted its rows; a conflict means that they
/// changed in the meantime and is no error.
fn is_deleted(result: Result<u64, TableError>) -> Result<bool, TableError> {
    match result {
        Ok(_) => Ok(true),
        Err(TableError::Conflict { .. }) => Ok(false),
        Err(err) => Err(err),
    }
}
