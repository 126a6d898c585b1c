//! Tests that records are appended once, in order and by one owner only.

use std::sync::Arc;

use gorsespur_core::{
    name::Name,
    owner::ShardRow,
    shard::{JobKey, JobSpec, Record, ShardState},
    size::Size,
    template::Priority,
};
use gorsespur_runtime::{cancel::CancelToken, clock::Clock};
use gorsespur_sched::{
    journal::{Batch, Journal, JournalError, NewOwner},
    recover,
};
use gorsespur_services::{
    Objects, Table,
    fake::{FakePlatform, Fault},
};
use gorsespur_wire::{
    codec::{decode, encode},
    keys, objects,
    stored::Snapshot,
};
use test_case::test_case;

fn shard() -> Name {
    "zone.0".into()
}

fn new_owner(id: &str) -> NewOwner {
    NewOwner {
        id: id.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hold: 1_000,
        clock: Clock::new(),
    }
}

fn spec(id: &str) -> JobSpec {
    JobSpec {
        key: JobKey {
            org: "weld".into(),
            id: id.into(),
        },
        kind: "renewal".into(),
        team: "certification".into(),
        tasks: 1,
        size: Size::new(1_000, 1 << 30, 0),
        run_time: 1_000,
        priority: Priority::Normal,
        checkpoint: false,
        attempts: 3,
        service: false,
    }
}

fn batch(first: u64, ids: &[&str]) -> Batch {
    Batch {
        first,
        records: ids.iter().map(|id| Record::Submitted(spec(id))).collect(),
        finished: Vec::new(),
    }
}

fn row(platform: &FakePlatform) -> (ShardRow, u64) {
    let rows = Table::get(platform, &[keys::shard(&shard())]).expect("the platform is up");
    let row = rows[0].as_ref().expect("the shard has a row");
    (
        decode(&row.value).expect("the row is well-formed"),
        row.version,
    )
}

fn acquire(platform: &Arc<FakePlatform>, id: &str) -> Journal {
    let rows = Table::get(platform.as_ref(), &[keys::shard(&shard())]).expect("the platform is up");
    let found = rows[0]
        .as_ref()
        .map(|r| decode::<ShardRow>(&r.value).expect("well-formed"));
    let version = rows[0].as_ref().map_or(0, |r| r.version);
    let table: Arc<dyn Table> = platform.clone();
    let journal = Journal::acquire(
        table,
        &shard(),
        found.as_ref(),
        version,
        &new_owner(id),
        &CancelToken::new(),
    );
    journal.expect("the shard is free to take")
}

fn recovered(platform: &FakePlatform) -> ShardState {
    let (row, _) = row(platform);
    recover(platform, platform, &shard(), &row).expect("the shard recovers")
}

#[test_case(&[Fault::None]; "no fault")]
#[test_case(&[Fault::Down]; "down once")]
#[test_case(&[Fault::Down, Fault::Down]; "down twice")]
#[test_case(&[Fault::LostAnswer]; "answer lost")]
#[test_case(&[Fault::LostAnswer, Fault::Down]; "answer lost and read back fails")]
#[test_case(&[Fault::LostAnswer, Fault::Down, Fault::LostAnswer]; "answer lost, read fails, repeated and lost")]
#[test_case(&[Fault::Delayed]; "write takes effect before the repeat")]
#[test_case(&[Fault::Delayed, Fault::Down]; "write delayed and read back fails")]
#[test_case(&[Fault::Delayed, Fault::None, Fault::Delayed]; "delayed twice")]
#[test_case(&[Fault::Down, Fault::LostAnswer]; "down, then answer lost")]
fn an_append_takes_effect_once(faults: &[Fault]) {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    platform.fail_next(faults);
    journal
        .append(&batch(0, &["one", "two"]), 1_000, &CancelToken::new())
        .expect("appended");
    journal
        .append(&batch(2, &["three"]), 1_000, &CancelToken::new())
        .expect("appended");
    assert_eq!(platform.count("journal/"), 2);
    let state = recovered(&platform);
    let ids: Vec<&str> = state.jobs().iter().map(|j| &*j.spec.key.id).collect();
    assert_eq!(ids, ["one", "two", "three"]);
}

#[test]
fn a_stale_owner_cannot_append() {
    let platform = Arc::new(FakePlatform::new());
    let mut old = acquire(&platform, "a");
    let mut new = acquire(&platform, "b");
    assert_eq!(new.row().epoch, old.row().epoch + 1);
    let lost = old.append(&batch(0, &["stale"]), 1_000, &CancelToken::new());
    assert_eq!(lost, Err(JournalError::Fenced));
    new.append(&batch(0, &["fresh"]), 1_000, &CancelToken::new())
        .expect("appended");
    assert_eq!(recovered(&platform).jobs().len(), 1);
}

#[test]
fn a_stale_owners_delayed_write_has_no_effect() {
    let platform = Arc::new(FakePlatform::new());
    let mut old = acquire(&platform, "a");
    platform.fail_next(&[Fault::Delayed]);
    let cancel = CancelToken::new();
    cancel.cancel();
    let cancelled = old.append(&batch(0, &["late"]), 1_000, &cancel);
    assert_eq!(cancelled, Err(JournalError::Cancelled));
    let (found, version) = row(&platform);
    // The delayed write takes effect just before the takeover. The first
    // attempt then expects an outdated version and fails; the next one reads the
    // row again and finds the record.
    let table: Arc<dyn Table> = platform.clone();
    let fenced = Journal::acquire(
        table,
        &shard(),
        Some(&found),
        version,
        &new_owner("b"),
        &CancelToken::new(),
    );
    assert_eq!(fenced.err(), Some(JournalError::Fenced));
    let mut new = acquire(&platform, "b");
    assert_eq!(new.row().next_record, 1);
    new.append(&batch(1, &["next"]), 1_000, &CancelToken::new())
        .expect("appended");
    assert_eq!(recovered(&platform).jobs().len(), 2);
}

#[test]
fn one_of_two_new_owners_wins() {
    let platform = Arc::new(FakePlatform::new());
    drop(acquire(&platform, "a"));
    let (found, version) = row(&platform);
    let table: Arc<dyn Table> = platform.clone();
    let first = Journal::acquire(
        table.clone(),
        &shard(),
        Some(&found),
        version,
        &new_owner("b"),
        &CancelToken::new(),
    );
    let second = Journal::acquire(
        table,
        &shard(),
        Some(&found),
        version,
        &new_owner("c"),
        &CancelToken::new(),
    );
    assert!(first.is_ok());
    assert_eq!(second.err(), Some(JournalError::Fenced));
}

#[test]
fn a_takeover_keeps_the_longer_hold() {
    let platform = Arc::new(FakePlatform::new());
    let mut old = acquire(&platform, "a");
    old.renew(9_000, &CancelToken::new()).expect("renewed");
    assert_eq!(acquire(&platform, "b").row().hold, 9_000);
}

#[test]
fn a_snapshot_truncates_the_journal() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    let cancel = CancelToken::new();
    journal
        .append(&batch(0, &["one", "two"]), 1_000, &cancel)
        .expect("appended");
    journal
        .append(&batch(2, &["three"]), 1_000, &cancel)
        .expect("appended");
    let before = recovered(&platform);
    let snapshot = Snapshot {
        next: 3,
        state: before.clone(),
    };
    let bytes = encode(&snapshot).expect("encodes");
    let key = objects::snapshot(&shard(), 3);
    platform.put(&key, &bytes).expect("stored");
    let first_row = journal.next_row();
    journal.truncate(3, first_row, &cancel).expect("truncated");
    assert_eq!(platform.count("journal/"), 0);
    assert_eq!(recovered(&platform), before);
    journal
        .append(&batch(3, &["four"]), 1_000, &cancel)
        .expect("appended");
    assert_eq!(recovered(&platform).jobs().len(), 4);
}

/// Guards against the loss of rows that are written while a snapshot is stored.
/// Writes renew the lease and don't wait for the object store, so the journal is
/// truncated only after further rows were written.
#[test]
fn rows_written_while_a_snapshot_is_stored_stay() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    let cancel = CancelToken::new();
    journal
        .append(&batch(0, &["one"]), 1_000, &cancel)
        .expect("appended");
    let first_row = journal.next_row();
    let snapshot = Snapshot {
        next: 1,
        state: recovered(&platform),
    };
    let bytes = encode(&snapshot).expect("encodes");
    journal
        .append(&batch(1, &["two"]), 1_000, &cancel)
        .expect("appended");
    platform
        .put(&objects::snapshot(&shard(), 1), &bytes)
        .expect("stored");
    journal.truncate(1, first_row, &cancel).expect("truncated");
    assert_eq!(platform.count("journal/"), 1);
    assert_eq!(recovered(&platform).jobs().len(), 2);
}

/// Guards against a gap in the journal, which no new owner can recover from.
/// A stopping owner appended the remaining batch without checking whether the
/// batch before had been written or its write was cancelled.
#[test]
fn a_batch_that_would_leave_a_gap_is_refused() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    platform.fail_next(&[Fault::Down]);
    let cancel = CancelToken::new();
    cancel.cancel();
    let cancelled = journal.append(&batch(0, &["one"]), 1_000, &cancel);
    assert_eq!(cancelled, Err(JournalError::Cancelled));
    let gap = journal.append(&batch(1, &["two"]), 1_000, &CancelToken::new());
    assert_eq!(gap, Err(JournalError::Gap { first: 1, next: 0 }));
    journal.release(&CancelToken::new()).expect("released");
    assert!(recovered(&platform).jobs().is_empty());
}

#[test]
fn a_missing_row_fails_the_recovery() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    let cancel = CancelToken::new();
    journal
        .append(&batch(0, &["one"]), 1_000, &cancel)
        .expect("appended");
    journal
        .append(&batch(1, &["two"]), 1_000, &cancel)
        .expect("appended");
    let tx = gorsespur_wire::table::Tx::new().delete(keys::journal(&shard(), 0));
    platform.tx(&tx).expect("deleted");
    let (row, _) = row(&platform);
    assert!(recover(platform.as_ref(), platform.as_ref(), &shard(), &row).is_err());
}

#[test]
fn an_append_removes_its_jobs_from_the_inbox() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    let key = keys::inbox(&shard(), &spec("one").key);
    let tx = gorsespur_wire::table::Tx::new().put(key, Vec::new());
    platform.tx(&tx).expect("written");
    journal
        .append(&batch(0, &["one"]), 1_000, &CancelToken::new())
        .expect("appended");
    assert_eq!(platform.count("inbox/"), 0);
}

#[test]
fn a_released_shard_names_no_owner() {
    let platform = Arc::new(FakePlatform::new());
    let mut journal = acquire(&platform, "a");
    journal.release(&CancelToken::new()).expect("released");
    assert_eq!(row(&platform).0.owner, None);
    assert!(platform.delete("x").is_ok());
}
