//! Workers that are lost by no task's fault, without and with tasks that crash workers.

use crate::{
    common::{Crasher, World, WorldSettings, chain, check_invariants, long_running, short},
    crashing::{CRASHER, WORKERS, check_outcomes, crasher, run_busy, shapes, world},
};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// A worker that refuses connections for a while and then answers has not crashed.
#[test]
fn a_worker_that_answers_again_has_not_crashed() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let id = world.submit(1, chain(vec![long_running(1)]));
    for _ in 0..3 {
        world.run(700);
        let at = world.workers.iter().position(|w| !w.runs.is_empty());
        let at = at.expect("running task");
        world.workers[at].refusing = true;
        world.run(2000);
        world.workers[at].refusing = false;
        world.run(1500);
        // The task moves to a worker on which it has not run.
        world.announce(at, false);
        world.run(1500);
    }
    assert_eq!(world.outcome(id), Outcome::Active);
    check_invariants(&world, 0);
}

/// A cause of lost workers that is no task's fault.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// The machines of many workers lose power at once.
    Power,
    /// Workers are cut off until their leases expire.
    Cut,
    /// Workers are removed just after they have announced it.
    Spot,
    /// The processes of many workers crash at once.
    Crash,
}

impl Loss {
    /// Injects the loss of these workers.
    fn inject(self, world: &mut World, lost: &[usize]) {
        for &at in lost {
            match self {
                Loss::Power => world.lose_power(at),
                Loss::Cut => world.workers[at].partitioned = true,
                Loss::Spot => world.announce(at, false),
                Loss::Crash => world.crash(at),
            }
        }
        if matches!(self, Loss::Spot) {
            world.run(60);
            lost.iter().for_each(|&at| world.crash(at));
        }
    }

    /// Runs until the workers have recovered.
    fn recover(self, world: &mut World) {
        run_busy(world, 3300);
        if matches!(self, Loss::Cut) {
            run_busy(world, 5000);
            for worker in &mut world.workers {
                worker.partitioned = false;
            }
        }
    }
}

/// Losses follow each other just when the runs lost in the previous one start again. A task that
/// is lost with its worker repeatedly is not given up.
#[test_case(Loss::Power)]
#[test_case(Loss::Cut)]
#[test_case(Loss::Spot)]
#[test_case(Loss::Crash)]
fn lost_workers_fail_no_job(loss: Loss) {
    for seed in 0..4 {
        let mut world = world(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        run_busy(&mut world, 1500);
        for _ in 0..6 {
            let first = rng.random_range(0..WORKERS);
            let lost: Vec<usize> = (first..first + 5).map(|at| at % WORKERS).collect();
            loss.inject(&mut world, &lost);
            loss.recover(&mut world);
            let after = rng.random_range(0..600);
            run_busy(&mut world, after);
        }
        run_busy(&mut world, 8000);
        check_outcomes(&mut world, &format!("{loss:?}, seed {seed}"));
    }
}

/// Tasks that crash workers, combined with takeovers, losses of power, partitions and crashes that
/// are no task's fault. No crasher is started too often, and no other job is given up.
#[test]
fn only_tasks_that_crash_workers_are_given_up() {
    for seed in (0..24).chain([129, 1510, 1539, 1598, 2234, 2579]) {
        let mut world = world(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = shapes();
        let crashers = rng.random_range(1..4);
        for id in 0..crashers {
            let job = JobId(CRASHER.0 + id);
            let (_, step) = steps[rng.random_range(0..steps.len())].clone();
            world.submit(job.0, chain(vec![step]));
            let task = TaskId { job, ..crasher() };
            let after = [10, 10, 10, 600][rng.random_range(0..4)];
            world.crashers.push(Crasher {
                task,
                after_ms: after,
            });
        }
        for _ in 0..24 {
            let at = rng.random_range(0..WORKERS);
            match rng.random_range(0..9) {
                0 => world.lose_power(at),
                1 => (at..at + 4).for_each(|at| world.lose_power(at % WORKERS)),
                2 => world.crash(at),
                3 => world.workers[at].partitioned = true,
                4 | 5 => {
                    world.pause(true);
                    world.take_over(world.lease_end());
                }
                _ => world.workers.iter_mut().for_each(|w| w.partitioned = false),
            }
            let ms = rng.random_range(100..2500);
            run_busy(&mut world, ms);
        }
        world.workers.iter_mut().for_each(|w| w.partitioned = false);
        run_busy(&mut world, 40_000);
        check_invariants(&world, seed);
        for id in world.job_ids() {
            let failed = world.outcome(id) == Outcome::Failed;
            let is_crasher = (CRASHER.0..CRASHER.0 + crashers).contains(&id.0);
            assert_eq!(failed, is_crasher, "seed {seed}: {id}");
        }
    }
}

/// After losses of power each worker runs suspects whose crashes may be chance. A new owner starts
/// new work beside them.
#[test_case(2)]
#[test_case(4)]
fn a_new_owner_starts_work_after_losses_of_power(times: u32) {
    let mut world = world(6);
    let long_runs = Step {
        max_per_worker: 1,
        ..long_running(WORKERS as u32)
    };
    world.submit(2, chain(vec![long_runs]));
    world.run(1500);
    for _ in 0..times {
        (0..WORKERS).for_each(|at| world.lose_power(at));
        run_busy(&mut world, 6000);
    }
    world.run(1500);
    let long_runs = world.workers.iter().flat_map(|w| &w.runs);
    let long_runs = long_runs.filter(|r| r.long_running).count();
    assert_eq!(long_runs, 2 * WORKERS, "restarted tasks");
    world.pause(true);
    world.take_over(world.lease_end());
    world.run(300);
    let id = world.submit(CRASHER.0, chain(vec![short(60, 300)]));
    world.run(1000);
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 6);
}

/// A third to all but a quarter of the workers crash every few seconds, by no task's fault, and
/// are soon back. The only job is long-running and fits on a part of them: it is not given up, and
/// seconds after the last crash all its tasks run.
#[test_case(48, 18, 7000)]
#[test_case(48, 24, 3000)]
#[test_case(48, 36, 3000)]
#[test_case(12, 4, 7000)]
#[test_case(12, 6, 3000)]
fn waves_of_crashes_end_no_long_running_task(workers: usize, crashes: usize, interval_ms: u64) {
    const SEEDS: u64 = 6;
    const WAVES: usize = 9;
    let (mut given_up, mut missing) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(WorldSettings {
            workers,
            seed,
            ..WorldSettings::default()
        });
        world.restart_ms = 700;
        world.run(100);
        let count = 6 * workers;
        let step = Step {
            cpu: 300,
            memory: 300,
            ..long_running(count as u32)
        };
        let id = world.submit(1, chain(vec![step]));
        world.run(3000);
        for _ in 0..WAVES {
            let mut sound: Vec<usize> = (0..workers).collect();
            for _ in 0..crashes {
                let index = rng.random_range(0..sound.len());
                world.crash(sound.swap_remove(index));
            }
            world.run(interval_ms);
        }
        world.run(10_000 - interval_ms.min(3000));
        check_invariants(&world, seed);
        let running: usize = world.workers.iter().map(|w| w.runs.len()).sum();
        given_up += u32::from(world.outcome(id) == Outcome::Failed);
        missing += count - running;
    }
    println!(
        "{crashes} of {workers} workers each {interval_ms} ms: {given_up} of {SEEDS} jobs given up, {missing} tasks don't run"
    );
    assert_eq!((given_up, missing), (0, 0));
}

/// A task crashes its workers `after_ms` after each start, and some others crash at each of these
/// moments. It is given up.
#[test_case(48, 10, 5)]
#[test_case(48, 1500, 5)]
#[test_case(12, 1500, 3)]
#[test_case(12, 3000, 3)]
fn a_task_that_crashes_workers_beside_many_others_is_given_up(
    workers: usize,
    after_ms: u64,
    others: usize,
) {
    const SEEDS: u64 = 6;
    const LIMIT_MS: u64 = 150_000;
    let mut starts = Vec::new();
    let mut remaining = 0;
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(WorldSettings {
            workers,
            seed,
            ..WorldSettings::default()
        });
        world.run(100);
        let beside = Step {
            cpu: 500,
            memory: 300,
            ..long_running(4 * workers as u32)
        };
        world.submit(1, chain(vec![beside]));
        world.run(1500);
        world.submit(CRASHER.0, chain(vec![short(2, 20_000)]));
        world.crashers.push(Crasher {
            task: crasher(),
            after_ms,
        });
        let end = world.now + LIMIT_MS;
        let mut seen = 0;
        while world.now < end && !world.outcome(CRASHER).is_final() {
            world.run(5);
            let crashes = world.checker.other_runs.len();
            let mut crashed = 0;
            while crashes > seen && crashed < others {
                let at = rng.random_range(0..workers);
                if world.workers[at].alive {
                    world.crash(at);
                    crashed += 1;
                }
            }
            seen = crashes;
        }
        starts.push(seen);
        remaining += u32::from(!world.outcome(CRASHER).is_final());
    }
    println!(
        "crasher after {after_ms} ms beside {others} of {workers}: {remaining} of {SEEDS} remain, starts {starts:?}"
    );
    assert_eq!(remaining, 0, "{starts:?}");
}
