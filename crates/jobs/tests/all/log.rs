//! The contents of commits, and what a later owner reads of them.

use std::sync::Arc;

use crate::{
    common::{World, WorldSettings, chain, long_running, short},
    ledger::Ledger,
};
use gorsespur_jobs::{
    Action, Answer, Batch, Capacity, Ending, Event, Job, JobId, Outcome, QueuePolicy, Record,
    ReportedRun, RunEnd, Scheduler, Settings, Spec, Started, Step, Takeover, WorkerInfo,
    WorkerReport,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Milliseconds of a write to a store at a sixtieth of its normal speed.
const SLOW_WRITE_MS: u64 = 480;

const START_MS: u64 = 1_000_000;

fn info(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        start_time: None,
        addr: "127.0.0.1:9".parse().expect("address"),
        service: "s".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: "r".into(),
        capacity: Capacity {
            cpu: 1_000_000,
            memory: 1_000_000,
            gpu: 0,
        },
        ready: true,
        remaining_ms: 0,
    }
}

/// An owner with one large worker that carries out all orders at once.
struct Owner {
    scheduler: Scheduler,
    ledger: Ledger,
    now: u64,
    /// Bytes that commits have appended to the log.
    logged_bytes: usize,
    /// Runs of the worker.
    running: Vec<ReportedRun>,
    /// Ended runs that the worker reports.
    finished: Vec<RunEnd>,
    /// Number of commits that still succeed.
    commits_left: usize,
    /// A job whose rows of the log the store rejects.
    rejected_job: Option<JobId>,
    /// Number of rows that the store still rejects.
    rejections_left: usize,
}

/// Returns whether a row of the log names a job.
fn names_job(row: &[u8], job: JobId) -> bool {
    row.windows(8).any(|w| w == job.0.to_be_bytes())
}

impl Owner {
    fn new(ledger: Ledger, jobs: &[Arc<Job>], settings: Settings) -> Owner {
        let mut scheduler = Scheduler::new(settings, START_MS, takeover());
        ledger.restore(&mut scheduler, jobs);
        let mut owner = Owner {
            scheduler,
            ledger,
            now: START_MS,
            logged_bytes: 0,
            running: Vec::new(),
            finished: Vec::new(),
            commits_left: usize::MAX,
            rejected_job: None,
            rejections_left: 0,
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
        owner.notify(Event::WorkerUpdated(info("w")));
        owner.notify(Event::WorkersSynced { asked_at: START_MS });
        for job in jobs {
            owner.notify(Event::Accepted(job.clone()));
        }
        owner
    }

    fn notify(&mut self, event: Event) {
        self.scheduler.handle(self.now, self.now, event);
    }

    /// Runs for `ms` milliseconds. Commits succeed at once, and no run ends.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            self.notify(Event::WorkersSynced { asked_at: self.now });
            self.notify(Event::Renewed { asked_at: self.now });
            for action in self.scheduler.decide(self.now, self.now) {
                self.act(action);
            }
        }
    }

    /// Empties the rows that the store rejects; returns their positions.
    fn reject_rows(&mut self, batch: &mut Batch) -> Vec<usize> {
        let mut rejected = Vec::new();
        for (at, row) in batch.appended_rows.iter_mut().enumerate() {
            let is_rejected = self.rejected_job.is_some_and(|job| names_job(row, job));
            if self.rejections_left > 0 && is_rejected {
                self.rejections_left -= 1;
                row.clear();
                rejected.push(at);
            }
        }
        rejected
    }

    fn act(&mut self, action: Action) {
        let sent = self.now;
        let generation = action.generation().unwrap_or_default();
        let (worker, answer) = match action {
            Action::Commit(_) if self.commits_left == 0 => return,
            Action::Commit(mut batch) => {
                self.commits_left -= 1;
                let rejected = self.reject_rows(&mut batch);
                if !rejected.is_empty() {
                    self.notify(Event::RowsRejected(rejected));
                }
                self.logged_bytes += batch.appended_rows.iter().map(Vec::len).sum::<usize>();
                self.ledger.apply(batch);
                return self.notify(Event::Committed { asked_at: sent });
            }
            Action::Start(worker, order) => {
                self.running.push(ReportedRun {
                    task: order.task,
                    run: order.run,
                    checkpoint: "".into(),
                    percent: 100,
                    metric: None,
                });
                let started = Answer::Started(order.task, order.run, Started::Done);
                (worker, started)
            }
            Action::Poll { worker, .. } => {
                let report = WorkerReport {
                    start_time: None,
                    clock: sent,
                    running: self.running.clone(),
                    finished: self.finished.clone(),
                };
                (worker, Answer::Report(report))
            }
            Action::Stop { .. } | Action::Pace { .. } | Action::StepDown => return,
        };
        self.notify(Event::Answer {
            worker,
            generation,
            sent,
            answer,
        });
    }
}

fn takeover() -> Takeover {
    Takeover {
        asked_at: START_MS,
        prior_leases_end: START_MS,
    }
}

fn job(id: u64, count: u32) -> Arc<Job> {
    Arc::new(Job {
        id: JobId(id),
        queue: "q".into(),
        accepted: 0,
        spec: Arc::new(Spec {
            steps: vec![Step {
                count,
                cpu: 10,
                memory: 1,
                ..long_running(count)
            }],
            ..Spec::default()
        }),
    })
}

/// Many jobs arrive while a write to the store takes half a second. All of them start with the
/// next two writes.
#[test_case(30; "once")]
#[test_case(300; "ten times")]
#[test_case(3000; "a hundred times")]
fn a_burst_of_jobs_starts_with_the_next_writes(count: u64) {
    let mut world = World::new(WorldSettings {
        workers: count.div_ceil(20) as usize,
        ..WorldSettings::default()
    });
    world.write_ms = SLOW_WRITE_MS;
    world.run(3000);
    let commits = world.stats().commits;
    for id in 1..=count {
        world.submit(
            id,
            chain(vec![Step {
                cpu: 300,
                memory: 300,
                ..long_running(1)
            }]),
        );
    }
    world.run(2 * SLOW_WRITE_MS + 200);
    assert!(world.stats().starts >= count, "{}", world.stats().starts);
    assert!(world.stats().commits <= commits + 3);
}

/// A change of one task of a wide job writes no more than a change of a job with one task.
#[test]
fn a_change_of_one_task_costs_the_same_in_a_wide_job() {
    let mut owner = Owner::new(Ledger::default(), &[job(1, 1000)], Settings::default());
    owner.run(500);
    assert_eq!(owner.scheduler.stats().starts, 1000);
    let before = owner.logged_bytes;
    owner.running.remove(17);
    owner.run(2500);
    assert_eq!(owner.scheduler.stats().starts, 1001);
    assert!(
        owner.logged_bytes - before < 500,
        "{}",
        owner.logged_bytes - before
    );
}

/// Owners take over from each other while jobs come and go, and each of them shortens the log. Its
/// size depends on the current state, not on all that was ever written.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_log_size_depends_on_the_current_state(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(WorldSettings {
        workers: 10,
        seed,
        ..WorldSettings::default()
    });
    world.submit(1, chain(vec![long_running(20)]));
    for id in 2..300 {
        let step = short(rng.random_range(1..6), rng.random_range(100..1500));
        world.submit(id, chain(vec![step.clone(), step]));
        world.run(200);
        if id % 60 == 0 {
            world.take_over(world.lease_end());
        }
    }
    world.run_until_done(30_000);
    assert!(
        world.checker.violations.is_empty(),
        "{:?}",
        world.checker.violations
    );
    let (rows, bytes) = world.ledger.log_size();
    assert!(rows <= 16, "{rows}");
    assert!(bytes < 60_000, "{bytes}");
}

/// The log is shortened by a write that has no space for the record of a job that has just ended.
/// The log keeps the rows of the job until its record is written.
#[test]
fn log_rows_of_a_job_are_kept_until_its_record_is_written() {
    let settings = Settings {
        batch_records: 1,
        log_rows: 0,
        ..Settings::default()
    };
    let jobs = [job(1, 1), job(2, 1)];
    let mut owner = Owner::new(Ledger::default(), &jobs, settings);
    owner.run(500);
    for running in std::mem::take(&mut owner.running) {
        owner.finished.push(RunEnd {
            number: owner.finished.len() as u64 + 1,
            task: running.task,
            run: running.run,
            ending: Ending::Failed,
            checkpoint: "".into(),
        });
    }
    for id in [1, 2] {
        owner.notify(Event::Cancelled(JobId(id)));
    }
    owner.commits_left = 1;
    owner.run(500);
    let done = |id| owner.ledger.outcome(JobId(id)) == Outcome::Cancelled;
    assert!(done(1) != done(2), "not exactly one record was written");
    let open = if done(1) { 2 } else { 1 };
    let mut scheduler = Scheduler::new(settings, START_MS, takeover());
    for row in owner.ledger.log() {
        scheduler.replay(row).expect("own row");
    }
    let record = scheduler
        .current_record(JobId(open), None)
        .expect("log row");
    assert!(record.is_valid_for(&job(open, 1).spec));
}

/// A record of an earlier version contains the job's tasks. The next owner reads them, and so does
/// the one after it, when the record has been replaced.
#[test]
fn tasks_in_a_record_of_an_earlier_version_are_kept() {
    let task = ((0, 0, 0), false, 4, Some("w"), Vec::<u32>::new(), "saved");
    let steps: Vec<(u32, u32)> = Vec::new();
    let old = rmp_serde::to_vec(&("Pending", steps, vec![task])).expect("plain data");
    let mut ledger = Ledger::default();
    ledger.apply(Batch {
        records: vec![(JobId(1), old)],
        ..Default::default()
    });
    let jobs = [job(1, 1)];
    let mut first = Owner::new(ledger, &jobs, Settings::default());
    // The run is lost, and the next one resumes from its checkpoint.
    first.run(500);
    assert_eq!(first.ledger.outcome(JobId(1)), Outcome::Active);
    let mut second = Owner::new(first.ledger, &jobs, Settings::default());
    second.run(500);
    assert_eq!(second.running.len(), 1);
    assert_eq!(second.running[0].run, 6);
}

/// A row that is foreign or damaged does not affect other rows.
#[test]
fn an_unreadable_row_affects_no_other() {
    let mut owner = Owner::new(Ledger::default(), &[job(1, 3)], Settings::default());
    owner.run(500);
    let mut scheduler = Scheduler::new(Settings::default(), START_MS, takeover());
    assert!(scheduler.replay(b"what is this").is_err());
    for row in owner.ledger.log() {
        scheduler.replay(row).expect("own row");
    }
    let record = scheduler.current_record(JobId(1), None).expect("log row");
    assert!(record.is_valid_for(&job(1, 3).spec));
    assert!(!record.is_valid_for(&job(1, 2).spec));
    assert_eq!(scheduler.current_record(JobId(2), None), None::<Record>);
}

/// A row of the log that the store rejected was written again without end, so that no job went on.
/// The job of a row that is always rejected fails; a row that is rejected once loses nothing.
#[test_case(usize::MAX, Outcome::Failed; "always")]
#[test_case(1, Outcome::Active; "once")]
fn a_rejected_row_stops_no_other_job(rejections: usize, outcome: Outcome) {
    let large = |n: u64| JobId(0x0102_0304_0506_0708 * n);
    let jobs: Vec<_> = (1..=4).map(|n| job(large(n).0, 3)).collect();
    let mut owner = Owner::new(Ledger::default(), &[], Settings::default());
    owner.rejected_job = Some(large(2));
    owner.rejections_left = rejections;
    owner.run(500);
    for job in &jobs {
        owner.notify(Event::Accepted(job.clone()));
    }
    owner.run(2000);
    assert_eq!(owner.ledger.outcome(large(2)), outcome);
    for number in [1, 3, 4] {
        assert_eq!(owner.ledger.outcome(large(number)), Outcome::Active);
    }
    let tasks: Vec<_> = owner.running.iter().map(|r| r.task).collect();
    let started = tasks.len();
    assert_eq!(started, if outcome == Outcome::Active { 12 } else { 9 });
    let failed = u64::from(outcome == Outcome::Failed);
    assert_eq!(owner.scheduler.stats().jobs_not_stored, failed);
    // A later owner knows every run, and starts none again.
    let (running, ledger) = (owner.running, owner.ledger);
    let mut next = Owner::new(ledger, &jobs, Settings::default());
    next.running = running;
    next.run(12_000);
    assert_eq!(next.running.len(), started);
}
