//! Tests of the verdict on a task after crashes, and of the stored crashes.

use std::sync::Arc;

use super::{
    crash::{Blame, Crashes},
    record::{Outcome, Record, TaskRecord},
};

fn crashes(blames: &[Blame]) -> Crashes {
    let mut out = Crashes::default();
    for (at, &blame) in blames.iter().enumerate() {
        out.add(&format!("w{at}").into(), blame);
    }
    out
}

#[test]
fn a_life_of_a_worker_counts_once() {
    let mut some = crashes(&[Blame::Own, Blame::Own]);
    some.add(&"w0".into(), Blame::Own);
    assert_eq!(some.count(), 2);
    assert!(!some.is_proven_cause());
    some.add(&"w9".into(), Blame::Shared);
    assert!(!some.is_proven_cause());
    some.add(&"w8".into(), Blame::Close);
    assert!(some.is_proven_cause());
}

#[test]
fn what_others_may_have_caused_proves_nothing() {
    assert!(!crashes(&[Blame::Shared; 9]).is_proven_cause());
    assert!(!crashes(&[Blame::Close; 9]).is_proven_cause());
    assert!(!crashes(&[Blame::Close, Blame::Close, Blame::Own]).is_proven_cause());
    let mut once = [Blame::Shared; 9];
    once[4] = Blame::Own;
    assert!(!crashes(&once).is_proven_cause());
}

/// Guards against giving up a task that happened to run on workers which other tasks crashed:
/// two crashes of blame `Own` after such a history may still be a coincidence.
#[test]
fn more_is_needed_where_others_may_have_caused_the_first() {
    let mut blames = vec![Blame::Shared, Blame::Shared, Blame::Own, Blame::Own];
    assert!(!crashes(&blames).is_proven_cause());
    blames.push(Blame::Shared);
    assert!(crashes(&blames).is_proven_cause());
}

/// After five crashes weaker evidence is enough, since a sixth start is not allowed.
#[test]
fn five_crashes_need_less() {
    let mut blames = vec![Blame::Shared, Blame::Close, Blame::Shared, Blame::Own];
    assert!(!crashes(&blames).is_proven_cause());
    blames.push(Blame::Shared);
    assert!(crashes(&blames).is_proven_cause());
    assert!(!crashes(&[Blame::Close; 5]).is_proven_cause());
}

#[test]
fn one_crash_makes_a_suspect_only_of_what_had_just_begun() {
    assert!(!crashes(&[Blame::Shared]).is_suspect());
    assert!(crashes(&[Blame::Shared, Blame::Shared]).is_suspect());
    assert!(!crashes(&[Blame::Shared, Blame::Shared]).is_likely_cause());
    assert!(crashes(&[Blame::Shared; 3]).is_likely_cause());
    assert!(!crashes(&[Blame::Unseen; 9]).is_likely_cause());
    assert!(crashes(&[Blame::Close]).is_likely_cause());
    assert!(crashes(&[Blame::Own]).is_likely_cause());
}

fn record(crashes: Crashes) -> Record {
    Record {
        outcome: Outcome::Active,
        steps: Vec::new(),
        tasks: vec![TaskRecord {
            at: (0, 0, 1),
            done: false,
            run: 2,
            worker: Some("w1".into()),
            failed: vec![1],
            saved: "".into(),
            crashes,
        }],
    }
}

#[test]
fn a_record_holds_them() {
    let kept = record(crashes(&[Blame::Close, Blame::Own]));
    let read = Record::decode(&kept.encode()).expect("own record");
    assert_eq!(read, kept);
}

/// Records without crashes keep the encoding of versions that did not store crashes.
#[test]
fn a_record_without_them_is_read() {
    type Old = (Outcome, Vec<(u32, u32)>, Vec<OldTask>);
    type OldTask = (
        (u32, u32, u32),
        bool,
        u32,
        Option<Arc<str>>,
        Vec<u32>,
        Arc<str>,
    );
    let task: OldTask = ((0, 0, 1), false, 2, Some("w1".into()), vec![1], "".into());
    let old: Old = (Outcome::Active, Vec::new(), vec![task]);
    let bytes = rmp_serde::to_vec(&old).expect("plain data");
    let kept = record(Crashes::default());
    assert_eq!(kept.encode(), bytes);
    assert_eq!(Record::decode(&bytes).expect("an old record"), kept);
}
