//! Tests of the journal's time limits, and of what it publishes to other instances.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use gorsespur_http::Traffic;
use gorsespur_jobs::{Batch, JobId, QueuePolicy, Takeover};
use test_case::test_case;

use super::{
    Tenure,
    inbox::{Inbox, Message},
    journal::{JournalInput, contact_time, write, write_timeout},
};
use crate::{
    census::Census,
    fakes_tests::{LeaseStore, shared},
    rows::{FIGURES, JOURNAL, LEARNED, LEASE, LOG, LeaseRow, POLICIES, RECORDS},
    store::{Changes, Commit, Page, Range, Store, StoreError, Tx, Write},
};

/// A slow store answers some calls; an unreachable one answers none and is called again soon,
/// except that a first attempt may meet either.
#[test_case(false, false, 2500; "first attempt")]
#[test_case(false, true, 2500; "first attempt while other calls get no answer")]
#[test_case(true, false, 2500; "slow")]
#[test_case(true, true, 700; "unreachable")]
fn an_unreachable_store_is_retried_soon(again: bool, lost: bool, ms: u64) {
    assert_eq!(write_timeout(again, lost), Duration::from_millis(ms));
}

fn tenure(prior_leases_end: u64) -> Tenure {
    Tenure {
        epoch: 1,
        largest: 500,
        census: Census::default(),
        pending: Vec::new(),
        head: 1,
        takeover: Takeover {
            asked_at: 0,
            prior_leases_end,
        },
    }
}

/// A released lease still publishes when worker leases of owners before the last one end.
#[test]
fn a_released_lease_publishes_when_earlier_leases_end() {
    let store = LeaseStore::new(LeaseRow::default());
    let shared = shared(store.clone());
    // Far enough in the future that the duration of the test does not matter.
    let prior_leases_end = u64::MAX / 2;
    let tenure = tenure(prior_leases_end);
    let (sender, inputs) = flume::bounded(1);
    sender.send(JournalInput::Release).expect("room");
    let inbox = Inbox::new().expect("an event loop");
    write(&shared, &tenure, &inputs, &inbox.sender());
    let newest = store.newest();
    assert!(newest.released);
    assert!(newest.earlier > prior_leases_end / 2, "{}", newest.earlier);
}

/// Guards against counting the first write after an outage from its first attempt: that contact
/// would be as old as the outage, and renew no worker lease.
#[test_case(true, true, 6000; "done, and others see it")]
#[test_case(true, false, 0; "done, and others do not see it")]
#[test_case(false, true, 0; "done by an earlier attempt")]
#[test_case(false, false, 0; "done by an earlier attempt, and others do not see it")]
fn a_contact_counts_from_the_attempt_that_others_see(done: bool, renews: bool, at: u64) {
    assert_eq!(contact_time(done, renews, 0, 6000), at);
}

/// A store that rejects each transaction with a non-empty row of one table whose value begins with
/// a byte.
#[derive(Debug)]
struct RejectingStore {
    table: &'static str,
    byte: u8,
    /// Rows that were written.
    written: Mutex<Vec<Write>>,
    /// Number of rejected transactions.
    rejected: Mutex<usize>,
}

impl RejectingStore {
    fn new(table: &'static str, byte: u8) -> Arc<RejectingStore> {
        Arc::new(RejectingStore {
            table,
            byte,
            written: Mutex::default(),
            rejected: Mutex::default(),
        })
    }

    fn rejected(&self) -> usize {
        *self.rejected.lock().expect("not poisoned")
    }

    /// Returns the values written to a table.
    fn values(&self, table: &str) -> Vec<Vec<u8>> {
        let written = self.written.lock().expect("not poisoned");
        let rows = written.iter().filter(|w| w.table == table);
        rows.map(|w| w.value.clone()).collect()
    }
}

impl Store for Arc<RejectingStore> {
    fn read(&self, _: Range<'_>, _: &Traffic) -> Result<Page, StoreError> {
        unreachable!("the journal reads nothing")
    }

    fn read_within(&self, _: Range<'_>, _: Duration, _: &Traffic) -> Result<Page, StoreError> {
        unreachable!("the journal reads nothing")
    }

    fn changes(&self, _: &str, _: u64, _: Duration, _: &Traffic) -> Result<Changes, StoreError> {
        unreachable!("the journal follows nothing")
    }

    fn commit(&self, tx: &Tx, _: Duration, _: &Traffic) -> Result<Commit, StoreError> {
        let is_rejected = |w: &Write| w.table == self.table && w.value.first() == Some(&self.byte);
        if tx.writes.iter().any(is_rejected) {
            *self.rejected.lock().expect("not poisoned") += 1;
            return Err(StoreError::Rejected {
                reason: "status 400".into(),
            });
        }
        let mut written = self.written.lock().expect("not poisoned");
        written.extend(tx.writes.iter().cloned());
        Ok(Commit::Done(written.len() as u64))
    }
}

/// Writes a batch with three rows of the log, a record and a policy, beside estimates. Returns the
/// messages to the deciding thread.
fn write_batch(store: &Arc<RejectingStore>) -> Vec<Message> {
    let shared = shared(store.clone());
    let (sender, inputs) = flume::bounded(8);
    let policy = QueuePolicy {
        version: 1,
        queue: "q".into(),
        service: "s".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        latency: 250,
    };
    let batch = Batch {
        records: vec![(JobId(1), vec![9])],
        appended_rows: vec![vec![1], vec![2], vec![3]],
        policies: vec![policy],
        ..Batch::default()
    };
    let inputs_sent = [
        JournalInput::Learned(vec![7]),
        JournalInput::Batch(batch),
        JournalInput::Release,
    ];
    for input in inputs_sent {
        assert!(sender.send(input).is_ok());
    }
    let inbox = Inbox::new().expect("an event loop");
    write(&shared, &tenure(0), &inputs, &inbox.sender());
    inbox.messages.try_iter().collect()
}

fn rejected_rows(messages: &[Message]) -> Vec<String> {
    let events = messages.iter().filter_map(|m| match m {
        Message::Events(events) => Some(format!("{events:?}")),
        _ => None,
    });
    events.collect()
}

/// One rejected row was repeated together with its transaction without end, so that nothing else
/// was written.
#[test_case(LEARNED, 7, &[]; "estimates")]
#[test_case(FIGURES, 145, &[]; "figures")]
#[test_case(POLICIES, 151, &[]; "policy")]
#[test_case(LOG, 2, &["[RowsRejected([1])]"]; "row of the log")]
fn a_rejected_row_stops_no_other_row(table: &'static str, byte: u8, events: &[&str]) {
    let store = RejectingStore::new(table, byte);
    let messages = write_batch(&store);
    // The whole batch, the batch without optional rows, and the row alone.
    assert!((1..=3).contains(&store.rejected()), "{}", store.rejected());
    assert_eq!(rejected_rows(&messages), events);
    assert!(
        messages
            .iter()
            .any(|m| matches!(m, Message::Durable(d) if d.has_batch))
    );
    assert!(!messages.iter().any(|m| matches!(m, Message::LeaseLost)));
    let mut rows = store.values(LOG);
    rows.retain(|row| !row.is_empty() && (table, row[0]) != (LOG, 2));
    let expected: &[&[u8]] = if table == LOG {
        &[&[1], &[3]]
    } else {
        &[&[1], &[2], &[3]]
    };
    assert_eq!(rows, expected);
    // The key of a rejected row stays in use, so that it is dropped in its turn.
    assert_eq!(store.values(LOG).len(), 3);
    assert_eq!(store.values(RECORDS), [[9]]);
}

/// An owner whose lease or records are rejected can do nothing, and leaves the lease to others.
#[test_case(RECORDS, 9; "record")]
#[test_case(JOURNAL, 146; "head")]
#[test_case(LEASE, 153; "lease")]
fn an_owner_gives_up_if_what_must_last_is_rejected(table: &'static str, byte: u8) {
    let store = RejectingStore::new(table, byte);
    let messages = write_batch(&store);
    assert!((1..=5).contains(&store.rejected()), "{}", store.rejected());
    assert!(matches!(messages.last(), Some(Message::LeaseLost)));
}
