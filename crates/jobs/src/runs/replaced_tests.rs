//! What becomes of runs and starts when their worker has started again.

use std::sync::Arc;

use super::worker::{Capacity, WorkerInfo};
use crate::{
    action::Action,
    event::{Answer, Event, Look, Running, Started},
    machine::Machine,
    model::{
        ids::{JobId, TaskId},
        policy::QueuePolicy,
        spec::{Job, Spec, Step},
    },
    settings::Settings,
    takeover::Takeover,
};

/// The only task.
const TASK: TaskId = TaskId {
    job: JobId(1),
    time: 0,
    step: 0,
    index: 0,
};

/// An owner of one job of one task, and of one worker whose answers the test gives.
struct Owner {
    machine: Machine,
    now: u64,
    /// What was sent since it was last asked for, but for looks.
    sent: Vec<Action>,
}

impl Owner {
    /// Makes an owner whose worker's first life was heard and has the start of run 1.
    fn new() -> Owner {
        let now = 100_000;
        let takeover = Takeover {
            asked: now,
            inherited: 0,
        };
        let mut owner = Owner {
            machine: Machine::new(Settings::default(), now, takeover),
            now,
            sent: Vec::new(),
        };
        owner.tell(Event::Queues(vec![QueuePolicy {
            queue: "q".into(),
            service: "s".into(),
            priority: 0,
            attempts: 3,
            stretch: 1.5,
            latency: 250,
        }]));
        owner.row(1);
        owner.list(0, 1, &[]);
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
        owner.tell(Event::Accepted(Arc::new(Job {
            id: TASK.job,
            queue: "q".into(),
            accepted: 0,
            spec: Arc::new(spec),
        })));
        owner.run();
        assert_eq!(owner.starts(), [(0, 1)]);
        owner
    }

    fn tell(&mut self, event: Event) {
        self.machine.handle(self.now, self.now, event);
    }

    fn answer(&mut self, worker: u32, sent: u64, answer: Answer) {
        self.tell(Event::Answer {
            worker,
            sent,
            answer,
        });
        self.run();
    }

    /// Decides for a while; records are durable at once.
    fn run(&mut self) {
        for _ in 0..50 {
            self.now += 5;
            let asked = self.now;
            self.tell(Event::Current { asked });
            self.tell(Event::Renewed { asked });
            for action in self.machine.settle(self.now, self.now) {
                match action {
                    Action::Commit(_) => self.tell(Event::Committed { asked }),
                    Action::Look { .. } => {}
                    action => self.sent.push(action),
                }
            }
        }
    }

    /// The row of a life is read.
    fn row(&mut self, born: u64) {
        self.tell(Event::Worker(WorkerInfo {
            id: "w".into(),
            born: Some(born),
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
            remaining: 0,
        }));
        self.run();
    }

    /// A list of a life is read with these runs of the task, which was asked for just before.
    fn list(&mut self, worker: u32, born: u64, runs: &[u32]) {
        let running = runs.iter().map(|&run| Running {
            task: TASK,
            run,
            saved: "".into(),
            percent: 1,
            figure: None,
        });
        let look = Look {
            born: Some(born),
            clock: self.now - born,
            running: running.collect(),
            finished: Vec::new(),
        };
        let sent = self.now;
        self.now += 5;
        self.answer(worker, sent, Answer::Looked(look));
    }

    fn started(&mut self, worker: u32, run: u32, started: Started) {
        let sent = self.now;
        self.answer(worker, sent, Answer::Started(TASK, run, started));
    }

    /// Returns the workers and runs of the starts that were sent; nothing else was.
    fn starts(&mut self) -> Vec<(u32, u32)> {
        let sent = std::mem::take(&mut self.sent);
        let starts = sent.into_iter().map(|action| match action {
            Action::Start(worker, order) => (worker, order.run),
            other => panic!("{other:?}"),
        });
        starts.collect()
    }
}

#[test]
fn a_run_that_was_listed_is_over() {
    let mut owner = Owner::new();
    owner.started(0, 1, Started::Done);
    owner.list(0, 1, &[1]);
    owner.row(2);
    owner.list(0, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
}

#[test]
fn a_run_that_the_next_life_lists_goes_on() {
    let mut owner = Owner::new();
    owner.row(2);
    owner.list(0, 2, &[1]);
    owner.list(1, 2, &[1]);
    assert!(owner.sent.is_empty());
    owner.list(1, 2, &[]);
    assert_eq!(owner.starts(), [(1, 2)]);
}
