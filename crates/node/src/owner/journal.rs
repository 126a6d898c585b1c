//! Writes the journal: batches of records and log rows, and renewals of the lease.
//!
//! Each write is conditional on the head of the journal and replaces it. So a write whose answer
//! was lost can be repeated: only one of the two takes effect, and the number in the head
//! identifies the write.

use std::{collections::VecDeque, sync::Arc, thread, time::Duration};

use flume::{Receiver, RecvTimeoutError};
use gorsespur_core::retry::Backoff;
use gorsespur_jobs::{Batch, QueueFigures};

use super::{
    Tenure,
    inbox::{DurableWrite, InboxSender},
    renewal_gaps::RenewalGaps,
};
use crate::{
    metrics::{Count, Duty},
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
                journal.lease.pending = pending;
                journal.figures.queues = figures;
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
        let Some(asked_at) = journal.append(batch, inputs) else {
            sender.lease_lost();
            return;
        };
        if release {
            return;
        }
        sender.durable(DurableWrite {
            asked_at,
            has_batch,
        });
    }
}

impl Journal<'_> {
    /// Writes a batch. Returns the time of contact with the store, as [`contact_time`] does; `None`
    /// if the lease is lost.
    fn append(&mut self, batch: Option<Batch>, inputs: &Receiver<JournalInput>) -> Option<u64> {
        self.number += 1;
        // Read before deciding whether the write renews the lease: a pause in between could make
        // the owner's contact newer than its renewals by more than [`MAX_CONTACT_LEAD_MS`].
        let sent = self.shared.clock.now();
        self.lease.term = self.renewal_gaps.term();
        self.lease.census = self.shared.census().unwrap_or(self.lease.census);
        self.lease.earlier = self.prior_leases_end.saturating_sub(sent);
        let tx = self.tx(batch, sent);
        let renews = tx.writes.iter().any(|w| w.table == LEASE);
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, rand::random());
        let mut failing = false;
        let asked_at = loop {
            let attempted_at = self.shared.clock.now();
            match self
                .shared
                .store(Duty::Journal)
                .commit(&tx, write_timeout(failing, self.shared.is_store_lost()))
            {
                Ok(Commit::Done(version)) => {
                    self.accept(version, failing);
                    break contact_time(true, renews, sent, attempted_at);
                }
                Ok(Commit::Conflict(rows)) => {
                    if !self.conflict(&rows, failing) {
                        return None;
                    }
                    break contact_time(false, renews, sent, attempted_at);
                }
                Err(err) => {
                    if !failing {
                        log::warn!(err = err.to_string().as_str(), number = self.number; "journal: write failed");
                    }
                    failing = true;
                    self.shared.metrics.count(Count::StoreErrors);
                    if inputs.is_disconnected() && matches!(err, StoreError::Unavailable { .. }) {
                        return None;
                    }
                }
            }
            thread::sleep(Duration::from_millis(backoff.next_delay()));
        };
        if renews {
            self.renewed_at = asked_at;
            self.renewal_gaps.record(self.shared.clock.now());
        }
        Some(asked_at)
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

    fn tx(&mut self, batch: Option<Batch>, now: u64) -> Tx {
        let head = HeadRow {
            epoch: self.lease.epoch,
            number: self.number,
        };
        let mut writes = vec![Write {
            table: JOURNAL,
            key: HEAD_KEY.into(),
            value: encode(&head),
        }];
        let due = now >= self.renewed_at + RENEW_PERIOD_MS;
        if due || batch.is_none() || self.lease.released {
            writes.push(Write {
                table: LEASE,
                key: OWNER_KEY.into(),
                value: encode(&self.lease),
            });
            writes.push(Write {
                table: FIGURES,
                key: OWNER_KEY.into(),
                value: encode(&self.figures),
            });
        }
        let learned = self.learned.take().map(|value| Write {
            table: LEARNED,
            key: OWNER_KEY.into(),
            value,
        });
        writes.extend(learned);
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
        let mut removes: Vec<_> = dropped.map(|key| (LOG, key)).collect();
        let dropped = batch.dropped_queues.iter();
        removes.extend(dropped.map(|queue| (POLICIES, policy_key(queue))));
        for (index, value) in batch.appended_rows.into_iter().enumerate() {
            let key = log_key(self.lease.epoch, self.number, index);
            self.log.push_back(key.clone());
            writes.push(Write {
                table: LOG,
                key,
                value,
            });
        }
        Tx {
            part: OWNER_PART.into(),
            expects: vec![Expect {
                table: JOURNAL,
                key: HEAD_KEY.into(),
                version: self.head,
            }],
            writes,
            removes,
        }
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
