//! Tests of refusals and of the reads that they take, with a slow or unavailable store.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Instant,
};

use gorsespur_jobs::{Job, JobId, ORDER_SHARES, QueueFigures, Schedule, Spec, Step, WaitForecast};
use test_case::test_case;

use crate::{
    admission_control::{Verdict, check},
    fakes_tests::{LeaseStore, UnavailableStore, shared, shared_with},
    lease::{FollowTiming, LeaseWatch, claim},
    rows::{FiguresRow, LeaseRow},
    shared::Shared,
    store::Store,
};

/// Figures by which no job is accepted.
fn figures() -> FiguresRow {
    let closed = WaitForecast {
        refused: ORDER_SHARES,
        ..WaitForecast::default()
    };
    FiguresRow {
        queues: vec![QueueFigures {
            queue: "q".into(),
            short: closed,
            best_effort: closed,
            ..QueueFigures::default()
        }],
    }
}

/// Returns a store with these figures.
fn store(row: FiguresRow) -> Arc<LeaseStore> {
    let store = LeaseStore::new(LeaseRow::default());
    store.figures.lock().expect("not poisoned").push(row);
    store
}

/// Returns a node whose store has just answered.
fn node(store: impl Store) -> Arc<Shared> {
    let shared = shared(store);
    shared.record_store_answer();
    shared
}

fn job(repetitions: u32) -> Job {
    let step = Step {
        count: 1,
        cpu: 100,
        ..Step::default()
    };
    Job {
        id: JobId(7),
        queue: "q".into(),
        accepted: 0,
        spec: Arc::new(Spec {
            steps: vec![step],
            schedule: Schedule {
                repetitions,
                ..Schedule::default()
            },
            ..Spec::default()
        }),
    }
}

fn refused(shared: &Shared) -> bool {
    matches!(check(shared, &job(0)), Verdict::Refuse { .. })
}

#[test]
fn a_job_that_cannot_be_served_is_refused_and_counted() {
    let shared = node(store(figures()));
    assert_eq!(
        check(&shared, &job(0)),
        Verdict::Refuse { retry_after_s: 1 }
    );
    let text = shared.metrics.text();
    assert!(text.contains("gorsespur_refused_short 1\n"), "{text}");
}

#[test]
fn repetitions_are_accepted() {
    let shared = node(store(figures()));
    assert_eq!(check(&shared, &job(3)), Verdict::Accept);
}

#[test]
fn nothing_is_refused_if_the_settings_say_so() {
    let store = store(figures());
    let shared = shared_with(store.clone(), |settings| settings.admission = false);
    shared.record_store_answer();
    assert!(!refused(&shared));
    assert_eq!(store.figures_reads.load(Ordering::SeqCst), 0);
}

/// A job whose first answer was lost must not be refused when its caller resends it.
#[test]
fn a_job_that_exists_is_not_refused() {
    let store = store(figures());
    store.has_jobs.store(true, Ordering::SeqCst);
    assert_eq!(check(&node(store), &job(0)), Verdict::Exists);
}

#[test]
fn an_unavailable_store_refuses_nothing() {
    let shared = node(UnavailableStore);
    assert_eq!(check(&shared, &job(0)), Verdict::Accept);
    let text = shared.metrics.text();
    assert!(text.contains("gorsespur_figures_unknown 1\n"), "{text}");
}

#[test_case(30, 0; "the figures")]
#[test_case(0, 30; "the job")]
fn a_slow_read_refuses_nothing(figures_delay: u64, job_delay: u64) {
    let store = store(figures());
    store.figures_delay.store(figures_delay, Ordering::SeqCst);
    store.job_delay.store(job_delay, Ordering::SeqCst);
    assert_eq!(check(&node(store), &job(0)), Verdict::Accept);
}

/// The last figures still hold, but the job's own row can't be read.
#[test]
fn a_store_that_goes_away_refuses_nothing() {
    let store = store(figures());
    let shared = node(store.clone());
    assert!(refused(&shared));
    store.away.store(true, Ordering::SeqCst);
    assert_eq!(check(&shared, &job(0)), Verdict::Accept);
}

#[test]
fn concurrent_jobs_share_a_read() {
    let store = store(figures());
    store.figures_delay.store(10, Ordering::SeqCst);
    let shared = node(store.clone());
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| assert!(refused(&shared)));
        }
    });
    // On a busy machine a thread may run after the next read is due.
    let due = 1 + start.elapsed().as_millis() as u64 / 300;
    assert!(store.figures_reads.load(Ordering::SeqCst) <= due);
}

/// An owner of an earlier version writes no figures.
#[test]
fn without_figures_nothing_is_refused() {
    let shared = node(LeaseStore::new(LeaseRow::default()));
    assert_eq!(check(&shared, &job(0)), Verdict::Accept);
}

/// A claim takes back the figures of the previous owner.
#[test]
fn a_new_owner_refuses_nothing_at_first() {
    let store = store(figures());
    let shared = node(store.clone());
    let mut watch = LeaseWatch::default();
    let seen = watch.refresh(&shared, FollowTiming::default());
    claim(&shared, seen.expect("an answer")).expect("a claim");
    let written = store.figures.lock().expect("not poisoned");
    assert_eq!(written.last(), Some(&FiguresRow::default()));
}
