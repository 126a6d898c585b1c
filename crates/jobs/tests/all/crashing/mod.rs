//! Tasks that crash each worker that starts them, and workers that are lost otherwise.
//!
//! A task crashed each worker that started it, within 10 ms, and was started again each time the
//! worker's next life answered, 33 times until the day ended. Nothing counted the workers that
//! were lost under a task: a crashed worker lists no ends, and only listed failures count as
//! attempts. Each worker took 5 to 14 runs of others with it. Of one start it was logged:
//!
//! ```text
//! 26.536 start: sent  run 6, worker i-67e8862833, with four others
//! 26.548 worker: silent  runs 5 (connection lost: closed)
//! 26.800 order: no answer  look (connection refused), and so on each 250 ms
//! 29.863 worker: its life has ended  runs 5
//! 29.890 start: sent  run 7, worker i-b1f8f34693, beside 9 others; silent at 29.903
//! ```

mod crowds;
mod culprits;
mod losses;
mod owners;

use crate::common::{
    Crasher, World, WorldSettings, chain, check_invariants, long_running, serving, short,
    some_with_checkpoints,
};
use gorsespur_jobs::{JobId, Outcome, Spec, Step, TaskId};

/// The job one task of which crashes workers.
const CULPRIT: JobId = JobId(50);

/// Workers of the world.
const WORKERS: usize = 10;

/// Short jobs that are handed in, one each so many milliseconds.
const JOB_INTERVAL_MS: u64 = 120;

/// Jobs of other callers have numbers from here on.
const FIRST_OTHER_JOB: u64 = 1000;

/// A world with lasting tasks on all workers.
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

/// The second task of the culprit's only step.
fn culprit() -> TaskId {
    TaskId {
        job: CULPRIT,
        repetition: 0,
        step: 0,
        index: 1,
    }
}

/// Has a job with a task that crashes its worker so many milliseconds after it began.
fn submit_culprit(world: &mut World, spec: Spec, after: u64) {
    world.submit(CULPRIT.0, spec);
    let task = culprit();
    world.crashers.push(Crasher {
        task,
        after_ms: after,
    });
}

/// Runs for so long while short jobs are handed in.
fn run_busy(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        let id = FIRST_OTHER_JOB + world.now / JOB_INTERVAL_MS;
        let steps = vec![short(3, 500), short(2, 900)];
        world.submit(id, chain(some_with_checkpoints(id, steps)));
        world.run(JOB_INTERVAL_MS);
    }
}

/// Asserts that just the culprit's job has failed, and that the others' tasks run or are done.
fn check_outcomes(world: &mut World, name: &str) {
    assert!(world.run_until_done(60_000), "{name}: jobs are left");
    world.run(8000);
    check_invariants(world, 0);
    for id in world.job_ids().into_iter().filter(|&id| id != CULPRIT) {
        let outcome = world.outcome(id);
        let expected = [Outcome::Complete, Outcome::Active];
        assert!(expected.contains(&outcome), "{name}: {id} is {outcome:?}");
    }
    let lasting = world.workers.iter().flat_map(|w| &w.runs);
    let lasting = lasting.filter(|r| r.task.job == JobId(1)).count();
    assert_eq!(lasting, WORKERS, "{name}: lasting tasks");
}

/// The shapes of steps that tasks which crash workers belong to.
fn shapes() -> [(&'static str, Step); 4] {
    let plain = short(3, 800);
    let fill = Step {
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
        ("lasting", long_running(3)),
        ("filling", fill),
        ("gang", gang),
    ]
}
