//! Rows of cancellations whose jobs never arrived are removed, and no others.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use gorsespur_http::Traffic;
use gorsespur_jobs::{CANCEL_RETENTION_MS, JobId};
use gorsespur_runtime::clock::wall_ms;
use test_case::test_case;

use super::cancels::Cleaner;
use crate::{
    fakes_tests::shared,
    rows::{CancelRow, JOBS, cancel_key, encode},
    store::{Changes, Commit, Page, Range, Row, Store, StoreError, Tx},
};

const JOB: JobId = JobId(7);

/// What happens to the next transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// It is not carried out, and not answered.
    Lost,
    /// It is carried out, and not answered.
    AnswerLost,
}

#[derive(Debug)]
struct State {
    /// Version and value of the cancellation's row.
    cancel: Option<(u64, Vec<u8>)>,
    has_job: bool,
    fault: Fault,
}

/// A store with the rows of one job.
#[derive(Debug)]
struct JobStore {
    state: Mutex<State>,
}

fn row(key: String, version: u64, value: Vec<u8>) -> Row {
    Row {
        part: String::new(),
        key,
        value,
        version,
        removed: false,
    }
}

fn lost<T>() -> Result<T, StoreError> {
    Err(StoreError::Unknown {
        reason: "no answer".into(),
    })
}

impl Store for Arc<JobStore> {
    fn read(&self, range: Range<'_>, _: &Traffic) -> Result<Page, StoreError> {
        assert_eq!((range.table, range.from), (JOBS, cancel_key(JOB).as_str()));
        let state = self.state.lock().expect("not poisoned");
        let rows = state.cancel.iter();
        let rows = rows.map(|(version, value)| row(cancel_key(JOB), *version, value.clone()));
        Ok(Page {
            rows: rows.collect(),
            more: false,
            version: 1,
        })
    }

    fn read_within(&self, _: Range<'_>, _: Duration, _: &Traffic) -> Result<Page, StoreError> {
        unreachable!("reads have no limit here")
    }

    fn changes(&self, _: &str, _: u64, _: Duration, _: &Traffic) -> Result<Changes, StoreError> {
        unreachable!("no table is followed here")
    }

    fn commit(&self, tx: &Tx, _: Duration, _: &Traffic) -> Result<Commit, StoreError> {
        let mut state = self.state.lock().expect("not poisoned");
        let fault = std::mem::replace(&mut state.fault, Fault::None);
        if fault == Fault::Lost {
            return lost();
        }
        let mut found = Vec::new();
        if state.has_job {
            found.push(row(JOB.to_string(), 3, Vec::new()));
        }
        if let Some((version, value)) = &state.cancel {
            found.push(row(cancel_key(JOB), *version, value.clone()));
        }
        let version = |key: &str| found.iter().find(|r| r.key == key).map_or(0, |r| r.version);
        if tx.expects.iter().any(|e| e.version != version(&e.key)) {
            return Ok(Commit::Conflict(found));
        }
        assert_eq!(tx.removes, [(JOBS, cancel_key(JOB))]);
        state.cancel = None;
        match fault {
            Fault::AnswerLost => lost(),
            _ => Ok(Commit::Done(9)),
        }
    }
}

/// Returns a store with a cancellation of this age.
fn store(age_ms: u64, has_job: bool, fault: Fault) -> Arc<JobStore> {
    let value = encode(&CancelRow {
        at: wall_ms() - age_ms,
    });
    Arc::new(JobStore {
        state: Mutex::new(State {
            cancel: Some((5, value)),
            has_job,
            fault,
        }),
    })
}

/// A row of each cancelling of an unknown job would stay for good.
#[test_case(Fault::None, 1)]
#[test_case(Fault::Lost, 2)]
#[test_case(Fault::AnswerLost, 2)]
fn the_row_of_an_expired_cancellation_is_removed(fault: Fault, rounds: usize) {
    let store = store(CANCEL_RETENTION_MS, false, fault);
    let shared = shared(store.clone());
    let mut cleaner = Cleaner::default();
    cleaner.add([JOB].into_iter());
    for _ in 0..rounds {
        assert_eq!(cleaner.clean(&shared), []);
    }
    assert_eq!(store.state.lock().expect("not poisoned").cancel, None);
}

/// The caller cancelled again while the removal was due: the later submission that it gave up may
/// still arrive.
#[test]
fn a_renewed_cancellation_stays() {
    let store = store(1000, false, Fault::None);
    let shared = shared(store.clone());
    let mut cleaner = Cleaner::default();
    cleaner.add([JOB].into_iter());
    assert_eq!(cleaner.clean(&shared), []);
    assert!(store.state.lock().expect("not poisoned").cancel.is_some());
}

/// A job that arrived in the last moment is cancelled.
#[test]
fn the_cancellation_of_a_job_that_arrived_stays() {
    let store = store(CANCEL_RETENTION_MS, true, Fault::None);
    let shared = shared(store.clone());
    let mut cleaner = Cleaner::default();
    cleaner.add([JOB].into_iter());
    assert_eq!(cleaner.clean(&shared), [JOB]);
    assert!(store.state.lock().expect("not poisoned").cancel.is_some());
}
