//! The journal and row of a shard, written by the shard's owner.
//!
//! Every write is conditional on the version of the shard's row, which fences
//! off earlier owners. If the answer to a write is lost, the row is read back to
//! find out whether the write took effect. Until that is clear, the same write
//! is repeated with the same token, so that it takes effect at most once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gorsespur_core::{
    name::Name,
    owner::{ShardRow, WriteOutcome, resolve_write},
    retry::Backoff,
    shard::{FinishedJob, Record},
};
use gorsespur_runtime::{
    cancel::CancelToken,
    clock::{Clock, wall_hour},
};
use gorsespur_services::{Table, TableError};
use gorsespur_wire::{
    codec::{decode, encode},
    keys,
    stored::{EndedJob, JobRow, JournalRow},
    table::{Expect, Tx},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use snafu::{Snafu, ensure};

/// Bounds of the backoff between attempts of a write.
const FIRST_DELAY_MS: u64 = 50;
const MAX_DELAY_MS: u64 = 2_000;

/// A reason why a write was not confirmed.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum JournalError {
    /// Another instance owns the shard.
    #[snafu(display("another instance owns the shard"))]
    Fenced,
    /// The write was cancelled; whether it took effect is not known.
    #[snafu(display("write was cancelled"))]
    Cancelled,
    /// Records are missing between the journal and a batch.
    #[snafu(display(
        "batch starts at record {first}, but the next record of the journal is {next}"
    ))]
    Gap {
        /// Number of the batch's first record.
        first: u64,
        /// Number of the journal's next record.
        next: u64,
    },
    /// A value can't be encoded.
    #[snafu(display("can't encode a record"))]
    Encode,
}

/// Records for one row of the journal.
#[derive(Debug, Default)]
pub struct Batch {
    /// Number of the first record.
    pub first: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Jobs that these records finish.
    pub finished: Vec<FinishedJob>,
}

/// The instance that acquires a shard.
#[derive(Debug, Clone)]
pub struct NewOwner {
    /// Name of the instance.
    pub id: Name,
    /// Address at which its peers reach it.
    pub addr: SocketAddr,
    /// Longest time, in milliseconds, for which the instance keeps renewing
    /// leases without the table service.
    pub hold: u64,
    /// Clock of the instance.
    pub clock: Clock,
}

/// The journal of a shard that this instance owns.
pub struct Journal {
    table: Arc<dyn Table>,
    shard: Name,
    row: ShardRow,
    version: u64,
    rng: SmallRng,
    backoff: Backoff,
    clock: Clock,
}

impl Journal {
    /// Acquires a shard whose row `found` was read with `version`, 0 if there
    /// is no row.
    ///
    /// Fails if another instance acquires the shard first, or on `cancel`.
    pub fn acquire(
        table: Arc<dyn Table>,
        shard: &Name,
        found: Option<&ShardRow>,
        version: u64,
        owner: &NewOwner,
        cancel: &CancelToken,
    ) -> Result<Journal, JournalError> {
        let seed =
            gorsespur_core::hashing::stable_hash(&[&owner.id, shard]) ^ owner.clock.now_micros();
        let old = found.cloned().unwrap_or(ShardRow {
            epoch: 0,
            owner: None,
            addr: owner.addr,
            token: 0,
            next_record: 0,
            first_record: 0,
            next_row: 0,
            first_row: 0,
            hold: 0,
            settled: true,
        });
        let new = ShardRow {
            settled: old.settled && old.owner.is_none(),
            epoch: old.epoch + 1,
            owner: Some(owner.id.clone()),
            addr: owner.addr,
            hold: owner.hold.max(old.hold),
            ..old.clone()
        };
        let mut journal = Journal {
            table,
            shard: shard.clone(),
            row: old,
            version,
            rng: SmallRng::seed_from_u64(seed),
            backoff: Backoff::new(FIRST_DELAY_MS, MAX_DELAY_MS, seed),
            clock: owner.clock,
        };
        journal.write(new, Tx::new(), cancel)?;
        Ok(journal)
    }

    /// Returns the shard's row as it was last written.
    pub fn row(&self) -> &ShardRow {
        &self.row
    }

    /// Renews the lease and records the hold, in milliseconds. Returns the time
    /// at which the write was sent.
    pub fn renew(&mut self, hold: u64, cancel: &CancelToken) -> Result<u64, JournalError> {
        let row = ShardRow {
            hold,
            ..self.row.clone()
        };
        self.write(row, Tx::new(), cancel)
    }

    /// Records with the next write that no earlier owner can renew leases.
    pub fn settle(&mut self) {
        self.row.settled = true;
    }

    /// Appends a batch, which also renews the lease. Returns the time at which
    /// the write was sent.
    pub fn append(
        &mut self,
        batch: &Batch,
        hold: u64,
        cancel: &CancelToken,
    ) -> Result<u64, JournalError> {
        let (first, next) = (batch.first, self.row.next_record);
        ensure!(first == next, GapSnafu { first, next });
        let value = JournalRow {
            epoch: self.row.epoch,
            first: batch.first,
            records: batch.records.clone(),
        };
        let value = encode(&value).map_err(|_| JournalError::Encode)?;
        let mut tx = Tx::new().put(keys::journal(&self.shard, self.row.next_row), value);
        for record in &batch.records {
            let Record::Submitted(spec) = record else {
                continue;
            };
            if !spec.service {
                tx = tx.delete(keys::inbox(&self.shard, &spec.key));
            }
        }
        for job in &batch.finished {
            let row = JobRow {
                shard: self.shard.clone(),
                spec: job.spec.clone(),
                ended: Some(job.status.clone()),
            };
            let value = encode(&row).map_err(|_| JournalError::Encode)?;
            let hour = wall_hour();
            let ended_job = EndedJob {
                key: job.spec.key.clone(),
                hour,
                no: job.number,
                attempts: job.attempts.clone(),
            };
            let entry = encode(&ended_job).map_err(|_| JournalError::Encode)?;
            tx = tx
                .put(keys::job(&job.spec.key), value)
                .put(keys::ended(&self.shard, hour, &job.spec.key), entry);
        }
        let row = ShardRow {
            next_record: batch.first + batch.records.len() as u64,
            next_row: self.row.next_row + 1,
            hold,
            ..self.row.clone()
        };
        self.write(row, tx, cancel)
    }

    /// Returns the number of the next row. After a snapshot of everything
    /// written so far, the journal can be truncated up to this row.
    pub fn next_row(&self) -> u64 {
        self.row.next_row
    }

    /// Deletes all rows before `first_row`, after a snapshot of the records
    /// before `next_record` was put into the object store. Returns the time at
    /// which the write was sent.
    ///
    /// The rows before `first_row` must not contain `next_record` or later
    /// records.
    pub fn truncate(
        &mut self,
        next_record: u64,
        first_row: u64,
        cancel: &CancelToken,
    ) -> Result<u64, JournalError> {
        let mut tx = Tx::new();
        for row in self.row.first_row..first_row {
            tx = tx.delete(keys::journal(&self.shard, row));
        }
        let row = ShardRow {
            first_record: next_record,
            first_row,
            ..self.row.clone()
        };
        self.write(row, tx, cancel)
    }

    /// Releases the shard, so that another instance can acquire it without
    /// waiting for the lease to expire.
    pub fn release(&mut self, cancel: &CancelToken) -> Result<u64, JournalError> {
        let row = ShardRow {
            owner: None,
            ..self.row.clone()
        };
        self.write(row, Tx::new(), cancel)
    }

    /// Writes the row in one transaction with `tx`. Returns the time of the first
    /// attempt.
    fn write(
        &mut self,
        mut row: ShardRow,
        tx: Tx,
        cancel: &CancelToken,
    ) -> Result<u64, JournalError> {
        row.token = self.rng.random_range(1..=u64::MAX);
        let key = keys::shard(&self.shard);
        let expect = match self.version {
            0 => Expect::Absent,
            v => Expect::Version(v),
        };
        let value = encode(&row).map_err(|_| JournalError::Encode)?;
        let tx = tx.check(key.clone(), expect).put(key.clone(), value);
        let sent = self.clock.now();
        loop {
            let found = match self.table.tx(&tx) {
                Ok(version) => Some(WriteOutcome::Applied(version)),
                Err(TableError::Unavailable) => None,
                Err(TableError::Unknown | TableError::Conflict { .. }) => {
                    self.read_back(&key, row.token)
                }
            };
            match found {
                Some(WriteOutcome::Applied(version)) => {
                    self.row = row;
                    self.version = version;
                    self.backoff.reset();
                    return Ok(sent);
                }
                Some(WriteOutcome::Lost) => return Err(JournalError::Fenced),
                Some(WriteOutcome::Repeat) | None => {}
            }
            let delay = Duration::from_millis(self.backoff.next_delay());
            if cancel.wait(delay) {
                return Err(JournalError::Cancelled);
            }
        }
    }

    /// Reads the shard's row to find out whether a write took effect.
    fn read_back(&self, key: &Name, token: u64) -> Option<WriteOutcome> {
        let rows = self.table.get(std::slice::from_ref(key)).ok()?;
        let found = rows.first().and_then(|r| r.as_ref());
        let version = found.map_or(0, |r| r.version);
        let row = match found {
            Some(r) => Some(decode::<ShardRow>(&r.value).ok()?),
            None => None,
        };
        Some(resolve_write(token, self.version, row.as_ref(), version))
    }
}
