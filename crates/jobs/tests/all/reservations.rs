//! Workers that are reserved, or on which a suspect is isolated, are not left unused while
//! long-running tasks wait.

use crate::common::{World, WorldSettings, chain, long_running, short};
use gorsespur_jobs::{JobId, Step};

/// Milliseconds without a run after which users count a long-running task as lost.
const MAX_WAIT_MS: u64 = 6000;

/// Milliseconds between two samples of the runs.
const SAMPLE_MS: u64 = 100;

/// CPU of a worker, in thousandths of a core.
const WORKER_CPU: u64 = 8000;

/// When the runs on the first worker end, in milliseconds.
const FIRST_END_MS: u64 = 4000;

/// A job whose ID comes last in all orders by ID.
const LAST_JOB: u64 = 0x46a7_6c98_01ea_bfcf;

/// A job whose ID comes first in all orders by ID.
const FIRST_JOB: u64 = 0x9345_a9f5_82f4_1895;

/// Returns a world with two full workers, of which one stays full.
fn full_world() -> World {
    let mut world = World::new(WorldSettings {
        workers: 2,
        ..WorldSettings::default()
    });
    world.run(SAMPLE_MS);
    for (id, estimate) in [(1, FIRST_END_MS), (2, 60_000)] {
        let all = Step {
            cpu: WORKER_CPU,
            ..short(1, estimate)
        };
        world.submit(id, chain(vec![all]));
    }
    world.run(SAMPLE_MS);
    world
}

fn is_running(world: &World, id: JobId) -> bool {
    let mut runs = world.workers.iter().flat_map(|w| &w.runs);
    runs.any(|r| r.task.job == id)
}

/// Returns for how long a job had no runs, 20 s at most.
fn wait(world: &mut World, id: JobId) -> u64 {
    let start = world.now;
    while !is_running(world, id) && world.now < start + 20_000 {
        world.run(SAMPLE_MS);
    }
    world.now - start
}

/// One task of the step starts on the reserved worker, and the other one may not start beside
/// it.
#[test]
fn a_worker_reserved_for_a_step_at_its_limit_takes_other_tasks() {
    let mut world = full_world();
    let spread = Step {
        cpu: 3000,
        max_per_worker: 1,
        ..long_running(2)
    };
    let first = world.submit(FIRST_JOB, chain(vec![spread]));
    let other = Step {
        cpu: 4000,
        ..long_running(1)
    };
    let id = world.submit(LAST_JOB, chain(vec![other]));
    let waited = wait(&mut world, id);
    assert!(is_running(&world, first), "the step has no run");
    assert!(waited < MAX_WAIT_MS, "{waited} ms");
}

/// A smaller task of the same image comes first in the order and is refused, since the worker is
/// reserved.
#[test]
fn a_task_starts_on_the_worker_reserved_for_it() {
    let mut world = full_world();
    let large = Step {
        cpu: 5000,
        ..long_running(1)
    };
    let id = world.submit(LAST_JOB, chain(vec![large]));
    world.run(1000);
    let small = Step {
        cpu: 4000,
        ..long_running(1)
    };
    world.submit(FIRST_JOB, chain(vec![small]));
    let waited = 1000 + wait(&mut world, id);
    assert!(waited < MAX_WAIT_MS, "{waited} ms");
}

/// Four power losses make the tasks of the first job likely causes of crashes, which are isolated
/// for 12 s. Each of the other job's tasks needs more than half of a worker.
#[test]
fn suspects_of_simultaneous_crashes_keep_no_workers_from_long_running_tasks() {
    const WAVES: usize = 4;
    let mut world = World::new(WorldSettings {
        workers: 4,
        ..WorldSettings::default()
    });
    world.run(SAMPLE_MS);
    let spread = |cpu| Step {
        cpu,
        max_per_worker: 1,
        ..long_running(4)
    };
    world.submit(FIRST_JOB, chain(vec![spread(1000)]));
    world.run(3000);
    for wave in 0..WAVES {
        let runs: usize = world.workers.iter().map(|w| w.runs.len()).sum();
        assert_eq!(runs, 4, "runs before wave {wave}");
        for at in 0..4 {
            world.crash(at);
        }
        world.run(if wave + 1 < WAVES { 20_000 } else { 4000 });
    }
    let id = world.submit(LAST_JOB, chain(vec![spread(4500)]));
    let start = world.now;
    let count = |world: &World| {
        let runs = world.workers.iter().flat_map(|w| &w.runs);
        runs.filter(|r| r.task.job == id).count()
    };
    while count(&world) < 4 && world.now < start + 60_000 {
        world.run(SAMPLE_MS);
    }
    let waited = world.now - start;
    assert!(waited < MAX_WAIT_MS, "{waited} ms");
}

/// The pattern is capacity that is reserved for a long time. The larger task waits for a run that
/// goes on for a minute, while the smaller one fits twice beside it.
#[test]
fn a_reservation_holds_back_no_long_running_task_until_it_is_lost() {
    let mut world = World::new(WorldSettings {
        workers: 2,
        ..WorldSettings::default()
    });
    world.run(SAMPLE_MS);
    for (id, cpu) in [(1, WORKER_CPU), (2, 5000)] {
        let step = Step {
            cpu,
            ..short(1, 60_000)
        };
        world.submit(id, chain(vec![step]));
        world.run(SAMPLE_MS);
    }
    let large = Step {
        cpu: 5000,
        ..long_running(1)
    };
    world.submit(FIRST_JOB, chain(vec![large]));
    world.run(4000);
    let small = Step {
        cpu: 1500,
        ..long_running(1)
    };
    let id = world.submit(LAST_JOB, chain(vec![small]));
    let waited = wait(&mut world, id);
    assert!(waited < MAX_WAIT_MS, "{waited} ms");
}
