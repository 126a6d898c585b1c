//! Workers are not all idle while tasks wait that fit.
//!
//! Several rules keep work from a worker for a while: after failures, beside suspects, and for
//! tasks that have waited longer. Together they must not keep it from all workers.

use crate::common::{World, WorldSettings, chain, check_invariants, short};
use gorsespur_jobs::{JobId, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const WORKERS: usize = 4;

/// Milliseconds between two samples of the runs.
const SAMPLE_MS: u64 = 100;

/// Milliseconds without a run after which users count a job as lost.
const MAX_IDLE_MS: u64 = 3000;

/// Duration of a series, in milliseconds.
const SERIES_MS: u64 = 25_000;

/// Returns a gang with up to twice as many members as fit.
fn some_gang(rng: &mut SmallRng) -> Step {
    Step {
        gang: true,
        ..short(rng.random_range(2..64), rng.random_range(100..2000))
    }
}

/// Runs the series of a seed. Returns the longest time for which no task ran while one that fits
/// waited.
fn longest_idle(seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        attempts: 100,
        seed,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers {
        worker.failure_percent = [5, 30, 60][rng.random_range(0..3)];
    }
    world.run(SAMPLE_MS);
    let (mut since, mut longest) = (world.now, 0);
    let end = world.now + SERIES_MS;
    let mut small: Vec<JobId> = Vec::new();
    for id in 1.. {
        if world.now >= end {
            break;
        }
        if id < 60 {
            match rng.random_bool(0.3) {
                true => {
                    world.submit(id, chain(vec![some_gang(&mut rng)]));
                }
                false => {
                    let step = short(rng.random_range(1..4), rng.random_range(100..1000));
                    small.push(world.submit(id, chain(vec![step])));
                }
            }
        }
        world.run(SAMPLE_MS * rng.random_range(1..5));
        let is_busy = world.workers.iter().any(|w| !w.runs.is_empty());
        if is_busy || small.iter().all(|&j| world.outcome(j).is_final()) {
            since = world.now;
        }
        longest = longest.max(world.now - since);
    }
    check_invariants(&world, seed);
    longest
}

/// Tasks fail on all workers while gangs wait that are wider than all workers together.
#[test]
fn random_series_of_failures_and_gangs_keep_workers_busy() {
    for seed in 0..60 {
        let idle = longest_idle(seed);
        assert!(
            idle < MAX_IDLE_MS,
            "seed {seed}: nothing runs for {idle} ms"
        );
    }
}
