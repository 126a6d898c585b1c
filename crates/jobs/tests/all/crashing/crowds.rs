//! A crash that makes suspects of many tasks: the crasher is found, and the others run on.

use crate::common::{Crasher, World, WorldSettings, chain, check_invariants, short};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};
use test_case::test_case;

/// Number of suspects of the crash.
const SUSPECTS: u64 = 51;

/// Milliseconds within which all jobs have to end.
const LIMIT_MS: u64 = 60_000;

/// Milliseconds without a run after which users count a job as lost.
const JOB_LIMIT_MS: u64 = 3000;

/// Outcome of a crash with many suspects.
#[derive(Debug)]
struct Isolation {
    /// Milliseconds until all jobs had ended.
    took_ms: u64,
    /// Number of jobs without a crasher that failed.
    wrongly_failed: usize,
}

/// Returns a world in which one worker is about to crash under [`SUSPECTS`] tasks that have just
/// started. Some of the tasks crash each worker that starts them.
fn world_of_suspects(workers: usize, crashers: u64, seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        seed,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers[1..] {
        worker.partitioned = true;
    }
    world.run(2000);
    for id in 0..SUSPECTS {
        let step = Step {
            cpu: 100,
            memory: 100,
            ..short(1, 1000)
        };
        let job = world.submit(id, chain(vec![step]));
        let task = TaskId {
            job,
            repetition: 0,
            step: 0,
            index: 0,
        };
        let spacing = SUSPECTS / crashers;
        if id % spacing == 0 && id / spacing < crashers {
            world.crashers.push(Crasher {
                task,
                after_ms: 200,
            });
        }
    }
    world.run(100);
    assert_eq!(world.workers[0].runs.len(), SUSPECTS as usize);
    for worker in &mut world.workers[1..] {
        worker.partitioned = false;
    }
    world
}

/// Runs until all jobs have ended.
fn isolate_crashers(workers: usize, crashers: u64, seed: u64) -> Isolation {
    let mut world = world_of_suspects(workers, crashers, seed);
    let since = world.now;
    world.run_until_done(4 * LIMIT_MS);
    check_invariants(&world, seed);
    let crasher_jobs: Vec<JobId> = world.crashers.iter().map(|c| c.task.job).collect();
    let jobs = (0..SUSPECTS).map(JobId);
    let failed = jobs.filter(|&j| world.outcome(j) == Outcome::Failed);
    let wrongly_failed = failed.filter(|j| !crasher_jobs.contains(j)).count();
    let found = crasher_jobs
        .iter()
        .all(|&j| world.outcome(j) == Outcome::Failed);
    assert!(found, "a crasher was not found");
    Isolation {
        took_ms: world.now - since,
        wrongly_failed,
    }
}

#[test_case(4, 1)]
#[test_case(4, 3)]
#[test_case(12, 1)]
#[test_case(12, 3)]
#[test_case(100, 1)]
#[test_case(100, 3)]
fn many_suspects_of_one_crash_do_not_wait_for_each_other(workers: usize, crashers: u64) {
    for seed in 0..3 {
        let found = isolate_crashers(workers, crashers, seed);
        assert_eq!(found.wrongly_failed, 0, "jobs without a crasher failed");
        assert!(found.took_ms < LIMIT_MS, "{found:?}");
    }
}

/// Many suspects are isolated one after the other, on at most half of the workers.
#[test_case(4)]
#[test_case(5)]
#[test_case(12)]
fn other_tasks_run_beside_many_suspects(workers: usize) {
    let mut world = world_of_suspects(workers, 1, 0);
    // The worker has restarted, and all its runs are suspects.
    world.run(6000);
    for id in 0..12 {
        let id = world.submit(1000 + id, chain(vec![short(2, 300)]));
        world.run(JOB_LIMIT_MS);
        assert_eq!(
            world.outcome(id),
            Outcome::Complete,
            "{id} after {JOB_LIMIT_MS} ms"
        );
    }
}

/// Only suspects wait and half of the workers are idle, so that suspects use those as well.
#[test]
fn suspects_use_idle_workers() {
    let mut world = world_of_suspects(4, 1, 0);
    world.run(6000);
    let mut busy = 0;
    for _ in 0..50 {
        world.run(100);
        busy += world.workers.iter().filter(|w| !w.runs.is_empty()).count();
    }
    assert!(
        busy > 2 * 50,
        "{busy} of {} samples of busy workers",
        4 * 50
    );
}
