//! A shard's row and journal, written by its owner.
//!
//! Every write is conditional on the version of the shard's row. A write whose
//! answer was lost is resolved by reading the row back; until that is done the
//! same write is repeated with the same token, so that it can take effect once
//! at most.

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

/// First and longest delay before a write is repeated, in milliseconds.
const FIRST_DELAY_MS: u64 = 50;
const MAX_DELAY_MS: u64 = 2_000;

/// Why a write has no result.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum JournalError {
    /// Another instance owns the shard.
    #[snafu(display("another instance owns the shard"))]
    Fenced,
    /// The time to give up came first; what became of the write is not known.
    #[snafu(display("gave up"))]
    Cancelled,
    /// Records are missing before a batch.
    #[snafu(display("batch starts at record {first}, the journal ends before {next}"))]
    Gap {
        /// Number of the batch's first record.
        first: u64,
        /// Number of the journal's next record.
        next: u64,
    },
    /// A value can't be encoded.
    #[snafu(display("a record can't be encoded"))]
    Encode,
}

/// Records that go into one row of the journal.
#[derive(Debug, Default)]
pub struct Batch {
    /// Number of the first record.
    pub first: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Jobs that they finish.
    pub finished: Vec<FinishedJob>,
}

/// An instance that takes a shard.
#[derive(Debug, Clone)]
pub struct NewOwner {
    /// Its name.
    pub id: Name,
    /// Address at which its peers reach it.
    pub addr: SocketAddr,
    /// Longest time for which it goes on without the table service.
    pub hold: u64,
    /// Its clock.
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
    /// Takes over a shard whose row was read with `version`; 0 for no row.
    ///
    /// Errors: another instance was faster, or `cancel` came first.
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

    /// Returns the shard's row as last written.
    pub fn row(&self) -> &ShardRow {
        &self.row
    }

    /// Renews the lease and states the hold; returns when that was sent.
    pub fn renew(&mut self, hold: u64, cancel: &CancelToken) -> Result<u64, JournalError> {
        let row = ShardRow {
            hold,
            ..self.row.clone()
        };
        self.write(row, Tx::new(), cancel)
    }

    /// States from the next write on that no earlier owner renews leases.
    pub fn settle(&mut self) {
        self.row.settled = true;
    }

    /// Appends a batch, which renews the lease too; returns when it was sent.
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

    /// Returns the number of the next row: where a snapshot of all that is
    /// written now would cut the journal.
    pub fn next_row(&self) -> u64 {
        self.row.next_row
    }

    /// Cuts the journal before row `cut`, behind a snapshot in the object store
    /// that ends before record `next`; returns when that was sent.
    ///
    /// Every record before `next` must be in a row before `cut`.
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

    /// Gives the shard up, so that another instance can take it at once.
    pub fn release(&mut self, cancel: &CancelToken) -> Result<u64, JournalError> {
        let row = ShardRow {
            owner: None,
            ..self.row.clone()
        };
        self.write(row, Tx::new(), cancel)
    }

    /// Writes the row and what goes with it; returns when the first try was sent.
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

    /// Reads the shard's row to learn what became of a write.
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
