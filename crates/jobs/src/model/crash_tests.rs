//! Tests of the verdict on a task after crashes, and of the stored crashes.

use std::sync::Arc;

use super::{
    crash::{Blame, Crashes},
    record::{Outcome, Record, TaskRecord},
};

fn crashes(blames: &[Blame]) -> Crashes {
    let mut crashes = Crashes::default();
    for (at, &blame) in blames.iter().enumerate() {
        crashes.add(&format!("w{at}").into(), blame);
    }
    crashes
}

#[test]
fn an_incarnation_of_a_worker_counts_once() {
    let mut crashes = crashes(&[Blame::Own, Blame::Own]);
    crashes.add(&"w0".into(), Blame::Own);
    assert_eq!(crashes.count(), 2);
    assert!(!crashes.is_proven_cause());
    crashes.add(&"w9".into(), Blame::Shared);
    assert!(!crashes.is_proven_cause());
    crashes.add(&"w8".into(), Blame::Close);
    assert!(crashes.is_proven_cause());
}

#[test]
fn crashes_that_others_may_have_caused_prove_nothing() {
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
fn more_evidence_is_needed_after_crashes_that_others_may_have_caused() {
    let mut blames = vec![Blame::Shared, Blame::Shared, Blame::Own, Blame::Own];
    assert!(!crashes(&blames).is_proven_cause());
    blames.push(Blame::Shared);
    assert!(crashes(&blames).is_proven_cause());
}

/// After five crashes weaker evidence is enough, since a sixth start is not allowed.
#[test]
fn less_evidence_is_needed_after_five_crashes() {
    let mut blames = vec![Blame::Shared, Blame::Close, Blame::Shared, Blame::Own];
    assert!(!crashes(&blames).is_proven_cause());
    blames.push(Blame::Shared);
    assert!(crashes(&blames).is_proven_cause());
    assert!(!crashes(&[Blame::Close; 5]).is_proven_cause());
}

#[test]
fn a_single_crash_makes_a_suspect_only_of_a_task_that_had_just_begun() {
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
fn a_record_with_crashes_round_trips() {
    let written = record(crashes(&[Blame::Close, Blame::Own]));
    let read = Record::decode(&written.encode()).expect("own record");
    assert_eq!(read, written);
}

/// Records without crashes keep the encoding of versions that did not store crashes.
#[test]
fn a_record_without_crashes_keeps_the_old_encoding() {
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
    let written = record(Crashes::default());
    assert_eq!(written.encode(), bytes);
    assert_eq!(Record::decode(&bytes).expect("an old record"), written);
}
