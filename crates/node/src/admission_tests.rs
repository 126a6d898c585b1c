//! Tests of which jobs are accepted by the figures of their queues.

use gorsespur_jobs::{ORDER_SHARES, QueueFigures, Spec, Step, WaitForecast};
use test_case::test_case;

use crate::admission::{Admission, Decision, Needs, Reason};

fn step(count: u32, cpu: u64, memory: u64) -> Step {
    Step {
        count,
        cpu,
        memory,
        ..Step::default()
    }
}

fn short() -> Step {
    step(1, 100, 10)
}

fn best_effort() -> Step {
    Step {
        best_effort: true,
        ..short()
    }
}

fn long_running(count: u32, cpu: u64, memory: u64) -> Step {
    Step {
        long_running: true,
        ..step(count, cpu, memory)
    }
}

fn needs(steps: Vec<Step>) -> Needs {
    Needs::of(&Spec {
        steps,
        ..Spec::default()
    })
}

/// Figures of queue "q" with room for 1,000 thousandths of a core and 100 MB.
fn figures(short: bool, best_effort: bool) -> QueueFigures {
    let forecast = |closed| WaitForecast {
        wait: 3000,
        slack: 2000,
        retry_after: 4000,
        refused: if closed { ORDER_SHARES } else { 0 },
    };
    QueueFigures {
        queue: "q".into(),
        long_running_cpu: 1000,
        long_running_memory: 100,
        short: forecast(short),
        best_effort: forecast(best_effort),
    }
}

fn admission(figures: QueueFigures) -> Admission {
    let mut admission = Admission::default();
    admission.update(10_000, 1, vec![figures]);
    admission
}

fn reason(decision: &Decision) -> Option<Reason> {
    match decision {
        Decision::Accept | Decision::Unknown => None,
        Decision::Refuse(refusal) => Some(refusal.reason),
    }
}

#[test_case(vec![short()], false, false, None; "short")]
#[test_case(vec![short()], true, false, Some(Reason::Short); "short while closed")]
#[test_case(vec![short()], false, true, None; "short while only the other kind is closed")]
#[test_case(vec![best_effort()], false, false, None; "best effort")]
#[test_case(vec![best_effort()], false, true, Some(Reason::BestEffort); "best effort while closed")]
#[test_case(vec![best_effort()], true, false, None; "best effort while only the other kind is closed")]
#[test_case(vec![short(), best_effort()], false, true, Some(Reason::BestEffort); "both kinds")]
#[test_case(vec![long_running(2, 500, 50)], true, true, None; "long running that fits just so")]
#[test_case(vec![long_running(2, 501, 50)], false, false, Some(Reason::LongRunning); "too much CPU")]
#[test_case(vec![long_running(2, 500, 51)], false, false, Some(Reason::LongRunning); "too much memory")]
#[test_case(vec![long_running(1, 500, 50), long_running(1, 501, 50)], false, false, Some(Reason::LongRunning); "too much in sum")]
#[test_case(vec![step(9, 500, 50), long_running(1, 500, 50)], true, false, None; "only its long running part counts")]
#[test_case(vec![Step { best_effort: true, ..long_running(9, 500, 1) }], false, false, None; "best effort reserves no CPU")]
#[test_case(vec![long_running(u32::MAX, u64::MAX, 1)], false, false, Some(Reason::LongRunning); "absurd numbers")]
fn a_job_is_decided_by_its_kind(
    steps: Vec<Step>,
    short: bool,
    best_effort: bool,
    expected: Option<Reason>,
) {
    let mut admission = admission(figures(short, best_effort));
    let decision = admission.decide(10_000, "q", &needs(steps));
    assert_eq!(reason(&decision), expected);
}

/// Owners refuse a fifth of the order: the jobs that go last, each time they come.
#[test_case(0, false)]
#[test_case(799, false)]
#[test_case(800, true)]
#[test_case(999, true)]
fn a_part_of_the_order_is_refused(order: u32, refused: bool) {
    let mut row = figures(true, true);
    row.short.refused = 200;
    row.best_effort.refused = 200;
    let mut admission = admission(row);
    for step in [short(), best_effort()] {
        let needs = Needs {
            order,
            ..needs(vec![step])
        };
        for _ in 0..2 {
            let decision = admission.decide(10_000, "q", &needs);
            assert_eq!(reason(&decision).is_some(), refused);
        }
    }
}

/// The row of an owner that is gone is read again and again, in the same version.
#[test]
fn figures_that_no_longer_change_refuse_nothing() {
    let mut admission = admission(figures(true, true));
    let needs = needs(vec![short()]);
    for now in [10_500, 11_500] {
        admission.update(now, 1, vec![figures(true, true)]);
        assert_eq!(
            reason(&admission.decide(now, "q", &needs)),
            Some(Reason::Short)
        );
    }
    admission.update(11_501, 1, vec![figures(true, true)]);
    assert_eq!(admission.decide(11_501, "q", &needs), Decision::Unknown);
    admission.update(11_600, 2, vec![figures(true, true)]);
    assert_eq!(
        reason(&admission.decide(11_600, "q", &needs)),
        Some(Reason::Short)
    );
}

/// A queue may be new, and a new owner publishes no figures before it has divided the capacity.
#[test]
fn without_figures_of_its_queue_a_job_is_accepted() {
    let mut admission = admission(figures(true, true));
    let needs = needs(vec![short()]);
    assert_eq!(admission.decide(10_000, "other", &needs), Decision::Unknown);
    admission.update(10_100, 2, Vec::new());
    assert_eq!(admission.decide(10_100, "q", &needs), Decision::Unknown);
}

/// Accepts jobs one after another until one is refused. Returns the number of accepted ones.
fn fill(admission: &mut Admission, now: u64, needs: &Needs) -> u32 {
    (0..100)
        .take_while(|_| admission.decide(now, "q", needs) == Decision::Accept)
        .count() as u32
}

#[test]
fn jobs_accepted_here_take_capacity_before_the_figures_tell() {
    let mut admission = admission(figures(false, false));
    let small = needs(vec![long_running(1, 100, 10)]);
    assert_eq!(fill(&mut admission, 10_000, &small), 10);
}

/// Figures that are older than the jobs accepted here don't let further ones in; a moment later
/// the figures are right, whatever they say.
#[test]
fn small_jobs_take_capacity_only_once() {
    let mut admission = admission(figures(false, false));
    let small = needs(vec![long_running(1, 100, 10)]);
    assert_eq!(fill(&mut admission, 10_000, &small), 10);
    for (number, now) in [10_400, 10_800].into_iter().enumerate() {
        admission.update(now, number as u64 + 2, vec![figures(false, false)]);
        assert_eq!(fill(&mut admission, now, &small), 0, "at {now}");
    }
    admission.update(11_200, 4, vec![figures(false, false)]);
    assert_eq!(fill(&mut admission, 11_200, &small), 10);
}

/// Figures that include the jobs accepted here are not reduced by them a second time.
#[test]
fn accepted_jobs_count_once() {
    let mut admission = admission(figures(false, false));
    let half = needs(vec![long_running(1, 500, 50)]);
    assert_eq!(admission.decide(10_000, "q", &half), Decision::Accept);
    let left = QueueFigures {
        long_running_cpu: 500,
        long_running_memory: 50,
        ..figures(false, false)
    };
    admission.update(10_400, 2, vec![left]);
    assert_eq!(admission.decide(10_400, "q", &half), Decision::Accept);
}

/// A refused large job does not keep small ones out.
#[test]
fn a_job_that_fits_is_accepted_after_a_refusal() {
    let mut admission = admission(figures(false, false));
    let large = needs(vec![long_running(1, 2000, 10)]);
    assert!(reason(&admission.decide(10_000, "q", &large)).is_some());
    let small = needs(vec![long_running(1, 100, 10)]);
    assert_eq!(admission.decide(10_000, "q", &small), Decision::Accept);
}

/// Calls to the store cost: figures are read less often for jobs that are far from a refusal.
#[test_case(vec![long_running(1, 250, 25)], 0, true, 1000; "a quarter of the capacity")]
#[test_case(vec![long_running(1, 251, 25)], 0, true, 300; "more than a quarter")]
#[test_case(vec![short()], 500, true, 1000; "short with a quarter of the slack")]
#[test_case(vec![short()], 501, true, 300; "short with more than a quarter")]
#[test_case(vec![short()], 501, false, 1000; "after a failed read")]
fn figures_are_read_as_often_as_needed(steps: Vec<Step>, wait: u64, done: bool, period: u64) {
    let mut row = figures(false, false);
    row.short.wait = wait;
    let mut admission = admission(row);
    let needs = needs(steps);
    assert!(admission.is_read_due(10_000, "q", &needs));
    admission.record_read(10_000, done);
    assert!(!admission.is_read_due(10_000 + period - 1, "q", &needs));
    assert!(admission.is_read_due(10_000 + period, "q", &needs));
}
