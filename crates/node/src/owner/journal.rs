//! Writes the journal: batches of records and log rows, and renewals of the lease.
//!
//! Each write is conditional on the head of the journal and replaces it. So a write whose answer
//! was lost can be repeated: only one of the two takes effect, and the number in the head
//! identifies the write.

use std::{collections::VecDeque, sync::Arc, thread, time::Duration};

use flume::{Receiver, RecvTimeoutError};
use gorsespur_core::retry::Backoff;
use gorsespur_jobs::{Batch, Event, QueueFigures};

use super::{
    Tenure,
    inbox::{DurableWrite, InboxSender},
    renewal_gaps::RenewalGaps,
};
use crate::{
    metrics::{Count, Duty},
    row_limits::{fit_figures, fit_pending},
    rows::{
        FIGURES, FiguresRow, HEAD_KEY, HeadRow, JOURNAL, LEARNED, LEASE, LOG, LeaseRow, OWNER_KEY,
        OWNER_PART, POLICIES, RECORDS, decode, encode, log_key, policy_key,
    },
    shared::Shared,
    store::{Commit, Expect, Row, StoreError, Tx, Write},
};

/// Period of renewals of the lease, in milliseconds.
const RENEW_PERIOD_MS: u64 = 400;

/// Largest time by which the owner's last contact with the store may be newer than the last renewal
/// that others see, in milliseconds: writes between two renewals, and a late timer.
pub(crate) const MAX_CONTACT_LEAD_MS: u64 = RENEW_PERIOD_MS + 100;

/// Time limit of a write. At a sixtieth of the store's speed, a write takes 700 ms and waits for
/// others.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time limit of a repeated write while no call to the store is answered. The store is then
/// unreachable and not slow, and frequent attempts notice its recovery sooner.
const SILENT_RETRY_TIMEOUT: Duration = Duration::from_millis(700);

/// First pause after a failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 20;

/// Longest pause after a failure, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

/// An input of the journal's thread.
pub(crate) enum JournalInput {
    /// Keys of the log rows of earlier owners, oldest first. Sent before the first batch.
    Log(Vec<String>),
    /// Makes a batch durable.
    Batch(Batch),
    /// Sets what is published with each renewal of the lease: the number of pending jobs by queue,
    /// and what new jobs can expect.
    Publish(Vec<(Arc<str>, u64)>, Vec<QueueFigures>),
    /// Saves the learned estimates for a later owner.
    Learned(Vec<u8>),
    /// Releases the lease.
    Release,
}

struct Journal<'a> {
    shared: &'a Arc<Shared>,
    lease: LeaseRow,
    figures: FiguresRow,
    /// When the worker leases of earlier owners end, in milliseconds.
    prior_leases_end: u64,
    head: u64,
    number: u64,
    renewed_at: u64,
    renewal_gaps: RenewalGaps,
    /// Learned estimates that are not written yet.
    learned: Option<Vec<u8>>,
    /// Keys of the log rows, oldest first.
    log: VecDeque<String>,
    /// Whether the rows that the owner can do without are written; off once they were rejected.
    writes_optional: bool,
    left_out: LeftOut,
}

/// Number of queues that did not fit into the rows that list queues.
#[derive(Debug, Default, PartialEq, Eq)]
struct LeftOut {
    pending: usize,
    figures: usize,
}

/// A durable write.
struct Written {
    /// When the store was asked, from which its answer counts as contact, in milliseconds.
    asked_at: u64,
    /// Positions of the rows that the store rejected, among those appended to the log.
    rejected: Vec<usize>,
}

impl Written {
    /// Returns a write of which nothing was rejected.
    fn whole(asked_at: u64) -> Written {
        Written {
            asked_at,
            rejected: Vec::new(),
        }
    }
}

/// Why a transaction was not carried out.
enum CommitError {
    /// Another instance owns the lease, or the owner stops.
    LeaseLost,
    /// The store rejects the transaction for good.
    Rejected(String),
}

/// Returns whether the owner can do without the rows of a table.
fn is_optional(table: &str) -> bool {
    matches!(table, FIGURES | LEARNED)
}

/// Writes until the lease is lost or released, or the queue is closed.
pub(crate) fn write(
    shared: &Arc<Shared>,
    tenure: &Tenure,
    inputs: &Receiver<JournalInput>,
    sender: &InboxSender,
) {
    let mut journal = Journal {
        shared,
        lease: LeaseRow {
            owner: shared.settings.name.to_string(),
            epoch: tenure.epoch,
            released: false,
            share: shared.settings.share,
            largest: tenure.largest,
            pending: tenure.pending.clone(),
            term: 0,
            earlier: 0,
            census: tenure.census,
        },
        prior_leases_end: tenure.takeover.prior_leases_end,
        figures: FiguresRow::default(),
        head: tenure.head,
        number: 0,
        renewed_at: tenure.takeover.asked_at,
        renewal_gaps: RenewalGaps::default(),
        learned: None,
        log: VecDeque::new(),
        writes_optional: true,
        left_out: LeftOut::default(),
    };
    loop {
        let due = (journal.renewed_at + RENEW_PERIOD_MS).saturating_sub(shared.clock.now());
        let input = match inputs.recv_timeout(Duration::from_millis(due)) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let (batch, release) = match input {
            Some(JournalInput::Publish(pending, figures)) => {
                journal.publish(pending, figures);
                continue;
            }
            Some(JournalInput::Learned(learned)) => {
                journal.learned = Some(learned);
                continue;
            }
            Some(JournalInput::Log(keys)) => {
                journal.log = keys.into();
                continue;
            }
            Some(JournalInput::Batch(batch)) => (Some(batch), false),
            Some(JournalInput::Release) => (None, true),
            None => (None, false),
        };
        journal.lease.released = release;
        let has_batch = batch.is_some();
        let Some(Written { asked_at, rejected }) = journal.append(batch, inputs) else {
            sender.lease_lost();
            return;
        };
        if release {
            return;
        }
        if !rejected.is_empty() {
            sender.events(vec![Event::RowsRejected(rejected)]);
        }
        sender.durable(DurableWrite {
            asked_at,
            has_batch,
        });
    }
}

impl Journal<'_> {
    /// Sets what the next renewal publishes, as far as it fits into the rows.
    fn publish(&mut self, pending: Vec<(Arc<str>, u64)>, figures: Vec<QueueFigures>) {
        let limit = self.shared.settings.jobs.row_bytes;
        let pending = fit_pending(pending, &self.lease.owner, limit);
        let figures = fit_figures(figures, limit);
        let left_out = LeftOut {
            pending: pending.left_out,
            figures: figures.left_out,
        };
        if left_out != self.left_out {
            log::warn!(pending = left_out.pending, figures = left_out.figures, limit; "journal: queues left out of the lease and of the figures");
            self.shared.metrics.count(Count::RejectedRows);
        }
        self.left_out = left_out;
        self.lease.pending = pending.list;
        self.figures.queues = figures.list;
    }

    /// Writes a batch; returns `None` if the lease is lost or has to be given up.
    fn append(&mut self, batch: Option<Batch>, inputs: &Receiver<JournalInput>) -> Option<Written> {
        self.number += 1;
        // Read before deciding whether the write renews the lease: a pause in between could make
        // the owner's contact newer than its renewals by more than [`MAX_CONTACT_LEAD_MS`].
        let sent = self.shared.clock.now();
        self.lease.term = self.renewal_gaps.term();
        self.lease.census = self.shared.census().unwrap_or(self.lease.census);
        self.lease.earlier = self.prior_leases_end.saturating_sub(sent);
        let tx = self.tx(batch, sent);
        let written = match self.commit(&tx, sent, inputs) {
            Err(CommitError::Rejected(reason)) => self.append_in_parts(tx, sent, inputs, &reason),
            result => result.map(Written::whole),
        };
        match written {
            Ok(written) => Some(written),
            Err(CommitError::LeaseLost) => None,
            Err(CommitError::Rejected(reason)) => {
                log::error!(epoch = self.lease.epoch, reason = reason.as_str(); "journal: giving up the lease, the store rejects its rows");
                None
            }
        }
    }

    /// Writes a transaction until the store answers. Returns the time of contact with the store, as
    /// [`contact_time`] does.
    fn commit(
        &mut self,
        tx: &Tx,
        sent: u64,
        inputs: &Receiver<JournalInput>,
    ) -> Result<u64, CommitError> {
        let renews = tx.writes.iter().any(|w| w.table == LEASE);
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, rand::random());
        let mut failing = false;
        let asked_at = loop {
            let attempted_at = self.shared.clock.now();
            match self
                .shared
                .store(Duty::Journal)
                .commit(tx, write_timeout(failing, self.shared.is_store_lost()))
            {
                Ok(Commit::Done(version)) => {
                    self.accept(version, failing);
                    break contact_time(true, renews, sent, attempted_at);
                }
                Ok(Commit::Conflict(rows)) => {
                    if !self.conflict(&rows, failing) {
                        return Err(CommitError::LeaseLost);
                    }
                    break contact_time(false, renews, sent, attempted_at);
                }
                Err(StoreError::Rejected { reason }) => {
                    self.shared.metrics.count(Count::StoreErrors);
                    return Err(CommitError::Rejected(reason));
                }
                Err(err) => {
                    if !failing {
                        log::warn!(err = err.to_string().as_str(), number = self.number; "journal: write failed");
                    }
                    failing = true;
                    self.shared.metrics.count(Count::StoreErrors);
                    if inputs.is_disconnected() && matches!(err, StoreError::Unavailable { .. }) {
                        return Err(CommitError::LeaseLost);
                    }
                }
            }
            thread::sleep(Duration::from_millis(backoff.next_delay()));
        };
        if renews {
            self.shared.record_renewal(asked_at);
            self.renewed_at = asked_at;
            self.renewal_gaps.record(self.shared.clock.now());
        }
        Ok(asked_at)
    }

    /// Writes a rejected transaction without the rows that the owner can do without, or else row by
    /// row, so that one row does not keep the others from being written.
    ///
    /// A transaction that the store rejects once would be rejected each time.
    fn append_in_parts(
        &mut self,
        tx: Tx,
        sent: u64,
        inputs: &Receiver<JournalInput>,
        reason: &str,
    ) -> Result<Written, CommitError> {
        self.shared.metrics.count(Count::RejectedRows);
        for write in &tx.writes {
            log::error!(reason, table = write.table, key = write.key.as_str(), bytes = write.value.len(), limit = self.shared.settings.jobs.row_bytes; "journal: write rejected");
        }
        let (optional, required): (Vec<_>, Vec<_>) =
            tx.writes.into_iter().partition(|w| is_optional(w.table));
        let tx = Tx {
            writes: required,
            ..tx
        };
        if !optional.is_empty() {
            match self.commit(&tx, sent, inputs) {
                Err(CommitError::Rejected(_)) => {}
                result => {
                    log::warn!("journal: figures and estimates are no longer written");
                    self.writes_optional = false;
                    return result.map(Written::whole);
                }
            }
        }
        self.append_rows(tx, sent, inputs)
    }

    /// Writes the rows of a transaction one by one, and its removals last: they remove rows that
    /// the others replace.
    fn append_rows(
        &mut self,
        tx: Tx,
        sent: u64,
        inputs: &Receiver<JournalInput>,
    ) -> Result<Written, CommitError> {
        let is_batch_row = |w: &Write| matches!(w.table, LOG | POLICIES | RECORDS);
        let (rows, base): (Vec<_>, Vec<_>) = tx.writes.into_iter().partition(is_batch_row);
        let base = Tx {
            writes: base,
            removes: Vec::new(),
            ..tx
        };
        self.commit(&base, sent, inputs)?;
        let mut rejected = Vec::new();
        let mut log_row = 0;
        for row in rows {
            let table = row.table;
            let emptied = Write {
                value: Vec::new(),
                ..row.clone()
            };
            match self.append_part(vec![row], Vec::new(), sent, inputs) {
                Err(CommitError::Rejected(_)) if table == LOG => {
                    // An empty row has no entries, and is dropped in its turn.
                    self.append_part(vec![emptied], Vec::new(), sent, inputs)?;
                    rejected.push(log_row);
                }
                Err(CommitError::Rejected(reason)) if table == POLICIES => {
                    log::error!(key = emptied.key.as_str(), reason = reason.as_str(); "journal: policy of a queue not stored");
                }
                result => drop(result?),
            }
            log_row += usize::from(table == LOG);
        }
        if !tx.removes.is_empty() {
            self.append_part(Vec::new(), tx.removes, sent, inputs)?;
        }
        Ok(Written {
            asked_at: sent,
            rejected,
        })
    }

    /// Writes a part of a batch under a head of its own.
    fn append_part(
        &mut self,
        writes: Vec<Write>,
        removes: Vec<(&'static str, String)>,
        sent: u64,
        inputs: &Receiver<JournalInput>,
    ) -> Result<u64, CommitError> {
        self.number += 1;
        let mut tx = self.head_tx();
        tx.writes.extend(writes);
        tx.removes = removes;
        self.commit(&tx, sent, inputs)
    }

    fn accept(&mut self, version: u64, failing: bool) {
        if failing {
            log::info!(number = self.number; "journal: writes again");
        }
        self.head = version;
        self.shared.record_store_answer();
    }

    /// Handles an unexpected head: either an earlier attempt of this write took effect, or another
    /// instance owns the lease. Returns whether this instance still owns it.
    fn conflict(&mut self, rows: &[Row], failing: bool) -> bool {
        let row = rows.iter().find(|r| r.key == HEAD_KEY);
        let found = row.and_then(|r| decode::<HeadRow>("head", &r.value).map(|h| (h, r.version)));
        let own_head = HeadRow {
            epoch: self.lease.epoch,
            number: self.number,
        };
        match found {
            Some((head, version)) if head == own_head => {
                self.accept(version, failing);
                true
            }
            _ => {
                log::warn!(epoch = self.lease.epoch; "journal: another instance owns the lease");
                false
            }
        }
    }

    /// Returns a transaction that replaces the head, and writes nothing else.
    fn head_tx(&self) -> Tx {
        let head = HeadRow {
            epoch: self.lease.epoch,
            number: self.number,
        };
        Tx {
            part: OWNER_PART.into(),
            expects: vec![Expect {
                table: JOURNAL,
                key: HEAD_KEY.into(),
                version: self.head,
            }],
            writes: vec![Write {
                table: JOURNAL,
                key: HEAD_KEY.into(),
                value: encode(&head),
            }],
            removes: Vec::new(),
        }
    }

    fn tx(&mut self, batch: Option<Batch>, now: u64) -> Tx {
        let mut tx = self.head_tx();
        let writes = &mut tx.writes;
        let due = now >= self.renewed_at + RENEW_PERIOD_MS;
        if due || batch.is_none() || self.lease.released {
            writes.push(Write {
                table: LEASE,
                key: OWNER_KEY.into(),
                value: encode(&self.lease),
            });
            if self.writes_optional {
                writes.push(Write {
                    table: FIGURES,
                    key: OWNER_KEY.into(),
                    value: encode(&self.figures),
                });
            }
        }
        let learned = self.learned.take().filter(|_| self.writes_optional);
        writes.extend(learned.map(|value| Write {
            table: LEARNED,
            key: OWNER_KEY.into(),
            value,
        }));
        let batch = batch.unwrap_or_default();
        let records = batch.records.into_iter().map(|(id, value)| Write {
            table: RECORDS,
            key: id.to_string(),
            value,
        });
        writes.extend(records);
        writes.extend(batch.policies.iter().map(|policy| Write {
            table: POLICIES,
            key: policy_key(&policy.queue),
            value: encode(policy),
        }));
        let dropped = self.log.drain(..batch.dropped_rows.min(self.log.len()));
        tx.removes = dropped.map(|key| (LOG, key)).collect();
        let dropped = batch.dropped_queues.iter();
        tx.removes
            .extend(dropped.map(|queue| (POLICIES, policy_key(queue))));
        for (index, value) in batch.appended_rows.into_iter().enumerate() {
            let key = log_key(self.lease.epoch, self.number, index);
            self.log.push_back(key.clone());
            writes.push(Write {
                table: LOG,
                key,
                value,
            });
        }
        tx
    }
}

/// Returns the time of contact with the store for a write that was first requested at `first` and
/// last at `last`; `done` if the last attempt took effect.
///
/// If the last attempt renewed the lease, the contact counts from that attempt, since others see
/// the renewal no earlier. If an earlier attempt took effect, or the write is not visible to
/// others, it is only certain to have happened after `first`.
pub(super) fn contact_time(done: bool, renews: bool, first: u64, last: u64) -> u64 {
    match done && renews {
        true => last,
        false => first,
    }
}

/// Returns the time limit of a write; `again` for a repeated one, `lost` while no call of the
/// instance to the store is answered.
pub(super) fn write_timeout(again: bool, lost: bool) -> Duration {
    match again && lost {
        true => SILENT_RETRY_TIMEOUT,
        false => WRITE_TIMEOUT,
    }
}
