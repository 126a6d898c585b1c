//! Checkpoints that workers report, and those that starts bring.
//!
//! A start brings a checkpoint that was reported for its task. In a gang the checkpoint of any
//! member is valid, and all members bring the same one. The workers of these tests write
//! checkpoints whose texts are opaque, and the checker records where each one was written.

use crate::common::{
    Mode, Resumed, World, WorldSettings, chain, check_invariants, serving, short, with_checkpoints,
};
use gorsespur_jobs::{JobId, Outcome, Schedule, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Returns a world in which a job runs, with at most one task on each worker.
fn world(step: Step) -> (World, JobId) {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let id = world.submit(
        1,
        chain(vec![Step {
            max_per_worker: 1,
            ..step
        }]),
    );
    world.run(1500);
    let run_counts: Vec<_> = world.workers.iter().map(|w| w.runs.len()).collect();
    assert_eq!(run_counts, [1, 1, 1, 0]);
    (world, id)
}

/// Each task resumes from its own checkpoint, whether its run was stopped or its worker crashed.
#[test]
fn a_task_resumes_from_its_own_checkpoint() {
    let (mut world, id) = world(with_checkpoints(short(3, 3000)));
    world.crash(0);
    world.announce(1, false);
    assert!(world.run_until_done(8000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
    let resumed = world.checker.checkpoints.resumed;
    assert_eq!(
        (resumed.starts, resumed.without_checkpoint),
        (2, 0),
        "{resumed:?}"
    );
}

/// A gang restarts after the crash of a worker. If each member brought its own latest checkpoint,
/// the members would resume from different progress. All members share the newest checkpoint when
/// they are placed.
#[test]
fn all_members_of_a_gang_bring_the_same_checkpoint() {
    let gang = Step {
        gang: true,
        ..short(3, 3000)
    };
    let (mut world, id) = world(with_checkpoints(gang));
    world.crash(0);
    assert!(world.run_until_done(15_000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// A worker reports a checkpoint that other workers reject, since it is not the task's. The task
/// must resume without it: if the start were repeated, each worker in turn would reject it after
/// 20 ms and be blamed for a failure.
#[test_case(false, 1; "by a task")]
#[test_case(true, 3; "by a gang")]
fn a_rejected_checkpoint_is_not_used_again(gang: bool, rejected: usize) {
    let step = Step {
        gang,
        ..short(3, 3000)
    };
    let (mut world, id) = world(with_checkpoints(step));
    let members = if gang { 0..3 } else { 0..1 };
    for worker in &mut world.workers[members] {
        // With more progress than the task reaches, so that it writes no other checkpoint.
        worker.runs[0].checkpoint = ("another's".into(), 3000);
    }
    world.run(1000);
    world.crash(0);
    world.run_until_done(15_000);
    check_invariants(&world, 0);
    assert_eq!(world.checker.checkpoints.rejected.len(), rejected);
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// All members of a gang bring the same invalid checkpoint, and each start is rejected. The first
/// answer removes the checkpoint from all members. The other answers must not be handled as
/// rejected starts without a checkpoint, which would blame their workers three times each and close
/// the whole fleet for a while. What counts is the checkpoint that the start brought.
#[test]
fn a_rejected_checkpoint_of_a_gang_is_no_workers_fault() {
    let gang = Step {
        gang: true,
        max_per_worker: 4,
        ..with_checkpoints(short(12, 3000))
    };
    let mut world = World::new(WorldSettings::default());
    world.restart_ms = 60_000;
    world.run(100);
    let id = world.submit(1, chain(vec![gang]));
    world.run(1500);
    for run in world.workers.iter_mut().flat_map(|w| &mut w.runs) {
        run.checkpoint = ("another's".into(), 3000);
    }
    world.run(1000);
    world.crash(0);
    while world.checker.checkpoints.rejected.len() < 12 {
        world.run(20);
    }
    let submitted_at = world.now;
    let other = world.submit(2, chain(vec![short(4, 200)]));
    while !world.outcome(other).is_final() {
        world.run(20);
    }
    let took = world.now - submitted_at;
    assert!(took < 1000, "the other job took {took} ms");
    assert_eq!(world.stats().rejected, 12, "the other job took {took} ms");
    assert!(world.run_until_done(15_000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// A worker rejects all starts. The other members of the gang start with the same checkpoint and
/// report it, so that it would be used again; the worker is not blamed, appears idle and would get
/// a member of each next run. A rejected checkpoint is not used again.
#[test]
fn a_worker_that_rejects_all_does_not_hold_up_a_gang() {
    let gang = Step {
        gang: true,
        ..short(3, 3000)
    };
    let (mut world, id) = world(with_checkpoints(gang));
    world.workers[3].mode = Mode::Rejects;
    world.crash(0);
    let done = world.run_until_done(60_000);
    let rejected = &world.workers[3].rejected;
    let texts = rejected.iter().filter(|(_, s)| !s.is_empty()).count();
    let rejected = rejected.len();
    assert!(
        done,
        "{rejected} rejected, {texts} of them with a checkpoint"
    );
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// The owner is replaced before the record without the rejected checkpoint is durable.
#[test]
fn a_rejection_may_be_lost_with_its_owner_once() {
    let (mut world, id) = world(with_checkpoints(short(3, 3000)));
    world.workers[0].runs[0].checkpoint = ("another's".into(), 3000);
    world.run(1000);
    world.crash(0);
    while world.checker.checkpoints.rejected.is_empty() {
        world.run(5);
    }
    world.pause(true);
    world.take_over(world.lease_end());
    assert!(world.run_until_done(30_000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    let rejected = world.checker.checkpoints.rejected.len();
    assert_eq!((rejected, world.checker.violations.len()), (2, 1));
}

/// Bounds the checkpoints that are lost to one worker that rejects all starts.
#[test]
fn a_worker_that_rejects_all_costs_few_checkpoints() {
    let mut world = World::new(WorldSettings {
        attempts: 100,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![with_checkpoints(short(24, 4000))]));
    world.run(2500);
    world.workers[3].mode = Mode::Rejects;
    for at in 0..3 {
        world.crash(at);
        world.run(1500);
    }
    world.run_until_done(60_000);
    let rejected = &world.workers[3].rejected;
    let texts = rejected.iter().filter(|(_, s)| !s.is_empty()).count();
    let all = rejected.len();
    let resumed = world.checker.checkpoints.resumed;
    assert!(texts <= 3, "{texts} of {all} rejected, {resumed:?}");
}

/// All workers reject a job without checkpoints as malformed. If it were sent again at once, each
/// worker would be closed for a while, also for other jobs. Instead its task waits.
#[test]
fn a_malformed_job_closes_no_workers() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let mut spec = chain(vec![short(1, 300)]);
    spec.payload = "malformed".into();
    world.submit(1, spec);
    world.run(1000);
    let submitted_at = world.now;
    let other = world.submit(2, chain(vec![short(4, 200)]));
    let limit = world.now + 20_000;
    while world.now < limit && !world.outcome(other).is_final() {
        world.run(20);
    }
    let took = world.now - submitted_at;
    world.run(limit - world.now.min(limit));
    let rejected: usize = world.workers.iter().map(|w| w.rejected.len()).sum();
    let outcome = world.outcome(JobId(1));
    let details = format!("{rejected} rejected, {outcome:?}; the other job took {took} ms");
    assert!(took < 1000 && rejected <= 12, "{details}");
}

/// Workers of a random series.
const WORKERS: usize = 6;

/// The kind of jobs of a random series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// Independent tasks.
    Single,
    /// Gangs and independent tasks.
    Gang,
}

/// Submits a job, most of whose tasks write checkpoints.
fn submit_random(world: &mut World, rng: &mut SmallRng, id: u64, shape: Shape) {
    let plain = short(rng.random_range(1..5), rng.random_range(300..4000));
    let step = match rng.random_range(0..4) {
        0 | 1 => Step {
            best_effort: true,
            image: Some("fill".into()),
            ..plain
        },
        2 if shape == Shape::Gang => Step {
            gang: true,
            best_effort: rng.random_bool(0.3),
            ..plain
        },
        _ => plain,
    };
    let mut spec = chain(vec![short(1, 300), with_checkpoints(step)]);
    if rng.random_bool(0.2) {
        spec.schedule = Schedule {
            repetitions: 3,
            first: world.now + 200,
            interval: rng.random_range(100..1500),
        };
    }
    world.submit(id, spec);
}

/// Injects a fault of a worker, an owner, the store or a job.
fn inject_fault(world: &mut World, rng: &mut SmallRng, last: u64) {
    let at = rng.random_range(0..WORKERS);
    let ms = rng.random_range(0..3500);
    let job = rng.random_range(1..=last);
    match rng.random_range(0..22) {
        0 => world.crash(at),
        1 => world.lose_power(at),
        2 => world.workers[at].partitioned = true,
        3 => world.workers[at].delay_ms = ms,
        4 => world.workers[at].mode = Mode::FailsAll,
        5 => world.workers[at].mode = Mode::Hangs,
        6 => world.workers[at].mode = Mode::Slow(6),
        7 => world.announce(at, false),
        8 => world.workers[at].refusing = true,
        9 | 10 => world.workers[at].tail_percents = vec![200],
        11 => world.store_down = true,
        12 => {
            world.pause(true);
            world.run(ms);
            world.take_over(world.lease_end());
        }
        13 => world.take_over(world.lease_end()),
        14 => {
            world.pause(true);
            world.take_over(world.lease_end());
            world.run(ms);
            world.resume_earlier();
        }
        15 => world.suspend(ms),
        16 => {
            world.pause(true);
            world.run(ms);
            world.pause(false);
        }
        17 => (world.max_turn_ms, world.unread_percent) = (ms / 4, 40),
        18 => {
            let spec = world.spec(JobId(job));
            world.cancel(JobId(job));
            world.run(ms / 2);
            world.submit(job, spec);
        }
        19 => world.resume_earlier(),
        _ => recover(world),
    }
}

/// Ends all faults.
fn recover(world: &mut World) {
    world.store_down = false;
    (world.max_turn_ms, world.unread_percent) = (0, 0);
    world.resume_earlier();
    world.pause(false);
    for at in 0..WORKERS {
        let worker = &mut world.workers[at];
        (worker.partitioned, worker.refusing, worker.delay_ms) = (false, false, 0);
        worker.mode = Mode::Healthy;
        worker.tail_percents.clear();
        world.announce(at, true);
    }
}

/// Runs the series of a seed and returns the world after all jobs have ended.
fn run_series(seed: u64, shape: Shape) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        attempts: 100,
        seed,
        lost_percent: rng.random_range(0..10),
        reuse_names: false,
        ..WorldSettings::default()
    });
    world.unaware_ms = rng.random_range(1..3000);
    for worker in &mut world.workers {
        worker.failure_percent = 5;
    }
    world.run(100);
    world.submit(1000, chain(vec![serving(WORKERS as u32)]));
    world.run(1000);
    for id in 1..=rng.random_range(10..40) {
        submit_random(&mut world, &mut rng, id, shape);
        if rng.random_bool(0.6) {
            inject_fault(&mut world, &mut rng, id);
        }
        world.run(rng.random_range(20..800));
    }
    recover(&mut world);
    assert!(
        world.run_until_done(120_000),
        "seed {seed}: unfinished jobs"
    );
    world
}

/// Under all combinations of faults a start brings a checkpoint that was reported for its task or
/// gang.
#[test_case(Shape::Single; "of single tasks")]
#[test_case(Shape::Gang; "of gangs")]
fn random_series_of_faults_mix_up_no_checkpoints(shape: Shape) {
    let mut all = Resumed::default();
    for seed in 0..60 {
        let world = run_series(seed, shape);
        check_invariants(&world, seed);
        all += world.checker.checkpoints.resumed;
    }
    // Otherwise the series cover too few starts with checkpoints.
    assert!(
        all.starts > 200 && all.starts > 2 * all.without_checkpoint,
        "{all:?}"
    );
}
