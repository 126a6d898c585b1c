//! Runs and starts of a worker that has started again.

use std::sync::Arc;

use super::{
    fencing::{FIRST_GENERATION, MAX_GENERATION},
    worker::Capacity,
    worker_info::WorkerInfo,
};
use crate::{
    action::Action,
    event::{Answer, Ending, Event, ReportedRun, RunEnd, Started, Stopped, WorkerReport},
    model::{
        ids::{JobId, TaskId},
        policy::QueuePolicy,
        spec::{Job, Spec, Step},
    },
    scheduler::Scheduler,
    settings::Settings,
    takeover::Takeover,
};

/// The only task.
pub(super) const TASK: TaskId = TaskId {
    job: JobId(1),
    repetition: 0,
    step: 0,
    index: 0,
};

/// An owner with one job of one task, and with one worker whose answers the test gives.
pub(super) struct Owner {
    pub(super) scheduler: Scheduler,
    pub(super) now: u64,
    /// Actions since the last check, without polls.
    pub(super) sent: Vec<Action>,
}

impl Owner {
    /// Returns an owner whose worker has reported in its first incarnation and was sent the start
    /// of run 1.
    pub(super) fn new() -> Owner {
        let now = 100_000;
        let takeover = Takeover {
            asked_at: now,
            prior_leases_end: 0,
        };
        let mut owner = Owner {
            scheduler: Scheduler::new(Settings::default(), now, takeover),
            now,
            sent: Vec::new(),
        };
        owner.handle_event(Event::Queues(vec![QueuePolicy {
            version: 1,
            queue: "q".into(),
            service: "s".into(),
            priority: 0,
            attempts: 3,
            stretch: 1.5,
            latency: 250,
        }]));
        owner.announce(1);
        owner.report(0, 1, &[]);
        let step = Step {
            count: 1,
            cpu: 1000,
            estimate: 60_000,
            ..Step::default()
        };
        let spec = Spec {
            steps: vec![step],
            ..Spec::default()
        };
        owner.handle_event(Event::Accepted(Arc::new(Job {
            id: TASK.job,
            queue: "q".into(),
            accepted: 0,
            spec: Arc::new(spec),
        })));
        owner.run();
        assert_eq!(owner.starts(), [(0, 1)]);
        owner
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        self.scheduler.handle(self.now, self.now, event);
    }

    /// Returns the generation of the next order to a worker.
    pub(super) fn generation(&self, worker: u32) -> u32 {
        self.scheduler.fleet.get(worker).generation
    }

    /// Handles the answer to an order of the worker's present generation.
    pub(super) fn answer(&mut self, worker: u32, sent: u64, answer: Answer) {
        let generation = self.generation(worker);
        self.answer_order(worker, generation, sent, answer);
    }

    pub(super) fn answer_order(&mut self, worker: u32, generation: u32, sent: u64, answer: Answer) {
        self.handle_event(Event::Answer {
            worker,
            generation,
            sent,
            answer,
        });
        self.run();
    }

    /// Makes decisions for 250 ms; commits are durable at once.
    pub(super) fn run(&mut self) {
        for _ in 0..50 {
            self.now += 5;
            let asked = self.now;
            self.handle_event(Event::WorkersSynced { asked_at: asked });
            self.handle_event(Event::Renewed { asked_at: asked });
            for action in self.scheduler.decide(self.now, self.now) {
                match action {
                    Action::Commit(_) => self.handle_event(Event::Committed { asked_at: asked }),
                    Action::Poll { .. } => {}
                    action => self.sent.push(action),
                }
            }
        }
    }

    /// Handles the announcement of an incarnation.
    pub(super) fn announce(&mut self, start_time: u64) {
        self.announce_as("w", start_time);
    }

    fn announce_as(&mut self, name: &str, start_time: u64) {
        self.handle_event(Event::WorkerUpdated(WorkerInfo {
            id: name.into(),
            start_time: Some(start_time),
            addr: ([127, 0, 0, 1], 1000).into(),
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
        self.run();
    }

    /// Handles a report of an incarnation with these runs of the task, to a poll sent just before.
    pub(super) fn report(&mut self, worker: u32, start_time: u64, runs: &[u32]) {
        let generation = self.generation(worker);
        self.report_to(worker, generation, start_time, runs);
    }

    /// Handles a report like [`Owner::report`], to a poll of a generation.
    fn report_to(&mut self, worker: u32, generation: u32, start_time: u64, runs: &[u32]) {
        self.report_ends(worker, generation, start_time, runs, &[]);
    }

    /// Handles a report like [`Owner::report_to`], with the ends of these runs, which have failed.
    fn report_ends(
        &mut self,
        worker: u32,
        generation: u32,
        start_time: u64,
        runs: &[u32],
        ends: &[u32],
    ) {
        let finished = (1..).zip(ends).map(|(number, &run)| RunEnd {
            number,
            task: TASK,
            run,
            ending: Ending::Failed,
            checkpoint: "".into(),
        });
        let running = runs.iter().map(|&run| ReportedRun {
            task: TASK,
            run,
            checkpoint: "".into(),
            percent: 1,
            metric: None,
        });
        let report = WorkerReport {
            start_time: Some(start_time),
            clock: self.now - start_time,
            running: running.collect(),
            finished: finished.collect(),
        };
        let sent = self.now;
        self.now += 5;
        self.answer_order(worker, generation, sent, Answer::Report(report));
    }

    pub(super) fn started(&mut self, worker: u32, run: u32, started: Started) {
        let sent = self.now;
        self.answer(worker, sent, Answer::Started(TASK, run, started));
    }

    fn stopped(&mut self, worker: u32, run: u32) {
        let sent = self.now;
        self.answer(worker, sent, Answer::Stopped(TASK, run, Stopped::Done));
    }

    /// Returns the workers and runs of the starts that were sent; panics on other actions.
    pub(super) fn starts(&mut self) -> Vec<(u32, u32)> {
        let sent = std::mem::take(&mut self.sent);
        let starts = sent.into_iter().map(|action| match action {
            Action::Start(worker, order) => (worker, order.run),
            other => panic!("{other:?}"),
        });
        starts.collect()
    }

    /// Returns the workers and runs of the stops that were sent; panics on other actions.
    fn stops(&mut self) -> Vec<(u32, u32)> {
        let sent = std::mem::take(&mut self.sent);
        let stops = sent.into_iter().map(|action| match action {
            Action::Stop { worker, run, .. } => (worker, run),
            other => panic!("{other:?}"),
        });
        stops.collect()
    }
}

#[test]
fn a_reported_run_ends_with_its_incarnation() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Done);
    owner.report(0, 1, &[1]);
    owner.announce(2);
    owner.report(0, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
}

/// A start that was meant for the old incarnation may be on its way to the next one. Only a report
/// to a poll of a higher generation shows that it comes too late.
#[test]
fn an_unanswered_start_is_waited_for_until_it_is_fenced_off() {
    for answer in [None, Some(Started::Unknown)] {
        let mut owner = Owner::new();
        let generation = owner.generation(0);
        if let Some(started) = answer {
            owner.started(0, 1, started);
        }
        owner.report_to(0, generation, 2, &[]);
        assert!(owner.sent.is_empty(), "{answer:?}");
        owner.report(1, 2, &[]);
        owner.announce(2);
        assert_eq!(owner.starts(), [(1, 2)], "{answer:?}");
    }
}

/// An answer does not show which incarnation gave it. The report that shows the next one may be
/// older than the run.
#[test]
fn an_answered_start_is_waited_for_until_the_next_report() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Done);
    owner.announce(2);
    owner.report(0, 2, &[]);
    assert!(owner.sent.is_empty());
    owner.report(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
}

/// Both the report and the refusal of the start show that a worker has overtaken it.
#[test]
fn a_start_that_is_overtaken_is_sent_again() {
    let mut owner = Owner::new();
    let generation = owner.generation(0);
    owner.report(0, 1, &[1]);
    let sent = owner.now;
    owner.answer(0, sent, Answer::NoReply);
    owner.report(0, 1, &[]);
    assert_eq!(owner.starts(), [(0, 2)]);
    let refused = Answer::Started(TASK, 2, Started::Fenced);
    owner.answer_order(0, generation, sent, refused);
    assert_eq!(owner.starts(), [(0, 3)]);
}

/// Another owner has a higher fencing token than any of this owner.
#[test]
fn an_owner_whose_newest_orders_are_refused_steps_down() {
    for refused in [
        Answer::Fenced,
        Answer::Started(TASK, 1, Started::Fenced),
        Answer::Stopped(TASK, 1, Stopped::Fenced),
    ] {
        let mut owner = Owner::new();
        let sent = owner.now;
        owner.answer(0, sent, refused);
        assert_eq!(owner.sent, [Action::StepDown]);
    }
}

#[test]
fn a_run_that_the_next_incarnation_reports_goes_on() {
    let mut owner = Owner::new();
    owner.announce(2);
    owner.report(0, 2, &[1]);
    owner.report(1, 2, &[1]);
    assert!(owner.sent.is_empty());
    owner.report(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
}

/// An order to a replaced incarnation is refused for a token that the same owner has sent to the
/// next one.
#[test]
fn an_overtaken_order_to_a_replaced_incarnation_is_no_reason_to_step_down() {
    for refused in [Answer::Fenced, Answer::Stopped(TASK, 1, Stopped::Fenced)] {
        let mut owner = Owner::new();
        owner.announce(2);
        let (generation, sent) = (owner.generation(0), owner.now);
        owner.report(1, 2, &[]);
        assert_eq!(owner.starts(), [(1, 2)]);
        owner.started(1, 2, Started::Unknown);
        assert!(owner.generation(1) > generation);
        owner.answer_order(0, generation, sent, refused);
        assert!(!owner.sent.contains(&Action::StepDown));
    }
}

/// The next fencing tokens belong to the successor.
#[test]
fn an_owner_without_generations_left_steps_down() {
    let mut owner = Owner::new();
    owner.scheduler.fleet.set_generation("w", MAX_GENERATION);
    owner.report(0, 1, &[]);
    assert_eq!(owner.starts(), [(0, 2)]);
    owner.started(0, 2, Started::Unknown);
    assert_eq!(owner.sent, [Action::StepDown]);
}

/// Run 1 was given up and run 2 was lost with the old incarnation. The start of run 1 reaches the
/// next incarnation, which has seen no fencing token.
#[test]
fn a_task_waits_until_its_late_start_is_stopped() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Unknown);
    owner.report(0, 1, &[]);
    assert_eq!(owner.starts(), [(0, 2)]);
    owner.report(0, 1, &[2]);
    owner.announce(2);
    owner.report(0, 2, &[1]);
    assert_eq!(owner.stops(), [(1, 1)]);
    owner.report(1, 2, &[1]);
    owner.stopped(1, 1);
    owner.report(1, 2, &[1]);
    assert!(owner.sent.is_empty());
    owner.report(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 3)]);
}

/// A run that was fenced off in the old incarnation may begin in the next one until that has
/// answered a poll.
#[test]
fn a_start_fenced_off_in_the_old_incarnation_is_stopped_in_the_next() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Unknown);
    owner.report(0, 1, &[]);
    assert_eq!(owner.starts(), [(0, 2)]);
    owner.announce(2);
    owner.report(0, 2, &[1]);
    assert_eq!(owner.stops(), [(1, 1)]);
    owner.stopped(1, 1);
    owner.report(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 3)]);
}

/// The clock of the next incarnation is behind, so that it grants the longest lease to orders that
/// were meant for the old one.
#[test]
fn the_next_incarnation_is_not_lost_while_misdirected_leases_may_hold() {
    let mut owner = Owner::new();
    owner.report(0, 1, &[1]);
    owner.announce(2);
    owner.report(0, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
    owner.report(1, 2, &[2]);
    let end = owner.now + Settings::default().max_lease;
    while owner.now < end {
        let sent = owner.now;
        owner.answer(1, sent, Answer::NoReply);
        assert!(
            owner
                .scheduler
                .jobs
                .get(&TASK.job)
                .is_some_and(|j| j.has_runs())
        );
    }
    while owner.now < end + 4000 {
        let sent = owner.now;
        owner.answer(1, sent, Answer::NoReply);
    }
    assert!(
        owner
            .scheduler
            .jobs
            .get(&TASK.job)
            .is_some_and(|j| !j.has_runs())
    );
}

/// Keeps the worker silent from now on; returns for how many milliseconds its run is held.
fn hold_time(mut owner: Owner) -> u64 {
    let since = owner.now;
    while owner
        .scheduler
        .jobs
        .get(&TASK.job)
        .is_some_and(|j| j.has_runs())
    {
        let sent = owner.now;
        owner.answer(0, sent, Answer::NoReply);
        assert!(
            owner.now < since + 60_000,
            "the run is still held after 60 s"
        );
    }
    owner.now - since
}

/// A start that a later incarnation may have carried out holds its run for the longest lease, even
/// if unanswered polls follow. A start that its own incarnation has carried out does not.
#[test]
fn an_unreported_start_is_held_as_long_as_a_later_incarnation_may_run_it() {
    let longest = Settings::default().max_lease;
    let mut own = Owner::new();
    own.started(0, 1, Started::DoneAt(own.now - 1));
    let own = hold_time(own);
    assert!(own < longest - 2000, "{own}");
    for started in [Started::Done, Started::DoneAt(10), Started::Unknown] {
        let mut other = Owner::new();
        other.started(0, 1, started);
        let other = hold_time(other);
        assert!(
            (longest..longest + 4500).contains(&other),
            "{started:?} {other}"
        );
    }
}

#[test]
fn a_poll_drops_ends_only_of_a_known_incarnation_that_still_reports_them() {
    let mut owner = Owner::new();
    let worker = owner.scheduler.fleet.get_mut(0);
    worker.durable_end = 5;
    for (first, silent, contested, expected) in [
        (Some(5), None, false, 5),
        (None, None, false, 0),
        (Some(6), None, false, 0),
        (Some(5), Some(1), false, 0),
        (Some(5), None, true, 0),
    ] {
        worker.first_end = first;
        worker.silent_since = silent;
        worker.contested = contested;
        assert_eq!(worker.droppable_end(), expected);
    }
}

/// Returns an owner with a start whose incarnation has ended before it reported the run, as one of
/// a suspect that ran in isolation there.
fn owner_with_moved_suspect() -> Owner {
    let mut owner = Owner::new();
    owner.scheduler.fleet.get_mut(0).isolated_task = Some(TASK);
    owner.announce(2);
    owner.report_to(0, FIRST_GENERATION, 2, &[]);
    assert!(owner.sent.is_empty());
    assert_eq!(crash_count(&owner), 1);
    owner
}

/// Returns the number of crashes that the task is charged with.
fn crash_count(owner: &Owner) -> usize {
    let task = owner
        .scheduler
        .jobs
        .get(&TASK.job)
        .and_then(|j| j.task(TASK));
    task.expect("task").crashes.count()
}

/// Returns whether a suspect keeps others off a worker.
fn is_isolating(owner: &Owner, worker: u32) -> bool {
    owner.scheduler.fleet.get(worker).isolated_task.is_some()
}

/// A start whose run no incarnation has reported is charged with one crash, however many end.
#[test]
fn a_start_is_charged_once_if_no_incarnation_reports_its_run() {
    let mut owner = owner_with_moved_suspect();
    for worker in 1..4 {
        let next = u64::from(worker) + 2;
        owner.announce(next);
        owner.report_to(worker, FIRST_GENERATION, next, &[]);
        assert!(owner.sent.is_empty(), "incarnation {next}");
        assert_eq!(crash_count(&owner), 1, "incarnation {next}");
    }
}

/// A run that a later incarnation reports did not crash the one that its start was sent to, and
/// may crash the one that has it.
#[test]
fn a_start_is_charged_with_the_crash_of_the_incarnation_that_reports_its_run() {
    let mut owner = owner_with_moved_suspect();
    owner.report(1, 2, &[1]);
    assert_eq!(crash_count(&owner), 0);
    owner.announce(3);
    owner.report(1, 3, &[]);
    assert_eq!(crash_count(&owner), 1);
}

/// The same where the run has ended by the first report.
#[test]
fn a_start_is_not_charged_if_a_later_incarnation_reports_the_end_of_its_run() {
    let mut owner = owner_with_moved_suspect();
    let generation = owner.generation(1);
    owner.report_ends(1, generation, 2, &[], &[1]);
    let state = owner.scheduler.jobs.get(&TASK.job);
    let task = state.and_then(|j| j.task(TASK)).expect("task");
    assert_eq!(task.failed_runs, [1]);
    assert_eq!(crash_count(&owner), 0);
}

/// A later incarnation isolates a suspect until its first report to a poll of a higher generation
/// shows that the run is not there.
#[test]
fn an_unreported_suspect_keeps_others_off_no_longer_than_until_it_is_fenced_off() {
    let mut owner = owner_with_moved_suspect();
    assert!(is_isolating(&owner, 1));
    owner.report(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
    assert!(!is_isolating(&owner, 1));
}

/// A worker that was lost keeps its suspect after the run there has ended. The identified
/// incarnation, which never had the run, does not isolate it: nothing would ever end that.
#[test]
fn an_incarnation_does_not_isolate_a_suspect_without_a_run_there() {
    let mut owner = Owner::new();
    let unidentified = owner.scheduler.fleet.slot(&"v".into());
    let worker = owner.scheduler.fleet.get_mut(unidentified);
    worker.process_ended = true;
    worker.isolated_task = Some(TASK);
    owner.announce_as("v", 5);
    owner.report(unidentified, 5, &[]);
    let identified = owner.scheduler.fleet.workers.len() as u32 - 1;
    let worker = owner.scheduler.fleet.get(identified);
    assert!(worker.is_live() && worker.start_time == Some(5));
    assert!(!is_isolating(&owner, identified));
}
