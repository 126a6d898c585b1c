//! Jobs that are watched for the times for which they have no runs, as their callers see them.

use std::collections::BTreeMap;

use gorsespur_jobs::{JobId, Spec, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{SimWorker, World, WorldSettings, chain, short, with_checkpoints};

/// Milliseconds between two samples of the runs.
pub const SAMPLE_MS: u64 = 100;

/// Milliseconds without a run after which users count a job as lost.
pub const MAX_STALL_MS: u64 = 3000;

/// Milliseconds without a run after which users count a long-running task as lost.
pub const MAX_LONG_RUNNING_STALL_MS: u64 = 6000;

/// Milliseconds from the last arrival until the check of all jobs.
pub const DRAIN_MS: u64 = 14_000;

/// Time for which a job had no runs.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    /// When a task of the job ran last.
    pub since: u64,
    pub longest: u64,
}

/// A world whose jobs are watched for stalls.
pub struct WatchedWorld {
    pub world: World,
    pub rng: SmallRng,
    pub jobs: BTreeMap<JobId, Stall>,
    /// When each long-running task ran last.
    long_running: BTreeMap<TaskId, u64>,
    /// Headroom that a core of the image "heavy" takes.
    pub heavy_cost: f64,
}

impl WatchedWorld {
    /// Returns a world whose workers have queueing tail latencies and shared CPU.
    pub fn new(settings: WorldSettings) -> WatchedWorld {
        let mut watched = WatchedWorld::of(World::new(settings));
        watched.run(SAMPLE_MS);
        watched
    }

    /// Returns the same world with watched jobs.
    pub fn of(world: World) -> WatchedWorld {
        let seed = world.settings.seed;
        WatchedWorld {
            world,
            rng: SmallRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            long_running: BTreeMap::new(),
            heavy_cost: 0.5,
        }
    }

    /// Submits three serving jobs under varying load, each with a task of `cpu` thousandths of a
    /// core on each worker.
    pub fn serve(&mut self, cpu: u64) {
        for id in 1..4 {
            let serve = Step {
                cpu,
                long_running: true,
                latency_target: 100,
                max_per_worker: 1,
                image: Some("serve".into()),
                ..short(self.world.workers.len() as u32, 0)
            };
            self.submit_long_running(id, serve);
        }
        self.run(5000);
    }

    pub fn submit(&mut self, id: u64, spec: Spec) {
        let id = self.world.submit(id, spec);
        let stall = Stall {
            since: self.world.now,
            longest: 0,
        };
        self.jobs.insert(id, stall);
    }

    /// Submits a job of one step whose tasks are watched one by one.
    pub fn submit_long_running(&mut self, id: u64, step: Step) {
        let now = self.world.now;
        let tasks = (0..step.count).map(|index| TaskId {
            job: JobId(id),
            repetition: 0,
            step: 0,
            index,
        });
        self.long_running.extend(tasks.map(|t| (t, now)));
        self.world.submit(id, chain(vec![step]));
    }

    /// Returns a step of best-effort tasks of one of these images.
    pub fn random_best_effort(&mut self, images: &[&str]) -> Step {
        let image = images[self.rng.random_range(0..images.len())];
        with_checkpoints(Step {
            best_effort: true,
            cpu: self.rng.random_range(1000..2000),
            memory: 200,
            image: Some(image.into()),
            ..short(
                self.rng.random_range(2..10),
                self.rng.random_range(1000..3000),
            )
        })
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run(SAMPLE_MS.min(end - self.world.now));
            self.sample();
        }
    }

    fn sample(&mut self) {
        for worker in &mut self.world.workers {
            // New incarnations lack the settings of their workers.
            worker.queueing = true;
            worker.shares_cpu = true;
            worker.heavy_cost = self.heavy_cost;
        }
        let (world, now) = (&self.world, self.world.now);
        for run in world.workers.iter().flat_map(|w| &w.runs) {
            if let Some(stall) = self.jobs.get_mut(&run.task.job) {
                stall.since = now;
            }
            if let Some(since) = self.long_running.get_mut(&run.task) {
                *since = now;
            }
        }
        for (&id, stall) in &mut self.jobs {
            if world.outcome(id).is_final() {
                stall.since = now;
            }
            stall.longest = stall.longest.max(now - stall.since);
        }
    }

    /// Returns the jobs that have had no runs for so long that users count them as lost.
    pub fn stalled(&self) -> Vec<(JobId, Stall)> {
        let now = self.world.now;
        let stalled = self
            .jobs
            .iter()
            .filter(|(_, s)| now >= s.since + MAX_STALL_MS);
        stalled.map(|(&id, &s)| (id, s)).collect()
    }

    /// Returns the stalled jobs with a task that could run, and the stalled long-running tasks, if
    /// less than half of the capacity is in use and twice the capacity that they need is free.
    pub fn lost(&self) -> Vec<(TaskId, u64)> {
        if self.is_half_full() {
            return Vec::new();
        }
        let now = self.world.now;
        let jobs = self.stalled().into_iter();
        let jobs = jobs.filter_map(|(id, s)| Some((self.first_placeable(id)?, now - s.since)));
        let tasks = self.long_running.iter().filter(|&(task, since)| {
            let step = &self.world.spec(task.job).steps[0];
            now >= since + MAX_LONG_RUNNING_STALL_MS && self.has_double_room(task.job, 0, step)
        });
        jobs.chain(tasks.map(|(&t, since)| (t, now - since)))
            .collect()
    }

    /// Returns a task of the first step whose turn has come and that has twice the room it needs.
    fn first_placeable(&self, job: JobId) -> Option<TaskId> {
        let spec = self.world.spec(job);
        let undone = |step: u32| {
            let tasks = (0..spec.steps[step as usize].count).map(|index| TaskId {
                job,
                repetition: 0,
                step,
                index,
            });
            let mut tasks = tasks.filter(|t| !self.world.checker.done.contains(t));
            tasks.next()
        };
        let mut steps = (0..).zip(&spec.steps);
        steps.find_map(|(at, step)| {
            let is_ready = step.deps.iter().all(|&d| undone(d).is_none());
            undone(at).filter(|_| is_ready && self.has_double_room(job, at, step))
        })
    }

    /// Returns whether twice the capacity that a task of a step needs, or a gang's tasks each, is
    /// free.
    fn has_double_room(&self, job: JobId, at: u32, step: &Step) -> bool {
        let is_full = |w: &SimWorker| {
            let runs = w
                .runs
                .iter()
                .filter(|r| r.task.job == job && r.task.step == at);
            step.max_per_worker > 0 && runs.count() >= step.max_per_worker as usize
        };
        let slots = |w: &SimWorker| {
            let (used, capacity) = (w.used(), w.capacity);
            let cpu = capacity.0.saturating_sub(used.0) / (2 * step.cpu);
            cpu.min(capacity.1.saturating_sub(used.1) / (2 * step.memory))
        };
        let workers = self.world.workers.iter().filter(|w| w.alive && !is_full(w));
        let free: u64 = workers.map(slots).sum();
        free >= if step.gang { u64::from(step.count) } else { 1 }
    }

    /// Returns whether half of the CPU or memory is in use.
    pub fn is_half_full(&self) -> bool {
        let (mut used, mut capacity) = ((0, 0), (0, 0));
        for worker in self.world.workers.iter().filter(|w| w.alive) {
            used = (used.0 + worker.used().0, used.1 + worker.used().1);
            capacity = (
                capacity.0 + worker.capacity.0,
                capacity.1 + worker.capacity.1,
            );
        }
        used.0 * 2 >= capacity.0 || used.1 * 2 >= capacity.1
    }
}
