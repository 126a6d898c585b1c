//! Tasks that crash workers whose machines say nothing until the workers are back.

use crate::common::{
    Crasher, World, WorldSettings, chain, check_invariants, long_running, serving, short,
};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};
use test_case::test_case;

/// Most starts of a task that crashes its workers, as users allow.
const MOST_STARTS: u32 = 5;

/// The job with the task that crashes its workers.
const CRASHER: JobId = JobId(1);

/// Milliseconds between two jobs of others.
const INTERVAL_MS: u64 = 500;

/// Milliseconds within which the job has to be given up.
const LIMIT_MS: u64 = 150_000;

/// How the crashes look and what happens meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Play {
    /// All machines say nothing.
    Silent,
    /// Every second machine refuses connections.
    Mixed,
    /// All say nothing, and another owner takes over every few seconds.
    Takeovers,
}

fn world(crashing: Step, after_ms: u64, down_ms: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers: 8,
        reuse_names: true,
        ..WorldSettings::default()
    });
    world.run(1000);
    world.submit(2, chain(vec![serving(8)]));
    world.run(1500);
    world.restart_ms = down_ms;
    world.submit(CRASHER.0, chain(vec![crashing]));
    world.crashers.push(Crasher {
        task: TaskId {
            job: CRASHER,
            repetition: 0,
            step: 0,
            index: 0,
        },
        after_ms,
    });
    world
}

/// Guards against a task that crashes its workers without end, since nobody sees a connection
/// refused.
#[test_case(short(1, 12_000), 10, 3000, Play::Silent)]
#[test_case(short(1, 12_000), 150, 3000, Play::Silent)]
#[test_case(short(1, 12_000), 600, 3000, Play::Silent)]
#[test_case(short(1, 12_000), 2500, 3000, Play::Silent)]
#[test_case(short(1, 12_000), 9000, 3000, Play::Silent)]
#[test_case(short(1, 12_000), 150, 20, Play::Silent)]
#[test_case(short(1, 12_000), 150, 300, Play::Silent)]
#[test_case(short(1, 12_000), 150, 9000, Play::Silent)]
#[test_case(short(1, 12_000), 150, 14_000, Play::Silent)]
#[test_case(short(1, 12_000), 150, 3000, Play::Mixed)]
#[test_case(short(1, 12_000), 9000, 3000, Play::Mixed)]
#[test_case(short(1, 12_000), 150, 3000, Play::Takeovers)]
#[test_case(short(1, 12_000), 150, 9000, Play::Takeovers)]
#[test_case(short(1, 12_000), 2500, 300, Play::Takeovers)]
#[test_case(long_running(1), 150, 3000, Play::Silent)]
#[test_case(Step { gang: true, ..short(2, 12_000) }, 150, 3000, Play::Silent)]
fn a_task_that_crashes_silent_machines_is_given_up(
    step: Step,
    after_ms: u64,
    down_ms: u64,
    play: Play,
) {
    let mut world = world(step, after_ms, down_ms);
    let since = world.now;
    let mut number = 100;
    while world.now < since + LIMIT_MS && !world.outcome(CRASHER).is_final() {
        world.submit(number, chain(vec![short(2, 400)]));
        number += 1;
        let crashes = world.checker.other_runs.len();
        world.silent_crashes = play != Play::Mixed || crashes.is_multiple_of(2);
        world.run(INTERVAL_MS);
        if play == Play::Takeovers && number % 8 == 0 {
            let end = world.lease_end();
            world.take_over(end);
        }
    }
    let starts = world.checker.crashed.values().map(|c| c.0).max();
    let outcome = world.outcome(CRASHER);
    assert_eq!(outcome, Outcome::Failed, "{starts:?} starts");
    assert!(starts <= Some(MOST_STARTS), "{starts:?} starts");
    world.run(8000);
    check_invariants(&world, 0);
    for id in world.job_ids().into_iter().filter(|&id| id != CRASHER) {
        assert_ne!(world.outcome(id), Outcome::Failed, "{id}");
    }
}

/// Workers that are cut off and say nothing, for longer than their leases, make no suspects and fail
/// no job.
#[test_case(1)]
#[test_case(3)]
#[test_case(6)]
fn silent_cuts_fail_no_job(workers: usize) {
    let mut world = World::new(WorldSettings {
        workers: 8,
        reuse_names: true,
        ..WorldSettings::default()
    });
    world.run(1000);
    let id = world.submit(1, chain(vec![long_running(16)]));
    world.run(2000);
    for number in 0..8 {
        for at in 0..workers {
            world.workers[(number + at) % 8].partitioned = true;
        }
        world.run(14_000);
        world.workers.iter_mut().for_each(|w| w.partitioned = false);
        world.run(2000);
    }
    world.run(2000);
    assert_eq!(world.outcome(id), Outcome::Active);
    let runs: usize = world.workers.iter().map(|w| w.runs.len()).sum();
    assert_eq!(runs, 16);
    check_invariants(&world, 0);
}
