//! Tests of the verdict on a task after crashes, and of the stored crashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    crash::{Blame, Crashes},
    record::{Outcome, Record, TaskRecord},
};

/// Returns confirmed crashes.
fn crashes(blames: &[Blame]) -> Crashes {
    let mut crashes = suspected(blames);
    for at in 0..blames.len() {
        assert!(crashes.confirm(&format!("w{at}")));
    }
    crashes
}

fn suspected(blames: &[Blame]) -> Crashes {
    let mut crashes = Crashes::default();
    for (at, &blame) in blames.iter().enumerate() {
        crashes.add(&format!("w{at}").into(), blame);
    }
    crashes
}

/// Adds a crash that is confirmed at once.
fn add(crashes: &mut Crashes, worker: &str, blame: Blame) {
    crashes.add(&worker.into(), blame);
    crashes.confirm(worker);
}

#[test]
fn an_incarnation_of_a_worker_counts_once() {
    let mut crashes = crashes(&[Blame::Own, Blame::Own]);
    add(&mut crashes, "w0", Blame::Own);
    assert_eq!(crashes.count(), 2);
    assert!(!crashes.is_proven_cause());
    add(&mut crashes, "w9", Blame::Shared);
    assert!(!crashes.is_proven_cause());
    add(&mut crashes, "w8", Blame::Close);
    assert!(crashes.is_proven_cause());
}

/// Up to the number of crashes after which users allow no further start.
#[test]
fn crashes_that_others_may_have_caused_prove_nothing() {
    assert!(!crashes(&[Blame::Unseen; 9]).is_proven_cause());
    assert!(!crashes(&[Blame::Shared; 4]).is_proven_cause());
    assert!(!crashes(&[Blame::Close; 4]).is_proven_cause());
    assert!(!crashes(&[Blame::Close, Blame::Close, Blame::Own]).is_proven_cause());
    let mut once = [Blame::Shared; 4];
    once[2] = Blame::Own;
    assert!(!crashes(&once).is_proven_cause());
    let mixed = [[Blame::Unseen; 4], [Blame::Shared; 4]].concat();
    assert!(!crashes(&mixed).is_proven_cause());
}

/// Guards against starts without end: the number of confirmed crashes alone ends a job, whatever
/// they looked like.
#[test]
fn a_number_of_crashes_is_enough_whatever_they_looked_like() {
    assert!(crashes(&[Blame::Shared; 5]).is_proven_cause());
    assert!(crashes(&[Blame::Close; 5]).is_proven_cause());
    assert!(!crashes(&[Blame::Unseen; 11]).is_proven_cause());
    assert!(crashes(&[Blame::Unseen; 12]).is_proven_cause());
    assert!(!suspected(&[Blame::Close; 20]).is_proven_cause());
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
    let mut blames = vec![Blame::Shared, Blame::Close, Blame::Unseen, Blame::Own];
    assert!(!crashes(&blames).is_proven_cause());
    blames.push(Blame::Unseen);
    assert!(crashes(&blames).is_proven_cause());
    assert!(
        !crashes(&[
            Blame::Unseen,
            Blame::Close,
            Blame::Close,
            Blame::Close,
            Blame::Close
        ])
        .is_proven_cause()
    );
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

/// Guards against failed jobs by workers that were cut off and run on: a crash that nobody has
/// confirmed ends no job, and still isolates its task.
#[test]
fn suspected_crashes_prove_nothing() {
    let crashes = suspected(&[Blame::Own; 9]);
    assert!(!crashes.is_proven_cause());
    assert!(crashes.is_likely_cause());
    let mut crashes = suspected(&[Blame::Own; 3]);
    assert!(crashes.confirm("w0") && crashes.confirm("w1"));
    assert!(!crashes.confirm("w1") && !crashes.confirm("w7"));
    assert!(!crashes.is_proven_cause());
    assert!(crashes.confirm("w2"));
    assert!(crashes.is_proven_cause());
    assert!(crashes.remove("w2") && !crashes.remove("w2"));
    assert!(!crashes.is_proven_cause());
}

/// A task that would be given up if its crashes were confirmed awaits that, so that a slow return of
/// its workers allows no sixth start.
#[test]
fn a_verdict_is_awaited_after_as_many_suspected_crashes() {
    assert!(!suspected(&[Blame::Own; 4]).awaits_verdict());
    assert!(suspected(&[Blame::Shared; 5]).awaits_verdict());
    assert!(!suspected(&[Blame::Unseen; 9]).awaits_verdict());
    let mut crashes = suspected(&[Blame::Shared; 5]);
    (0..4).for_each(|at| assert!(crashes.confirm(&format!("w{at}"))));
    assert!(crashes.awaits_verdict());
    assert!(crashes.remove("w4"));
    assert!(!crashes.awaits_verdict());
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

/// Suspected crashes stay suspected for a later owner, and instances of the version before, which
/// know no evidence, read them as crashes.
#[test]
fn evidence_survives_in_records_that_earlier_versions_read() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    enum OldBlame {
        Unseen,
        Shared,
        Close,
        Own,
    }
    use OldBlame::{Close, Own, Shared, Unseen};
    let all = [Blame::Unseen, Blame::Shared, Blame::Close, Blame::Own];
    let mut mixed = suspected(&[all, all].concat());
    (4..8).for_each(|at| assert!(mixed.confirm(&format!("w{at}"))));
    let bytes = rmp_serde::to_vec(&mixed).expect("plain data");
    let read: Crashes = rmp_serde::from_slice(&bytes).expect("own crashes");
    assert_eq!(read, mixed);
    let old: Vec<(Arc<str>, OldBlame)> = rmp_serde::from_slice(&bytes).expect("old reader");
    let blames: Vec<OldBlame> = old.into_iter().map(|(_, blame)| blame).collect();
    assert_eq!(
        blames,
        [Unseen, Shared, Close, Own, Unseen, Shared, Close, Own]
    );
    // The version before wrote names.
    let written = rmp_serde::to_vec(&[("w0", Close)]).expect("plain data");
    let read: Crashes = rmp_serde::from_slice(&written).expect("old crashes");
    assert_eq!(read, crashes(&[Blame::Close]));
    for odd in [("w0", "Huge"), ("w0", "")] {
        let odd = rmp_serde::to_vec(&[odd]).expect("plain data");
        assert!(rmp_serde::from_slice::<Crashes>(&odd).is_err());
    }
    let odd = rmp_serde::to_vec(&[("w0", 4)]).expect("plain data");
    assert!(rmp_serde::from_slice::<Crashes>(&odd).is_err());
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
