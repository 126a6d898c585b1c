//! Tests of refusals and of the reads that they take, with a slow or unavailable store.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use gorsespur_jobs::{Job, JobId, QueueFigures, Schedule, Spec, Step, WaitForecast};
use test_case::test_case;

use crate::{
    admission_control::{Arrival, Verdict, check, check_arrived},
    fakes_tests::{LeaseStore, UnavailableStore, shared, shared_with},
    lease::{FollowTiming, LeaseWatch, claim},
    rows::{FiguresRow, LeaseRow},
    shared::Shared,
    store::Store,
};

/// Figures by which no job is accepted.
fn figures() -> FiguresRow {
    let closed = WaitForecast {
        closed: true,
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
    job_of(step, repetitions)
}

fn job_of(step: Step, repetitions: u32) -> Job {
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

/// Checks a job that arrived at `now` and has time for its reads on a busy machine as well.
fn check_patiently(shared: &Shared, now: u64, job: &Job) -> Verdict {
    let deadline = Instant::now() + Duration::from_secs(10);
    check_arrived(shared, job, Arrival { now, deadline })
}

fn refused(shared: &Shared) -> bool {
    let verdict = check_patiently(shared, shared.clock.now(), &job(0));
    matches!(verdict, Verdict::Refuse { .. })
}

#[test]
fn a_job_that_cannot_be_served_is_refused_and_counted() {
    let shared = node(store(figures()));
    let verdict = check_patiently(&shared, shared.clock.now(), &job(0));
    assert_eq!(verdict, Verdict::Refuse { retry_after_s: 1 });
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
    let shared = node(store);
    let verdict = check_patiently(&shared, shared.clock.now(), &job(0));
    assert_eq!(verdict, Verdict::Exists);
}

#[test]
fn an_unavailable_store_refuses_nothing() {
    let shared = node(UnavailableStore);
    assert_eq!(check(&shared, &job(0)), Verdict::Accept);
    let text = shared.metrics.text();
    assert!(text.contains("gorsespur_figures_unknown 1\n"), "{text}");
}

#[test_case(45, 0; "the figures")]
#[test_case(0, 45; "the job")]
#[test_case(25, 25; "both together")]
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
    let now = shared.clock.now();
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                let verdict = check_patiently(&shared, now, &job(0));
                assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
            });
        }
    });
    assert_eq!(store.figures_reads.load(Ordering::SeqCst), 1);
}

/// A job that can be decided by the figures at hand does not wait for another one's read.
#[test]
fn a_job_far_from_a_refusal_waits_for_no_read() {
    let mut row = figures();
    row.queues[0].short = WaitForecast::default();
    row.queues[0].best_effort = WaitForecast::default();
    let store = store(row);
    let shared = node(store.clone());
    let now = shared.clock.now();
    assert_eq!(check_patiently(&shared, now, &job(0)), Verdict::Accept);
    let large = Step {
        count: 1,
        cpu: 100,
        long_running: true,
        ..Step::default()
    };
    let large = job_of(large, 0);
    let gate = store.figures_gate.lock().expect("not poisoned");
    thread::scope(|scope| {
        scope.spawn(|| check_patiently(&shared, now + 300, &large));
        while store.figures_reads.load(Ordering::SeqCst) < 2 {
            thread::yield_now();
        }
        assert_eq!(
            check_patiently(&shared, now + 300, &job(0)),
            Verdict::Accept
        );
        drop(gate);
    });
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
