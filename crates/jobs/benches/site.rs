//! A scheduler with workers that carry out its orders, in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use gorsespur_jobs::{
    Action, Answer, Capacity, Ending, Event, Job, JobId, Paced, QueuePolicy, ReportedRun, RunEnd,
    Scheduler, Settings, Spec, StartOrder, Started, Stats, Step, Stopped, Takeover, TaskId,
    WorkerInfo, WorkerReport,
};

use crate::ledger::Ledger;

/// Milliseconds between two turns of the owner.
const TURN_MS: u64 = 2;

/// Milliseconds of a round trip to a worker.
const ROUND_TRIP_MS: u64 = 2;

/// Milliseconds of a write to the store.
const WRITE_MS: u64 = 10;

/// Clock of the workers at the virtual time 0, in milliseconds.
const CLOCK_START_MS: u64 = 1_000_000;

/// An event that is due at a time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Committed,
    /// A run on a worker ends.
    End(u32, RunIndex),
    /// The wait of a worker's poll is over; the second value is the number of the poll.
    Poll(u32, u64),
}

/// Index of a run.
type RunIndex = usize;

#[derive(Debug, Clone)]
struct Run {
    task: TaskId,
    number: u32,
    started_at: u64,
    work: u64,
    long_running: bool,
    target: u64,
    cpu: u64,
    ended: bool,
}

#[derive(Debug, Default)]
struct Worker {
    runs: Vec<RunIndex>,
    finished: Vec<RunEnd>,
    last_end: u64,
    /// A waiting poll: its number, its generation and when it was sent.
    poll: Option<(u64, u32, u64)>,
}

/// A scheduler, its workers, and messages in flight.
pub struct Site {
    now: u64,
    scheduler: Scheduler,
    workers: Vec<Worker>,
    runs: Vec<Run>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    answers: Vec<Event>,
    polls: u64,
    jobs: u64,
    /// Rate of arrivals as a multiple of the normal one.
    load_factor: u64,
    /// Fractions of jobs that are due to arrive, by kind.
    arrivals_due: [u64; 2],
    decide_time: Duration,
    /// Accepted jobs.
    accepted: Vec<Arc<Job>>,
    /// Committed records and log rows.
    ledger: Ledger,
}

impl Site {
    /// Creates a site whose serving tasks start soon. Jobs arrive at `load_factor` times the normal
    /// rate.
    pub fn new(workers: u64, load_factor: u64) -> Site {
        let now = 3_600_000;
        let mut scheduler = Scheduler::new(
            Settings::default(),
            now,
            Takeover {
                asked_at: now,
                prior_leases_end: 0,
            },
        );
        let policy = |queue: &str, priority| QueuePolicy {
            version: 1,
            queue: queue.into(),
            service: "s".into(),
            priority,
            attempts: 3,
            stretch: 1.5,
            latency: 1000,
        };
        let queues = vec![policy("fill", 2), policy("last", 0), policy("wide", 0)];
        scheduler.handle(now, now, Event::Queues(queues));
        let mut site = Site {
            now,
            scheduler,
            workers: Vec::new(),
            runs: Vec::new(),
            due: BinaryHeap::new(),
            answers: Vec::new(),
            polls: 0,
            jobs: 0,
            load_factor,
            arrivals_due: [0; 2],
            decide_time: Duration::ZERO,
            accepted: Vec::new(),
            ledger: Ledger::default(),
        };
        site.join(workers);
        // Four tasks of 6.4 cores on a worker of 32.
        for _ in 0..workers * 4 / 24 {
            let image = site.jobs % 16;
            let step = Step {
                count: 24,
                cpu: 6400,
                memory: 13_000,
                long_running: true,
                latency_target: 150,
                image: Some(format!("serve{image}").into()),
                ..Step::default()
            };
            site.submit("last", vec![step]);
        }
        site
    }

    /// Adds `count` idle workers.
    pub fn join(&mut self, count: u64) {
        for _ in 0..count {
            let at = self.workers.len();
            let info = WorkerInfo {
                start_time: None,
                id: format!("w{at:04}").into(),
                addr: format!("127.0.0.1:{}", 1000 + at).parse().expect("address"),
                service: "s".into(),
                zone: "z".into(),
                labels: vec!["a".into(), format!("r{}", at / 8).into()],
                rack: format!("r{}", at / 8).into(),
                capacity: Capacity {
                    cpu: 32_000,
                    memory: 128_000,
                    gpu: 0,
                },
                ready: true,
                remaining_ms: 0,
            };
            self.workers.push(Worker::default());
            self.scheduler
                .handle(self.now, self.now, Event::WorkerUpdated(info));
        }
    }

    /// Returns the average number of runs of the workers from `first` on.
    pub fn runs_from(&self, first: usize) -> f64 {
        let workers = &self.workers[first..];
        let runs: usize = workers.iter().map(|w| w.runs.len()).sum();
        runs as f64 / workers.len() as f64
    }

    /// Returns the number of jobs of a queue that have not started.
    pub fn pending(&self, queue: &str) -> u64 {
        let pending = self.scheduler.pending_jobs();
        let found = pending.iter().find(|(q, _)| **q == *queue);
        found.map_or(0, |(_, count)| *count)
    }

    /// Submits a job to the queue of short jobs.
    pub fn submit_wide(&mut self, steps: Vec<Step>) {
        self.submit("wide", steps);
    }

    /// Returns the contents of the store: the accepted jobs, and what was committed for them.
    pub fn stored(&self) -> (&[Arc<Job>], &Ledger) {
        (&self.accepted, &self.ledger)
    }

    /// Returns the counters of the scheduler.
    pub fn stats(&self) -> Stats {
        self.scheduler.stats()
    }

    /// Returns a description of the waiting jobs.
    pub fn backlog(&self) -> String {
        let pending = self.scheduler.pending_jobs();
        let stats = self.scheduler.stats();
        let (open, passes, cut) = (stats.open_jobs, stats.passes, stats.truncated_passes);
        format!("{open} open, waiting {pending:?}, {cut} of {passes} passes truncated")
    }

    /// Runs for `ms` milliseconds and returns the time that the decisions took.
    pub fn run(&mut self, ms: u64) -> Duration {
        self.decide_time = Duration::ZERO;
        let end = self.now + ms;
        while self.now < end {
            self.now += TURN_MS;
            self.arrive();
            self.process_due();
            self.decide();
        }
        self.decide_time
    }

    fn arrive(&mut self) {
        let workers = self.workers.len() as u64;
        // A thousandth of a job per millisecond is one job per second. For 1,100 workers, 32
        // best-effort jobs and 24 short ones arrive per second.
        for (kind, rate) in [(0, 32), (1, 24)] {
            self.arrivals_due[kind] += TURN_MS * rate * workers * self.load_factor;
            while self.arrivals_due[kind] >= 1_100_000 {
                self.arrivals_due[kind] -= 1_100_000;
                let image = self.jobs % 30;
                let best_effort = Step {
                    count: 40,
                    cpu: 3500,
                    memory: 6400,
                    estimate: 1700,
                    best_effort: true,
                    checkpoints: true,
                    image: Some(format!("fill{image}").into()),
                    ..Step::default()
                };
                let short = Step {
                    count: 13,
                    cpu: 6400,
                    memory: 13_000,
                    estimate: 640,
                    ..Step::default()
                };
                let after = |step: &Step| Step {
                    deps: vec![0],
                    ..step.clone()
                };
                match kind {
                    0 => self.submit("fill", vec![best_effort.clone(), after(&best_effort)]),
                    _ => self.submit("wide", vec![short.clone(), after(&short)]),
                }
            }
        }
    }

    fn submit(&mut self, queue: &str, steps: Vec<Step>) {
        self.jobs += 1;
        let id = JobId(self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let job = Arc::new(Job {
            id,
            queue: queue.into(),
            accepted: 0,
            spec: Arc::new(Spec {
                payload: "work".into(),
                steps,
                ..Spec::default()
            }),
        });
        self.accepted.push(job.clone());
        self.answers.push(Event::Accepted(job));
    }

    fn process_due(&mut self) {
        while let Some(Reverse((at, _))) = self.due.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, due))) = self.due.pop() else {
                return;
            };
            match due {
                Due::Committed => self.answers.push(Event::Committed {
                    asked_at: self.now - WRITE_MS,
                }),
                Due::End(worker, run) => self.end(worker, run, Ending::Done),
                Due::Poll(worker, poll) => {
                    if self.workers[worker as usize]
                        .poll
                        .is_some_and(|p| p.0 == poll)
                    {
                        self.answer_poll(worker);
                    }
                }
            }
        }
    }

    fn end(&mut self, worker: u32, run: RunIndex, ending: Ending) {
        if std::mem::replace(&mut self.runs[run].ended, true) {
            return;
        }
        let at = &mut self.workers[worker as usize];
        at.runs.retain(|&r| r != run);
        at.last_end += 1;
        at.finished.push(RunEnd {
            number: at.last_end,
            task: self.runs[run].task,
            run: self.runs[run].number,
            ending,
            checkpoint: "".into(),
        });
        if at.poll.is_some() {
            self.answer_poll(worker);
        }
    }

    fn answer_poll(&mut self, worker: u32) {
        let now = self.now;
        let at = &mut self.workers[worker as usize];
        let Some((_, generation, sent)) = at.poll.take() else {
            return;
        };
        let row = |r: &Run| ReportedRun {
            task: r.task,
            run: r.number,
            checkpoint: "".into(),
            percent: match r.long_running {
                true => 100,
                false => ((now - r.started_at) * 100 / r.work).min(99) as u32,
            },
            metric: Some(match r.target {
                0 => r.cpu,
                target => target * (30 + (now / 500 + r.task.job.0) % 20) / 100,
            }),
        };
        let report = WorkerReport {
            start_time: None,
            clock: CLOCK_START_MS + now,
            running: at.runs.iter().map(|&r| row(&self.runs[r])).collect(),
            finished: at.finished.clone(),
        };
        self.answers.push(Event::Answer {
            worker,
            generation,
            sent,
            answer: Answer::Report(report),
        });
    }

    fn decide(&mut self) {
        let now = self.now;
        let answers = std::mem::take(&mut self.answers);
        let start = Instant::now();
        for event in answers {
            self.scheduler.handle(now, now, event);
        }
        self.scheduler
            .handle(now, now, Event::WorkersSynced { asked_at: now });
        let actions = self.scheduler.decide(now, now);
        self.decide_time += start.elapsed();
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let sent = self.now;
        let generation = action.generation().unwrap_or_default();
        let answer = match action {
            Action::Poll {
                worker,
                observed,
                wait,
                ..
            } => {
                self.polls += 1;
                let at = &mut self.workers[worker as usize];
                at.finished.retain(|e| e.number > observed);
                at.poll = Some((self.polls, generation, sent));
                let until = match at.finished.is_empty() {
                    true => sent + ROUND_TRIP_MS + wait,
                    false => sent + ROUND_TRIP_MS,
                };
                let due = Due::Poll(worker, self.polls);
                self.due.push(Reverse((until, due)));
                return;
            }
            Action::Commit(batch) => {
                self.ledger.apply(batch);
                self.due.push(Reverse((sent + WRITE_MS, Due::Committed)));
                return;
            }
            Action::Start(worker, order) => {
                let done = Answer::Started(order.task, order.run, Started::Done);
                self.start(worker, &order);
                (worker, done)
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let found = self.workers[worker as usize].runs.iter().copied();
                let found = found.into_iter().find(|&r| self.runs[r].task == task);
                if let Some(found) = found {
                    self.end(worker, found, Ending::Stopped);
                }
                (worker, Answer::Stopped(task, run, Stopped::Done))
            }
            Action::Pace {
                worker, task, run, ..
            } => (worker, Answer::Paced(task, run, Paced::Done)),
            Action::StepDown => return,
        };
        let (worker, answer) = answer;
        self.answers.push(Event::Answer {
            worker,
            generation,
            sent,
            answer,
        });
    }

    fn start(&mut self, worker: u32, order: &StartOrder) {
        let step = &order.spec.steps[order.task.step as usize];
        let index = self.runs.len();
        self.runs.push(Run {
            task: order.task,
            number: order.run,
            started_at: self.now,
            work: step.estimate.max(1),
            long_running: step.long_running,
            target: step.latency_target,
            cpu: step.cpu,
            ended: false,
        });
        self.workers[worker as usize].runs.push(index);
        if !step.long_running {
            let due = Due::End(worker, index);
            self.due.push(Reverse((self.now + step.estimate, due)));
        }
    }
}
