//! Workers on which suspects are isolated count as free capacity for callers.

use crate::common::{
    WatchedWorld, World, WorldSettings, chain, long_running, short, with_checkpoints,
};
use gorsespur_jobs::{Step, TaskId};
use test_case::test_case;

/// Number of workers.
const WORKERS: usize = 8;

/// Jobs that are submitted beside suspects have IDs from this one on.
const FIRST_JOB: u64 = 1000;

/// Milliseconds without crashes before callers count jobs as lost.
const CALM_MS: u64 = 7000;

/// Duration of a long task, in milliseconds.
const TASK_MS: u64 = 20_000;

/// Runs for `ms` and returns the tasks that callers count as lost, with the longest time without a
/// run.
fn lost_within(watched: &mut WatchedWorld, ms: u64) -> Vec<(TaskId, u64)> {
    let end = watched.world.now + ms;
    let mut lost: Vec<(TaskId, u64)> = Vec::new();
    while watched.world.now < end {
        watched.run(100);
        for (task, waited_ms) in watched.lost() {
            match lost.iter_mut().find(|l| l.0 == task) {
                Some(known) => known.1 = waited_ms,
                None => lost.push((task, waited_ms)),
            }
        }
    }
    lost
}

/// How long the runs of suspects have lasted when their workers crash, in milliseconds.
const LONG_STARTED_MS: u64 = 3000;

/// The same for runs that have just started.
const JUST_STARTED_MS: u64 = 200;

/// Returns a world in which half of the workers run tasks under which all workers crashed at once,
/// four times by nobody's fault, `run_ms` after the starts.
fn world_with_suspects(run_ms: u64) -> WatchedWorld {
    let mut watched = WatchedWorld::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    watched.world.restart_ms = 700;
    for id in 0..WORKERS as u64 / 2 {
        let step = short(1, 10 * TASK_MS);
        watched.submit(id, chain(vec![step]));
    }
    for _ in 0..4 {
        run_until_started(&mut watched);
        watched.run(run_ms);
        crash_all(&mut watched.world);
    }
    run_until_started(&mut watched);
    watched.run(1000);
    watched
}

/// Runs until each suspect has a run.
fn run_until_started(watched: &mut WatchedWorld) {
    for _ in 0..100 {
        let runs = watched.world.workers.iter().flat_map(|w| &w.runs);
        if runs.count() == WORKERS / 2 {
            return;
        }
        watched.run(100);
    }
    panic!("a suspect has no run");
}

/// Half of the workers isolate suspects, and most of the capacity of the other half is in use.
#[test_case(LONG_STARTED_MS; "that had long started")]
#[test_case(JUST_STARTED_MS; "that had just started")]
fn no_job_stalls_while_half_of_the_workers_isolate_suspects(run_ms: u64) {
    let mut watched = world_with_suspects(run_ms);
    let half = Step {
        cpu: 4800,
        max_per_worker: 1,
        ..long_running(WORKERS as u32 / 2)
    };
    watched.submit_long_running(FIRST_JOB, half);
    let best_effort = with_checkpoints(Step {
        best_effort: true,
        image: Some("light".into()),
        memory: 100,
        ..short(100, TASK_MS)
    });
    watched.run(500);
    watched.submit(FIRST_JOB + 1, chain(vec![best_effort.clone()]));
    watched.run(500);
    watched.submit(FIRST_JOB + 2, chain(vec![best_effort]));
    let lost = lost_within(&mut watched, 7000);
    assert!(lost.is_empty(), "{lost:?}");
}

/// A long-running job has one task for each worker, and half of the workers isolate suspects.
#[test_case(LONG_STARTED_MS; "that had long started")]
#[test_case(JUST_STARTED_MS; "that had just started")]
fn no_task_of_one_per_worker_waits_for_suspects(run_ms: u64) {
    let mut watched = world_with_suspects(run_ms);
    let each = Step {
        max_per_worker: 1,
        ..long_running(WORKERS as u32)
    };
    watched.submit_long_running(FIRST_JOB, each);
    let lost = lost_within(&mut watched, 15_000);
    assert!(lost.is_empty(), "{lost:?}");
}

/// Many workers crash at once, several times by nobody's fault, under tasks that run on. After that
/// each job has runs.
#[test_case(2)]
#[test_case(3)]
fn no_job_stalls_after_workers_crashed_together(crashes: u64) {
    let mut watched = WatchedWorld::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    watched.world.restart_ms = 700;
    for id in 0..5 * WORKERS as u64 {
        let step = Step {
            cpu: 500,
            ..short(1, TASK_MS)
        };
        watched.submit(FIRST_JOB + id, chain(vec![step]));
    }
    for _ in 0..crashes {
        watched.run(5000);
        crash_all(&mut watched.world);
    }
    watched.run(CALM_MS);
    let lost = lost_within(&mut watched, 10_000);
    assert!(lost.is_empty(), "{} {lost:?}", lost.len());
}

fn crash_all(world: &mut World) {
    for at in 0..WORKERS {
        world.crash(at);
    }
}
