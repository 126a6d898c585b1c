//! Best-effort jobs make progress, however late they are and whatever they interfere with.

use crate::common::{
    DRAIN_MS, MAX_STALL_MS, WatchedWorld, WorldSettings, chain, short, with_checkpoints,
};
use gorsespur_jobs::{JobId, Outcome, Step};
use rand::Rng;
use test_case::test_case;

const WORKERS: usize = 8;

/// Duration of a long task, in milliseconds.
const TASK_MS: u64 = 4000;

/// Milliseconds within which a job has to be complete.
const COMPLETE_MS: u64 = 60_000;

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

/// Milliseconds until a crashed worker restarts.
const RESTART_MS: u64 = 700;

/// A job whose ID comes last in all orders by ID.
const LAST_JOB: u64 = 0x46a7_6c98_01ea_bfcf;

/// A job whose ID comes first in all orders by ID.
const FIRST_JOB: u64 = 0x9345_a9f5_82f4_1895;

/// Returns a world with three serving jobs, each with a task of `cpu` thousandths of a core on each
/// worker.
fn world(seed: u64, cpu: u64) -> WatchedWorld {
    let mut watched = WatchedWorld::new(WorldSettings {
        workers: WORKERS,
        seed,
        ..WorldSettings::default()
    });
    watched.serve(cpu);
    watched
}

/// Overloads the workers for `ms` with jobs of two steps of these images.
fn overload(watched: &mut WatchedWorld, ms: u64, images: &[&str]) {
    let end = watched.world.now + ms;
    while watched.world.now < end {
        let (first, second) = (
            watched.random_best_effort(images),
            watched.random_best_effort(images),
        );
        let id = watched.rng.random_range(1000..u64::MAX);
        watched.submit(id, chain(vec![first, second]));
        watched.run(300);
    }
}

/// Overloads the workers with jobs of these images while `crashes` of them crash each
/// [`WAVE_INTERVAL_MS`].
fn crash_in_waves(watched: &mut WatchedWorld, crashes: usize, images: &[&str]) {
    watched.world.restart_ms = RESTART_MS;
    for _ in 0..WAVES {
        overload(watched, WAVE_INTERVAL_MS, images);
        crash(watched, crashes);
    }
}

/// Crashes so many of the workers at once.
fn crash(watched: &mut WatchedWorld, crashes: usize) {
    let first = watched.rng.random_range(0..WORKERS);
    for at in first..first + crashes {
        watched.world.crash(at % WORKERS);
    }
}

/// Asserts that each job has had runs in the last seconds.
fn check_no_stalls(watched: &WatchedWorld) {
    let stalled = watched.stalled();
    assert!(
        stalled.is_empty(),
        "{} of {}: {stalled:?}",
        stalled.len(),
        watched.jobs.len()
    );
}

/// The workers are overloaded for a minute, and half of the jobs interfere with serving tasks.
/// After the last arrival each job has runs.
#[test_case(4)]
#[test_case(7)]
#[test_case(8)]
#[test_case(13)]
#[test_case(15)]
fn no_late_job_stalls_after_the_last_arrival(seed: u64) {
    let mut watched = world(seed, SPARSE_CPU);
    overload(&mut watched, 60_000, &["light", "thin", "heavy", "heavy"]);
    watched.run(DRAIN_MS);
    check_no_stalls(&watched);
}

/// A job of a thousand tasks takes all CPU that is left for best-effort tasks. The job that comes
/// last in the order runs beside it; if most of the capacity is taken, once the next task ends.
#[test_case("light", SPARSE_CPU, 0; "where it interferes with nothing")]
#[test_case("unknown", SPARSE_CPU, 0; "where it may interfere everywhere")]
#[test_case("light", DENSE_CPU, TASK_MS; "where most of the capacity is taken")]
fn a_late_job_progresses_beside_one_that_takes_all(image: &str, cpu: u64, more: u64) {
    let mut watched = world(1, cpu);
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

/// Each task interferes with each serving task, so that its runs are slowed and moved, and half of
/// the capacity is free. The job is complete a minute later.
#[test_case(1)]
#[test_case(6)]
fn a_job_that_interferes_everywhere_completes(count: u32) {
    let mut watched = world(1, SPARSE_CPU);
    watched.heavy_cost = 1.75;
    let step = Step {
        cpu: 4800,
        estimate: 2500,
        ..best_effort("heavy", count)
    };
    watched.submit(LAST_JOB, chain(vec![step]));
    watched.run(COMPLETE_MS);
    let done = watched.world.checker.done.len();
    let outcome = watched.world.outcome(JobId(LAST_JOB));
    assert_eq!(outcome, Outcome::Complete, "{done} of {count} tasks done");
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
    let mut watched = world(seed, SPARSE_CPU);
    crash_in_waves(&mut watched, crashes, &["light", "thin", "heavy", "heavy"]);
    watched.run(DRAIN_MS);
    assert!(!watched.is_half_full());
    check_no_stalls(&watched);
}

/// Workers that isolate suspects are nearly empty, and the others more than half full.
#[test_case(2)]
#[test_case(14)]
#[test_case(32)]
fn no_late_job_stalls_beside_isolated_suspects(seed: u64) {
    let mut watched = world(seed, MEDIUM_CPU);
    crash_in_waves(&mut watched, 3, &["heavy"]);
    watched.run(DRAIN_MS);
    assert!(!watched.is_half_full());
    check_no_stalls(&watched);
}

/// Owners change after each of the waves. As long as less than half of all the capacity is used,
/// each job has runs.
#[test_case(0, 2)]
#[test_case(8, 2)]
#[test_case(0, 3)]
#[test_case(0, 4)]
fn no_late_job_stalls_after_waves_of_crashes_and_takeovers(seed: u64, crashes: usize) {
    let mut watched = world(seed, SPARSE_CPU);
    watched.world.restart_ms = RESTART_MS;
    for _ in 0..WAVES {
        overload(
            &mut watched,
            WAVE_INTERVAL_MS,
            &["light", "thin", "heavy", "heavy"],
        );
        crash(&mut watched, crashes);
        watched.run(TAKEOVER_MS);
        let lease_end = watched.world.lease_end();
        watched.world.pause(true);
        watched.world.take_over(lease_end);
    }
    watched.run(DRAIN_MS);
    assert!(!watched.is_half_full());
    check_no_stalls(&watched);
}

/// Of jobs that crash nothing, none is given up.
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn waves_of_crashes_fail_no_best_effort_job(crashes: usize) {
    let mut failed = Vec::new();
    for seed in 0..24 {
        let mut watched = world(seed, SPARSE_CPU);
        crash_in_waves(&mut watched, crashes, &["light", "thin", "heavy", "heavy"]);
        watched.run(DRAIN_MS);
        let jobs = watched.jobs.keys();
        let given_up = jobs.filter(|&&id| watched.world.outcome(id) == Outcome::Failed);
        failed.extend(given_up.map(|&id| (seed, id)));
    }
    assert!(failed.is_empty(), "{}: {failed:?}", failed.len());
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
