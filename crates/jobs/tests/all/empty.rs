//! No fleet stands empty while tasks wait that fit.
//!
//! Guards keep work from a worker for a while: after failures, beside suspects, for tasks that
//! have waited for longer. Together they must never keep it from all workers.

use crate::common::{World, WorldSettings, chain, check_invariants, short};
use gorsespur_jobs::{JobId, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const WORKERS: usize = 4;

/// Milliseconds between two looks at what runs.
const SAMPLE_MS: u64 = 100;

/// Milliseconds after which users count a job as lost of which nothing runs.
const MAX_IDLE_MS: u64 = 3000;

/// Milliseconds that a series is watched.
const SERIES_MS: u64 = 25_000;

/// A gang of up to twice as many members as there is room for.
fn some_gang(rng: &mut SmallRng) -> Step {
    Step {
        gang: true,
        ..short(rng.random_range(2..64), rng.random_range(100..2000))
    }
}

/// Plays the series of a seed; returns for how long at most nothing ran beside a task that fits.
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

/// Tasks fail on all workers, and gangs wait that are wider than the fleet.
#[test]
fn random_series_of_failures_and_gangs_leave_no_fleet_empty() {
    for seed in 0..60 {
        let idle = longest_idle(seed);
        assert!(
            idle < MAX_IDLE_MS,
            "seed {seed}: nothing runs for {idle} ms"
        );
    }
}
