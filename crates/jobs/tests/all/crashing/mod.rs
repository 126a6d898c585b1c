//! Tasks that crash each worker that starts them, and workers that are lost for other reasons.
//!
//! A crashed worker reports no ended runs. If only reported failures counted as attempts, a task
//! that crashes its worker within 10 ms would be started again whenever the worker has restarted,
//! without end, and each crash would cost 5 to 14 other runs.

mod crowds;
mod culprits;
mod cuts;
mod isolated;
mod losses;
mod owners;
mod returning;
mod silent;

use crate::common::{
    Crasher, World, WorldSettings, chain, check_invariants, long_running, serving, short,
    some_with_checkpoints,
};
use gorsespur_jobs::{JobId, Outcome, Spec, Step, TaskId};

/// The job with a task that crashes its workers.
const CRASHER: JobId = JobId(50);

/// Number of workers.
const WORKERS: usize = 10;

/// Milliseconds between two short jobs.
const JOB_INTERVAL_MS: u64 = 120;

/// Jobs of other callers have IDs from this one on.
const FIRST_OTHER_JOB: u64 = 1000;

/// Returns a world with a serving task for each worker.
fn world(seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        seed,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(WORKERS as u32)]));
    world.run(1000);
    world
}

/// Returns the second task of the crasher's only step.
fn crasher() -> TaskId {
    TaskId {
        job: CRASHER,
        repetition: 0,
        step: 0,
        index: 1,
    }
}

/// Submits the crasher's job, whose task crashes its worker `after` milliseconds after each start.
fn submit_crasher(world: &mut World, spec: Spec, after: u64) {
    world.submit(CRASHER.0, spec);
    let task = crasher();
    world.crashers.push(Crasher {
        task,
        after_ms: after,
    });
}

/// Runs for `ms` milliseconds while short jobs are submitted.
fn run_busy(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        let id = FIRST_OTHER_JOB + world.now / JOB_INTERVAL_MS;
        let steps = vec![short(3, 500), short(2, 900)];
        world.submit(id, chain(some_with_checkpoints(id, steps)));
        world.run(JOB_INTERVAL_MS);
    }
}

/// Asserts that no job but the crasher's has failed, and that the tasks of the others run or are
/// done.
fn check_outcomes(world: &mut World, name: &str) {
    assert!(world.run_until_done(60_000), "{name}: unfinished jobs");
    world.run(8000);
    check_invariants(world, 0);
    for id in world.job_ids().into_iter().filter(|&id| id != CRASHER) {
        let outcome = world.outcome(id);
        let expected = [Outcome::Complete, Outcome::Active];
        assert!(expected.contains(&outcome), "{name}: {id} is {outcome:?}");
    }
    let long_runs = world.workers.iter().flat_map(|w| &w.runs);
    let long_runs = long_runs.filter(|r| r.task.job == JobId(1)).count();
    assert_eq!(long_runs, WORKERS, "{name}: long-running tasks");
}

/// Returns the kinds of steps of the tasks that crash workers.
fn shapes() -> [(&'static str, Step); 4] {
    let plain = short(3, 800);
    let best_effort = Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(3, 3000)
    };
    let gang = Step {
        gang: true,
        ..short(3, 800)
    };
    [
        ("plain", plain),
        ("long-running", long_running(3)),
        ("best-effort", best_effort),
        ("gang", gang),
    ]
}
