//! A simulation of owners, one after another, with workers, a store and messages in flight.

use std::{collections::BTreeMap, sync::Arc};

use crate::{common::fencing_token, ledger::Ledger, records::incarnation::Incarnation};
use gorsespur_jobs::{
    Action, Answer, Batch, Ending, Event, Job, JobId, QueuePolicy, Scheduler, Settings, StartOrder,
    Started, Takeover, TaskId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Duration of one step of the simulation, in milliseconds.
const TICK_MS: u64 = 50;

/// Number of workers.
const WORKERS: usize = 3;

/// A message in flight.
#[derive(Debug)]
enum Message {
    /// An answer to the owner of an epoch: worker, generation of the order, when it was sent.
    Answer(u64, u32, u32, u64, Answer),
    /// A start that has timed out at its sender.
    Start(Arc<str>, u64, StartOrder),
    /// A batch of the owner of an epoch.
    Batch(u64, Batch),
}

/// Owners, one after another, with workers, a store and checks of the starts.
pub struct Simulation {
    rng: SmallRng,
    now: u64,
    epoch: u64,
    scheduler: Scheduler,
    pub workers: Vec<Incarnation>,
    /// Number of checkpoints written so far.
    checkpoint_count: u64,
    jobs: BTreeMap<JobId, Arc<Job>>,
    pub ledger: Ledger,
    messages: Vec<(u64, Message)>,
    /// Checkpoints that each task has reported to an owner.
    reported: BTreeMap<TaskId, Vec<Arc<str>>>,
    /// Number of starts that brought a checkpoint.
    pub resumed: usize,
    pub starts: Vec<StartOrder>,
    /// Whether no run ends, no worker crashes and no owner is replaced.
    pub no_faults: bool,
}

impl Simulation {
    pub fn new(seed: u64, jobs: Vec<Job>) -> Simulation {
        let now = 1_000_000;
        let jobs = jobs.into_iter().map(|j| (j.id, Arc::new(j)));
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now,
            epoch: 0,
            scheduler: scheduler(now),
            workers: (0..WORKERS)
                .map(|at| Incarnation::new(format!("w{at}")))
                .collect(),
            checkpoint_count: 0,
            jobs: jobs.collect(),
            ledger: Ledger::default(),
            messages: Vec::new(),
            reported: BTreeMap::new(),
            resumed: 0,
            starts: Vec::new(),
            no_faults: false,
        };
        simulation.take_over();
        simulation
    }

    /// Starts a new owner, which reads the rows in random order.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.scheduler = scheduler(self.now);
        let mut ids: Vec<JobId> = self.jobs.keys().copied().collect();
        ids.shuffle(&mut self.rng);
        let jobs = ids.iter().map(|id| &self.jobs[id]);
        self.ledger.restore(&mut self.scheduler, jobs);
        for id in ids {
            let job = self.jobs[&id].clone();
            self.notify(Event::Accepted(job));
        }
        self.notify(Event::Queues(vec![QueuePolicy {
            version: 1,
            queue: "q".into(),
            service: "s".into(),
            priority: 0,
            attempts: 1000,
            stretch: 1.5,
            latency: 250,
        }]));
        for at in 0..self.workers.len() {
            self.notify(Event::WorkerUpdated(self.workers[at].info(at)));
        }
    }

    pub fn notify(&mut self, event: Event) {
        self.scheduler.handle(self.now, self.now, event);
    }

    /// Returns a random delay in milliseconds.
    fn random_delay(&mut self) -> u64 {
        self.rng.random_range(0..4) * TICK_MS
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        if !self.no_faults {
            self.inject_faults();
        }
        let due = self.messages.extract_if(.., |p| p.0 <= self.now);
        for (_, message) in due.collect::<Vec<_>>() {
            self.deliver(message);
        }
        let asked_at = self.now;
        self.notify(Event::WorkersSynced { asked_at });
        self.notify(Event::Renewed { asked_at });
        for action in self.scheduler.decide(self.now, self.now) {
            self.act(action);
        }
    }

    /// Writes checkpoints, ends runs, crashes workers and replaces the owner, at random.
    fn inject_faults(&mut self) {
        for incarnation in &mut self.workers {
            let mut at = 0;
            while at < incarnation.runs.len() {
                let run = &mut incarnation.runs[at];
                if self.rng.random_range(0..3) == 0 {
                    self.checkpoint_count += 1;
                    run.checkpoint = format!(
                        "{} {} {} {}",
                        run.task, run.number, incarnation.id, self.checkpoint_count
                    )
                    .into();
                }
                let ending = match self.rng.random_range(0..400) {
                    0 => Ending::Done,
                    1..4 => Ending::Failed,
                    4..7 => Ending::Stopped,
                    7..9 => Ending::Lapsed,
                    _ => {
                        at += 1;
                        continue;
                    }
                };
                incarnation.end(at, ending);
            }
        }
        if self.rng.random_range(0..60) == 0 {
            let at = self.rng.random_range(0..WORKERS);
            self.checkpoint_count += 1;
            self.workers[at] = Incarnation::new(format!("w{at}.{}", self.checkpoint_count));
            self.notify(Event::WorkerUpdated(self.workers[at].info(at)));
        }
        if self.rng.random_range(0..60) == 0 {
            self.take_over();
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Answer(epoch, worker, generation, sent, answer) if epoch == self.epoch => {
                if let Answer::Report(report) = &answer {
                    let running = report.running.iter().map(|r| (r.task, &r.checkpoint));
                    let ended = report.finished.iter().map(|e| (e.task, &e.checkpoint));
                    for (task, checkpoint) in running.chain(ended) {
                        self.reported
                            .entry(task)
                            .or_default()
                            .push(checkpoint.clone());
                    }
                }
                self.notify(Event::Answer {
                    worker,
                    generation,
                    sent,
                    answer,
                });
            }
            Message::Start(incarnation, fence, order) => {
                if let Some(incarnation) = self.workers.iter_mut().find(|i| i.id == incarnation) {
                    incarnation.start(&order, fence);
                }
            }
            // A write succeeds only if no other owner has written since.
            Message::Batch(epoch, batch) if epoch == self.epoch => {
                self.ledger.apply(batch);
                // The answer may be lost together with the owner.
                if !self.no_faults && self.rng.random_range(0..40) == 0 {
                    return self.take_over();
                }
                let asked_at = self.now;
                self.notify(Event::Committed { asked_at });
            }
            Message::Answer(..) | Message::Batch(..) => {}
        }
    }

    fn act(&mut self, action: Action) {
        let generation = action.generation().unwrap_or_default();
        let fence = fencing_token(self.epoch, generation);
        let (worker, answer) = match action {
            Action::Poll {
                worker, observed, ..
            } => {
                let clock = self.now;
                let incarnation = self.incarnation(worker);
                let answer = incarnation.map_or(Answer::Dead, |i| i.report(clock, observed, fence));
                (worker, answer)
            }
            Action::Start(worker, order) => (worker, self.start(worker, order)),
            Action::Stop {
                worker, task, run, ..
            } => {
                let incarnation = self.incarnation(worker);
                let answer = incarnation.map_or(Answer::Dead, |i| {
                    Answer::Stopped(task, run, i.stop(task, run, fence))
                });
                (worker, answer)
            }
            Action::Commit(batch) => {
                let due = self.now + self.random_delay();
                self.messages.push((due, Message::Batch(self.epoch, batch)));
                return;
            }
            Action::Pace { .. } | Action::StepDown => panic!("unexpected action"),
        };
        let due = self.now + self.random_delay();
        let message = Message::Answer(self.epoch, worker, generation, self.now, answer);
        self.messages.push((due, message));
    }

    /// Returns the incarnation that the owner addresses, unless it has ended.
    fn incarnation(&mut self, worker: u32) -> Option<&mut Incarnation> {
        let (_, id) = self
            .scheduler
            .worker_address(worker)
            .expect("announced worker");
        self.workers.iter_mut().find(|i| i.id == id)
    }

    fn start(&mut self, worker: u32, order: StartOrder) -> Answer {
        let task = order.task;
        self.starts.push(order.clone());
        assert_eq!(&*order.spec.payload, format!("text of {}", task.job));
        if !order.checkpoint.is_empty() {
            self.resumed += 1;
            let step = &order.spec.steps[task.step as usize];
            // The checkpoint of any member is valid for the whole gang.
            let members = match step.gang {
                true => 0..step.count,
                false => task.index..task.index + 1,
            };
            let mut reported =
                members.filter_map(|index| self.reported.get(&TaskId { index, ..task }));
            let is_own = reported.any(|l| l.contains(&order.checkpoint));
            assert!(
                is_own,
                "{task} starts with {}, which it never reported",
                order.checkpoint
            );
        }
        let fence = fencing_token(self.epoch, order.generation);
        if !self.no_faults && self.rng.random_range(0..20) == 0 {
            // The start is not answered, and carried out later.
            let (_, id) = self
                .scheduler
                .worker_address(worker)
                .expect("announced worker");
            let due = self.now + 10 * TICK_MS;
            let answer = Answer::Started(task, order.run, Started::Unknown);
            self.messages.push((due, Message::Start(id, fence, order)));
            return answer;
        }
        let incarnation = self.incarnation(worker);
        incarnation.map_or(Answer::Dead, |i| {
            Answer::Started(task, order.run, i.start(&order, fence))
        })
    }
}

/// Returns the scheduler of a new owner.
fn scheduler(now: u64) -> Scheduler {
    let takeover = Takeover {
        asked_at: now,
        prior_leases_end: now + 1000,
    };
    Scheduler::new(Settings::default(), now, takeover)
}
