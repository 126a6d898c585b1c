//! Ends that wait for later starts, and starts beside orphans.

use std::ops::Range;

use super::replaced_tests::{Owner, TASK};
use crate::{
    action::Action,
    event::{Answer, Ending, Event, ReportedRun, RunEnd, Started, WorkerReport},
    model::ids::{JobId, TaskId},
    runs::{worker::Capacity, worker_info::WorkerInfo},
};

/// Number of the end of the task's first run.
const OWN_END: u64 = 501;

/// Returns a report of the first incarnation of a worker with these ends, all but one of them of
/// tasks that the owner does not know.
fn report_of_ends(clock: u64, numbers: Range<u64>) -> WorkerReport {
    let end = |number| RunEnd {
        number,
        task: match number {
            OWN_END => TASK,
            _ => TaskId {
                job: JobId(99),
                ..TASK
            },
        },
        run: 1,
        ending: Ending::Done,
        checkpoint: "".into(),
    };
    WorkerReport {
        start_time: Some(1),
        clock,
        running: Vec::new(),
        finished: numbers.map(end).collect(),
    }
}

fn handle_ends(owner: &mut Owner, numbers: Range<u64>) {
    let sent = owner.now;
    owner.now += 5;
    let report = report_of_ends(owner.now, numbers);
    owner.answer(0, sent, Answer::Report(report));
}

fn has_run(owner: &Owner) -> bool {
    let state = owner.scheduler.jobs.get(&TASK.job);
    state.is_some_and(|j| j.has_runs())
}

fn is_done(owner: &Owner) -> bool {
    let state = owner.scheduler.jobs.get(&TASK.job);
    state.is_some_and(|j| j.outcome.is_final())
}

/// Returns an owner that gave up run 1, sent run 2 without an answer, and has then read the end of
/// run 1 among `count` ends.
fn owner_with_stray_end(count: u64) -> Owner {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Done);
    owner.report(0, 1, &[1]);
    while has_run(&owner) {
        let sent = owner.now;
        owner.answer(0, sent, Answer::NoReply);
    }
    owner.sent.clear();
    handle_ends(&mut owner, 1..501);
    assert_eq!(owner.starts(), [(0, 2)]);
    owner.started(0, 2, Started::Unknown);
    handle_ends(&mut owner, OWN_END..OWN_END + count);
    owner
}

/// A report may settle the later start after it has listed the end. The task is done then, and must
/// not be started once more before the end is counted.
#[test]
fn no_start_follows_an_end_that_waited_for_a_settled_start() {
    let mut owner = owner_with_stray_end(3);
    assert_eq!(owner.starts(), []);
    assert!(is_done(&owner));
}

/// A worker lists its first 500 ends only, so that an end that waits among them for a run on the
/// same worker would never be counted.
#[test]
fn an_end_in_a_full_report_waits_for_no_start() {
    let owner = owner_with_stray_end(500);
    assert!(is_done(&owner));
}

/// An orphan is reported while the placement of the task's next run is being committed.
#[test]
fn a_planned_run_is_not_sent_beside_a_reported_orphan() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Unknown);
    owner.handle_event(Event::WorkerUpdated(WorkerInfo {
        id: "v".into(),
        start_time: Some(1),
        addr: ([127, 0, 0, 1], 1001).into(),
        service: "s".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: "r".into(),
        capacity: Capacity {
            cpu: 4000,
            memory: 4000,
            gpu: 0,
        },
        ready: true,
        remaining_ms: 0,
    }));
    owner.run();
    owner.report(1, 1, &[]);
    // The first incarnation answers a poll that fences run 1 off; the second one is announced.
    let (sent, generation) = (owner.now, owner.generation(0));
    owner.now += 5;
    owner.announce(2);
    let report = report_of_ends(owner.now, 0..0);
    handle(&mut owner, 0, (generation, sent), report);
    let mut is_planned = false;
    for _ in 0..20 {
        owner.now += 5;
        let actions = owner.scheduler.decide(owner.now, owner.now);
        is_planned |= actions.iter().any(|a| matches!(a, Action::Commit(_)));
    }
    assert!(is_planned);
    // The second incarnation has begun run 1.
    let (sent, generation) = (owner.now, owner.generation(2));
    owner.now += 5;
    let report = WorkerReport {
        start_time: Some(2),
        clock: 10,
        running: vec![ReportedRun {
            task: TASK,
            run: 1,
            checkpoint: "".into(),
            percent: 1,
            metric: None,
        }],
        finished: Vec::new(),
    };
    handle(&mut owner, 2, (generation, sent), report);
    let asked_at = owner.now;
    owner.handle_event(Event::Committed { asked_at });
    owner.run();
    let is_start = |a: &Action| matches!(a, Action::Start(..));
    assert!(!owner.sent.iter().any(is_start), "{:?}", owner.sent);
}

/// Handles a report to a poll of a generation, sent at a time, without further decisions.
fn handle(owner: &mut Owner, worker: u32, (generation, sent): (u32, u64), report: WorkerReport) {
    owner.handle_event(Event::Answer {
        worker,
        generation,
        sent,
        answer: Answer::Report(report),
    });
}
