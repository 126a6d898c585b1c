//! Checks of the invariants against the ledger of the workers.

use gorsespur_core::shard::{JobState, JobStatus};
use gorsespur_stand::{Entry, EntryKind};

use super::World;

#[derive(Debug, Clone)]
struct Run {
    name: String,
    worker: String,
    attempt: String,
    from: u64,
    to: Option<u64>,
}

fn runs(ledger: &[Entry]) -> Vec<Run> {
    let mut out: Vec<Run> = Vec::new();
    for e in ledger {
        if e.service {
            continue;
        }
        match e.what {
            EntryKind::Start => out.push(Run {
                name: e.name.clone(),
                worker: e.worker.clone(),
                attempt: e.attempt.clone(),
                from: e.ms,
                to: None,
            }),
            EntryKind::Done | EntryKind::Failed | EntryKind::Saved | EntryKind::Stopped => {
                let same =
                    |r: &&mut Run| r.to.is_none() && r.worker == e.worker && r.attempt == e.attempt;
                let run = out.iter_mut().rev().find(same);
                run.expect("an end has a start").to = Some(e.ms);
            }
            EntryKind::Killed | EntryKind::Boot => {
                for r in &mut out {
                    if r.worker == e.worker && r.to.is_none() {
                        r.to = Some(e.ms);
                    }
                }
            }
            EntryKind::NoRoom | EntryKind::Stale | EntryKind::Request => {}
        }
    }
    out
}

/// Panics if a task ran in two places at the same time or a worker was overcommitted.
pub fn check_invariants(world: &World) {
    let ledger = world.ledger.entries();
    let runs = runs(&ledger);
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            let overlap = a.name == b.name && b.from < a.to.unwrap_or(u64::MAX);
            let of = |e: &&Entry| e.worker == a.worker && e.name == a.name;
            let entries: Vec<&Entry> = ledger.iter().filter(of).collect();
            assert!(!overlap, "doubled: {a:?} and {b:?}; {entries:?}");
        }
    }
    for e in &ledger {
        assert_ne!(e.what, EntryKind::NoRoom, "overcommitted: {e:?}");
    }
}

/// Returns how often each task of the submitted jobs was completed, and checks that the states
/// reported to callers agree with the ledger.
pub fn done_counts(world: &World) -> Vec<(String, usize)> {
    let ledger = world.ledger.entries();
    let mut out = Vec::new();
    for (key, tasks) in &world.submitted {
        let status = world.status(key).expect("a submitted job is known");
        for task in 0..*tasks {
            let name = format!("{}/{}/{task}", key.org, key.id);
            let done = ledger
                .iter()
                .filter(|e| e.name == name && e.what == EntryKind::Done)
                .count();
            if status.state == JobState::Done {
                assert!(done > 0, "{name} is reported as done but never completed");
            }
            out.push((name, done));
        }
        check_counts(&status);
    }
    out
}

fn check_counts(s: &JobStatus) {
    let sum = s.queued + s.active + s.done + s.failed + s.cancelled;
    assert_eq!(sum, s.tasks, "{s:?}");
}
