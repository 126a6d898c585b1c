//! Best-effort jobs make progress, however late they are and whatever they interfere with.

use std::collections::BTreeMap;

use crate::common::{World, WorldSettings, chain, serving, short, with_checkpoints};
use gorsespur_jobs::{JobId, Outcome, Spec, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

const WORKERS: usize = 8;

/// Milliseconds between two samples of the runs.
const SAMPLE_MS: u64 = 100;

/// Milliseconds without a run after which users count a job as lost.
const MAX_STALL_MS: u64 = 3000;

/// Duration of a long task, in milliseconds.
const TASK_MS: u64 = 4000;

/// Milliseconds from the last arrival until the check of all jobs.
const DRAIN_MS: u64 = 14_000;

/// CPU of a serving task that leaves more than half of the capacity free, in thousandths of a
/// core.
const SPARSE_CPU: u64 = 1200;

/// CPU of a serving task that takes more than half of the capacity where one of each job runs, and
/// less than half of that of all workers where half of them run none.
const MEDIUM_CPU: u64 = 1500;

/// CPU of a serving task that takes most of the capacity, in thousandths of a core.
const DENSE_CPU: u64 = 1800;

/// Number of waves of crashes.
const WAVES: usize = 9;

/// Milliseconds between two waves of crashes.
const WAVE_INTERVAL_MS: u64 = 7000;

/// Milliseconds from a wave of crashes to the change of the owner after it.
const TAKEOVER_MS: u64 = 1500;

/// A job whose ID comes last in all orders by ID.
const LAST_JOB: u64 = 0x46a7_6c98_01ea_bfcf;

/// A job whose ID comes first in all orders by ID.
const FIRST_JOB: u64 = 0x9345_a9f5_82f4_1895;

/// Time for which a job had no runs.
#[derive(Debug, Clone, Copy)]
struct Stall {
    /// When a task of the job ran last.
    since: u64,
    longest: u64,
}

/// A world whose jobs are watched for stalls.
struct WatchedWorld {
    world: World,
    rng: SmallRng,
    jobs: BTreeMap<JobId, Stall>,
}

impl WatchedWorld {
    /// Returns a world with three serving jobs under varying load, each with a task of `cpu`
    /// thousandths of a core on each worker.
    fn new(seed: u64, cpu: u64) -> WatchedWorld {
        let mut world = World::new(WorldSettings {
            workers: WORKERS,
            seed,
            ..WorldSettings::default()
        });
        for worker in &mut world.workers {
            worker.queueing = true;
            worker.shares_cpu = true;
        }
        world.run(SAMPLE_MS);
        for id in 1..4 {
            world.submit(id, chain(vec![serving_step(cpu, WORKERS as u32)]));
        }
        world.run(5000);
        WatchedWorld::with_world(world, seed)
    }

    fn with_world(world: World, seed: u64) -> WatchedWorld {
        WatchedWorld {
            world,
            rng: SmallRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: u64, spec: Spec) {
        let id = self.world.submit(id, spec);
        let stall = Stall {
            since: self.world.now,
            longest: 0,
        };
        self.jobs.insert(id, stall);
    }

    /// Overloads the workers for `ms` with jobs of two steps of these images.
    fn overload(&mut self, ms: u64, images: &[&str]) {
        let end = self.world.now + ms;
        while self.world.now < end {
            let (first, second) = (
                self.random_best_effort(images),
                self.random_best_effort(images),
            );
            let id = self.rng.random_range(1000..u64::MAX);
            self.submit(id, chain(vec![first, second]));
            self.run(300);
        }
    }

    fn random_best_effort(&mut self, images: &[&str]) -> Step {
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

    fn run(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run(SAMPLE_MS);
            let (world, now) = (&self.world, self.world.now);
            for (&id, stall) in &mut self.jobs {
                let mut runs = world.workers.iter().flat_map(|w| &w.runs);
                if runs.any(|r| r.task.job == id) || world.outcome(id).is_final() {
                    stall.since = now;
                }
                stall.longest = stall.longest.max(now - stall.since);
            }
        }
    }

    /// Overloads the workers with jobs of these images while `crashes` of them crash each
    /// [`WAVE_INTERVAL_MS`].
    fn crash_in_waves(&mut self, crashes: usize, images: &[&str]) {
        self.world.restart_ms = 700;
        for _ in 0..WAVES {
            self.overload(WAVE_INTERVAL_MS, images);
            self.crash(crashes);
        }
    }

    /// Crashes so many of the workers at once.
    fn crash(&mut self, crashes: usize) {
        let first = self.rng.random_range(0..WORKERS);
        for at in first..first + crashes {
            self.world.crash(at % WORKERS);
        }
    }

    /// Asserts that each job has had runs in the last seconds although less than half of the
    /// capacity is used.
    fn check_no_stalls(&self) {
        assert!(self.is_less_than_half_used());
        let stalled = self.stalled();
        assert!(
            stalled.is_empty(),
            "{} of {}: {stalled:?}",
            stalled.len(),
            self.jobs.len()
        );
    }

    /// Returns whether less than half of the capacity of all workers is used.
    fn is_less_than_half_used(&self) -> bool {
        let (mut used, mut capacity) = ((0, 0), (0, 0));
        for worker in &self.world.workers {
            let (cpu, memory) = worker.used();
            used = (used.0 + cpu, used.1 + memory);
            capacity = (
                capacity.0 + worker.capacity.0,
                capacity.1 + worker.capacity.1,
            );
        }
        used.0 * 2 < capacity.0 && used.1 * 2 < capacity.1
    }

    /// Returns the jobs that have had no runs for so long that users count them as lost.
    fn stalled(&self) -> Vec<(JobId, Stall)> {
        let now = self.world.now;
        let stalled = self
            .jobs
            .iter()
            .filter(|(_, s)| now >= s.since + MAX_STALL_MS);
        stalled.map(|(&id, &s)| (id, s)).collect()
    }
}

/// The workers are overloaded for a minute, and half of the jobs interfere with serving tasks.
/// After the last arrival each job has runs.
#[test_case(4)]
#[test_case(7)]
#[test_case(8)]
#[test_case(13)]
#[test_case(15)]
fn no_late_job_stalls_after_the_last_arrival(seed: u64) {
    let mut watched = WatchedWorld::new(seed, SPARSE_CPU);
    watched.overload(60_000, &["light", "thin", "heavy", "heavy"]);
    watched.run(DRAIN_MS);
    let stalled = watched.stalled();
    assert!(
        stalled.is_empty(),
        "{} of {}: {stalled:?}",
        stalled.len(),
        watched.jobs.len()
    );
}

/// A job of a thousand tasks takes all CPU that is left for best-effort tasks. The job that comes
/// last in the order runs beside it; if most of the capacity is taken, once the next task ends.
#[test_case("light", SPARSE_CPU, 0; "where it interferes with nothing")]
#[test_case("unknown", SPARSE_CPU, 0; "where it may interfere everywhere")]
#[test_case("light", DENSE_CPU, TASK_MS; "where most of the capacity is taken")]
fn a_late_job_progresses_beside_one_that_takes_all(image: &str, cpu: u64, more: u64) {
    let mut watched = WatchedWorld::new(1, cpu);
    for worker in &mut watched.world.workers {
        worker.tail_percents = vec![60];
    }
    watched.submit(FIRST_JOB, chain(vec![best_effort("light", 1000)]));
    watched.run(10_000);
    watched.submit(LAST_JOB, chain(vec![best_effort(image, 300)]));
    watched.run(40_000);
    let stall = watched.jobs[&JobId(LAST_JOB)];
    assert!(stall.longest < MAX_STALL_MS + more, "{stall:?}");
}

/// Waves of crashes of a part of the workers make many tasks suspects, which are then isolated. As
/// long as less than half of all the capacity is used, each job has runs.
#[test_case(4, 3)]
#[test_case(9, 3)]
#[test_case(14, 3)]
#[test_case(21, 3)]
#[test_case(28, 3)]
#[test_case(0, 4)]
#[test_case(14, 4)]
#[test_case(21, 4)]
#[test_case(28, 4)]
fn no_late_job_stalls_after_waves_of_crashes(seed: u64, crashes: usize) {
    let mut watched = WatchedWorld::new(seed, SPARSE_CPU);
    watched.crash_in_waves(crashes, &["light", "thin", "heavy", "heavy"]);
    watched.run(DRAIN_MS);
    watched.check_no_stalls();
}

/// The workers that isolate suspects are nearly empty, and the others more than half full.
#[test_case(2)]
#[test_case(14)]
#[test_case(32)]
fn no_late_job_stalls_while_half_of_the_workers_isolate_suspects(seed: u64) {
    let mut watched = WatchedWorld::new(seed, MEDIUM_CPU);
    watched.crash_in_waves(3, &["heavy"]);
    watched.run(DRAIN_MS);
    let isolating = watched.world.stats().isolating_workers;
    assert_eq!(isolating as usize, WORKERS / 2);
    watched.check_no_stalls();
}

/// Owners change after each of the waves. As long as less than half of all the capacity is used,
/// each job has runs.
#[test_case(0, 2)]
#[test_case(8, 2)]
#[test_case(0, 3)]
#[test_case(0, 4)]
fn no_late_job_stalls_after_waves_of_crashes_and_takeovers(seed: u64, crashes: usize) {
    let mut watched = WatchedWorld::new(seed, SPARSE_CPU);
    watched.world.restart_ms = 700;
    for _ in 0..WAVES {
        watched.overload(WAVE_INTERVAL_MS, &["light", "thin", "heavy", "heavy"]);
        watched.crash(crashes);
        watched.run(TAKEOVER_MS);
        let lease_end = watched.world.lease_end();
        watched.world.pause(true);
        watched.world.take_over(lease_end);
    }
    watched.run(DRAIN_MS);
    watched.check_no_stalls();
}

/// Of jobs that crash nothing, none is given up.
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn waves_of_crashes_fail_no_best_effort_job(crashes: usize) {
    let mut failed = Vec::new();
    for seed in 0..24 {
        let mut watched = WatchedWorld::new(seed, SPARSE_CPU);
        watched.crash_in_waves(crashes, &["light", "thin", "heavy", "heavy"]);
        watched.run(DRAIN_MS);
        let jobs = watched.jobs.keys();
        let given_up = jobs.filter(|&&id| watched.world.outcome(id) == Outcome::Failed);
        failed.extend(given_up.map(|&id| (seed, id)));
    }
    assert!(failed.is_empty(), "{}: {failed:?}", failed.len());
}

/// Returns a step of `count` serving tasks, one per worker.
fn serving_step(cpu: u64, count: u32) -> Step {
    Step {
        cpu,
        max_per_worker: 1,
        ..serving(count)
    }
}

/// Returns a step of long best-effort tasks with checkpoints.
fn best_effort(image: &str, count: u32) -> Step {
    with_checkpoints(Step {
        best_effort: true,
        memory: 500,
        image: Some(image.into()),
        ..short(count, TASK_MS)
    })
}
