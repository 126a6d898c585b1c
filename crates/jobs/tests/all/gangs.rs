//! Gangs that resume from checkpoints.
//!
//! The members of a gang write checkpoints at different times, so that they report different ones.
//! The checkpoint of any member is valid for all, and all members of a run have to start with the
//! same one.

use std::{collections::BTreeMap, sync::Arc};

use gorsespur_jobs::{
    Action, Answer, Capacity, Ending, Event, Job, JobId, Paced, QueuePolicy, ReportedRun, RunEnd,
    Scheduler, Settings, StartOrder, Started, Step, Stopped, Takeover, TaskId, WorkerInfo,
    WorkerReport,
};
use test_case::test_case;

use crate::common::{chain, short};

/// Number of members of the gang, and of workers, each of which has capacity for one member.
const MEMBERS: u32 = 3;

/// The runs and ended runs that a worker reports.
#[derive(Debug, Default)]
struct WorkerState {
    running: Vec<ReportedRun>,
    finished: Vec<RunEnd>,
    /// Number of runs that have ended.
    end_count: u64,
}

/// An owner, its store and its workers, all of which answer at once.
struct Owner {
    scheduler: Scheduler,
    now: u64,
    workers: BTreeMap<u32, WorkerState>,
    starts: Vec<StartOrder>,
}

impl Owner {
    fn new(step: Step) -> Owner {
        let now = 100_000;
        let takeover = Takeover {
            asked_at: now,
            prior_leases_end: 0,
        };
        let mut owner = Owner {
            scheduler: Scheduler::new(Settings::default(), now, takeover),
            now,
            workers: BTreeMap::new(),
            starts: Vec::new(),
        };
        owner.notify(Event::Queues(vec![QueuePolicy {
            version: 1,
            queue: "q".into(),
            service: "s".into(),
            priority: 0,
            attempts: 3,
            stretch: 1.5,
            latency: 250,
        }]));
        for at in 0..MEMBERS {
            let id: Arc<str> = format!("w{at}").into();
            owner.notify(Event::WorkerUpdated(WorkerInfo {
                start_time: None,
                id,
                addr: ([127, 0, 0, 1], 1000 + at as u16).into(),
                service: "s".into(),
                zone: "z".into(),
                labels: Vec::new(),
                rack: "r".into(),
                capacity: Capacity {
                    cpu: 1000,
                    memory: 1000,
                    gpu: 0,
                },
                ready: true,
                remaining_ms: 0,
            }));
        }
        owner.notify(Event::Accepted(Arc::new(Job {
            id: JobId(1),
            queue: "q".into(),
            accepted: 0,
            spec: Arc::new(chain(vec![step])),
        })));
        owner
    }

    fn notify(&mut self, event: Event) {
        self.scheduler.handle(self.now, self.now, event);
    }

    /// Runs for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5;
            let asked_at = self.now;
            self.notify(Event::WorkersSynced { asked_at });
            self.notify(Event::Renewed { asked_at });
            for action in self.scheduler.decide(self.now, self.now) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        let sent = self.now;
        let generation = action.generation().unwrap_or_default();
        let (worker, answer) = match action {
            Action::Commit(_) => return self.notify(Event::Committed { asked_at: sent }),
            Action::StepDown => panic!("unexpected step-down"),
            Action::Poll {
                worker, observed, ..
            } => {
                let state = self.workers.entry(worker).or_default();
                state.finished.retain(|e| e.number > observed);
                let report = WorkerReport {
                    start_time: None,
                    clock: sent,
                    running: state.running.clone(),
                    finished: state.finished.clone(),
                };
                (worker, Answer::Report(report))
            }
            Action::Start(worker, order) => {
                self.workers
                    .entry(worker)
                    .or_default()
                    .running
                    .push(ReportedRun {
                        task: order.task,
                        run: order.run,
                        checkpoint: order.checkpoint.clone(),
                        percent: 10,
                        metric: None,
                    });
                let answer = Answer::Started(order.task, order.run, Started::Done);
                self.starts.push(order);
                (worker, answer)
            }
            Action::Stop {
                worker, task, run, ..
            } => (worker, Answer::Stopped(task, run, Stopped::Done)),
            Action::Pace {
                worker, task, run, ..
            } => (worker, Answer::Paced(task, run, Paced::Done)),
        };
        self.notify(Event::Answer {
            worker,
            generation,
            sent,
            answer,
        });
    }

    /// Sets the checkpoint of a member.
    fn save(&mut self, index: u32, checkpoint: &str) {
        let runs = self.workers.values_mut().flat_map(|w| &mut w.running);
        for run in runs.filter(|r| r.task.index == index) {
            run.checkpoint = checkpoint.into();
        }
    }

    /// Ends all runs: the first member's as given, the others' as broken by it.
    fn end(&mut self, first: Ending) {
        for state in self.workers.values_mut() {
            for run in std::mem::take(&mut state.running) {
                state.end_count += 1;
                state.finished.push(RunEnd {
                    number: state.end_count,
                    task: run.task,
                    run: run.run,
                    ending: match run.task.index {
                        0 => first,
                        _ => Ending::Broken,
                    },
                    checkpoint: run.checkpoint,
                });
            }
        }
    }

    /// Returns the starts that were sent since the last call: one for each member, all with the
    /// same run number.
    fn take_starts(&mut self) -> Vec<StartOrder> {
        let mut starts = std::mem::take(&mut self.starts);
        starts.sort_by_key(|s| s.task);
        let members: Vec<TaskId> = starts.iter().map(|s| s.task).collect();
        let expected: Vec<TaskId> = (0..MEMBERS)
            .map(|index| TaskId {
                job: JobId(1),
                repetition: 0,
                step: 0,
                index,
            })
            .collect();
        assert_eq!(members, expected);
        assert!(starts.iter().all(|s| s.run == starts[0].run));
        starts
    }
}

/// When a gang is stopped or one of its members fails, the members report different checkpoints,
/// and some of them none. Members that resume from different progress can't work together, so that
/// the next run brings the same checkpoint for all of them.
#[test_case(Ending::Stopped, &["a-20", "b-22", "c-19"]; "stopped")]
#[test_case(Ending::Stopped, &["", "b-22", ""]; "stopped where one saved")]
#[test_case(Ending::Failed, &["a-20", "b-22", "c-19"]; "failed")]
#[test_case(Ending::Failed, &["a-20", "", "c-19"]; "failed where two saved")]
fn members_of_a_gang_resume_from_the_same_checkpoint(first: Ending, reported: &[&str]) {
    let mut owner = Owner::new(Step {
        gang: true,
        checkpoints: true,
        ..short(MEMBERS, 30_000)
    });
    owner.run(500);
    let starts = owner.take_starts();
    assert!(starts.iter().all(|s| s.checkpoint.is_empty()));
    for (index, checkpoint) in (0..).zip(reported) {
        owner.save(index, checkpoint);
    }
    owner.run(1000);
    owner.end(first);
    owner.run(2000);
    let starts = owner.take_starts();
    let checkpoints: Vec<&str> = starts.iter().map(|s| &*s.checkpoint).collect();
    assert!(
        checkpoints.iter().all(|&s| s == checkpoints[0]),
        "{checkpoints:?}"
    );
    assert!(!checkpoints[0].is_empty() && reported.contains(&checkpoints[0]));
}
