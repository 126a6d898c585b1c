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

use crate::common::{
    Crasher, World, WorldSettings, chain, check_seed, lasting, saving_some, serving, short,
};
use gorsespur_jobs::{JobId, Outcome, Spec, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// The job one task of which crashes workers.
const CULPRIT: JobId = JobId(50);

/// Workers of the world.
const WORKERS: usize = 10;

/// Short jobs that are handed in, one each so many milliseconds.
const EVERY: u64 = 120;

/// Jobs of other callers have numbers from here on.
const OTHERS: u64 = 1000;

/// Workers that a task costs while no owner is killed.
const LOST: usize = 3;

/// Milliseconds after its start by which an owner has written down that a task crashed its worker.
const WRITTEN: u64 = 1100;

/// Milliseconds from the end of an owner until another one takes over.
const OWNERLESS: u64 = 1500;

/// Starts that users allow a task.
const MOST_STARTS: usize = 5;

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
        time: 0,
        step: 0,
        index: 1,
    }
}

/// Has a job with a task that crashes its worker so many milliseconds after it began.
fn submit_culprit(world: &mut World, spec: Spec, after: u64) {
    world.submit(CULPRIT.0, spec);
    let task = culprit();
    world.crashers.push(Crasher { task, after });
}

/// Runs for so long while short jobs are handed in.
fn run_busy(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        let id = OTHERS + world.now / EVERY;
        let steps = vec![short(3, 500), short(2, 900)];
        world.submit(id, chain(saving_some(id, steps)));
        world.run(EVERY);
    }
}

/// Asserts that just the culprit's job has failed, and that the others' tasks run or are done.
fn check_outcomes(world: &mut World, name: &str) {
    assert!(world.run_until_done(60_000), "{name}: jobs are left");
    world.run(8000);
    check_seed(world, 0);
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
        fill: true,
        image: Some("fill".into()),
        ..short(3, 3000)
    };
    let gang = Step {
        gang: true,
        ..short(3, 800)
    };
    [
        ("plain", plain),
        ("lasting", lasting(3)),
        ("filling", fill),
        ("gang", gang),
    ]
}

#[test]
fn a_task_that_crashes_each_worker_is_given_up() {
    for (name, step) in shapes() {
        let mut world = world(1);
        submit_culprit(&mut world, chain(vec![step]), 10);
        run_busy(&mut world, 30_000);
        check_seed(&world, 0);
        assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
        check_outcomes(&mut world, name);
    }
}

/// Owners that follow each other know what crashed under the ones before.
#[test]
fn a_task_that_crashes_workers_is_given_up_by_changing_owners() {
    for period in [1500, 2300, 3300, 4100] {
        let mut world = world(period);
        let step = short(3, 800);
        submit_culprit(&mut world, chain(vec![step]), 10);
        for _ in 0..36_000 / period {
            run_busy(&mut world, period);
            world.pause(true);
            world.take_over(world.lease_end());
        }
        check_seed(&world, period);
        let name = format!("each {period} ms");
        assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
        check_outcomes(&mut world, &name);
    }
}

/// A task that crashes its worker only after a while is found as well.
#[test_case(400)]
#[test_case(1200)]
#[test_case(2500)]
fn a_task_that_crashes_its_worker_later_is_given_up(after: u64) {
    let mut world = world(2);
    submit_culprit(&mut world, chain(vec![short(3, 6000)]), after);
    run_busy(&mut world, 60_000);
    let name = format!("after {after} ms");
    assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
    check_outcomes(&mut world, &name);
}

/// Where no worker is empty it runs beside others, and is found as well.
#[test_case(10)]
#[test_case(1200)]
fn a_task_that_crashes_workers_beside_others_is_given_up(after: u64) {
    let mut world = world(4);
    world.away = 20_000;
    world.submit(2, chain(vec![lasting(3 * WORKERS as u32)]));
    world.run(1500);
    submit_culprit(&mut world, chain(vec![short(3, 6000)]), after);
    run_busy(&mut world, 60_000);
    let name = format!("after {after} ms");
    let later = &world.judge.taken[1..];
    assert!(later.iter().any(|&t| t > 0), "{name}: always apart");
    assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
    check_outcomes(&mut world, &name);
}

/// The next owner finds the next life of a worker and sees nothing of the crash: the one before
/// has written it down.
#[test]
fn a_crash_that_a_later_owner_did_not_see_counts() {
    let mut world = world(5);
    submit_culprit(&mut world, chain(vec![short(3, 800)]), 10);
    for crash in 1..=5 {
        for _ in 0..400 {
            if world.judge.taken.len() >= crash {
                break;
            }
            run_busy(&mut world, 20);
        }
        run_busy(&mut world, 1500);
        world.pause(true);
        run_busy(&mut world, 1700);
        world.take_over(world.lease_end());
    }
    run_busy(&mut world, 5000);
    assert_eq!(world.outcome(CULPRIT), Outcome::Failed);
    let taken = &world.judge.taken;
    assert!(taken.len() <= 3, "{taken:?}");
    check_outcomes(&mut world, "unseen");
}

/// The instance that gave the last order is killed while a task crashes its workers. What it knew
/// of the crash and had not written down is lost with it: the new owner finds a worker that
/// refuses connections, which tells something if nothing else was there, or its next life, which
/// tells nothing. Such a crash costs one more worker for each owner that is killed, but there is
/// no sixth start; one that is written down costs none.
#[test_case(5, 1, 3000; "before the crash")]
#[test_case(20, 1, 1000; "just after it")]
#[test_case(300, 2, 3000; "twice before it is written down")]
#[test_case(1100, 1, 3000; "once it is written down")]
#[test_case(3200, 1, 3000; "beside the next life")]
#[test_case(20, 3, 1000; "three times just after it")]
fn a_task_that_crashes_workers_is_given_up_though_owners_are_killed(
    after: u64,
    kills: usize,
    away: u64,
) {
    for crowded in [false, true] {
        for (name, step) in shapes() {
            let mut world = world(1);
            world.away = away;
            if crowded {
                world.submit(2, chain(vec![lasting(3 * WORKERS as u32)]));
                world.run(1500);
            }
            submit_culprit(&mut world, chain(vec![step]), 10);
            for start in 1..=kills {
                run_until_culprit(&mut world, start);
                run_finely(&mut world, after);
                kill_owner(&mut world);
            }
            run_busy(&mut world, 15_000);
            let name = format!("{name}, crowded: {crowded}");
            check_outcomes(&mut world, &name);
            assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
            let untold = after < WRITTEN && (crowded || away < OWNERLESS);
            let more = if untold { kills } else { 0 };
            let most = (LOST + more).min(MOST_STARTS);
            let taken = &world.judge.taken;
            assert!(taken.len() <= most, "{name}: {taken:?}");
        }
    }
}

/// A task that crashes its worker only after a while runs apart once three of them tell. The owner
/// is killed just after that start, and the new owner begins nothing beside it either.
#[test]
fn a_new_owner_begins_nothing_beside_a_suspect() {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(WORKERS as u32 / 2)]));
    world.run(1000);
    submit_culprit(&mut world, chain(vec![short(3, 9000)]), 2500);
    run_until_culprit(&mut world, 4);
    run_finely(&mut world, 200);
    kill_owner(&mut world);
    run_busy(&mut world, 40_000);
    check_seed(&world, 1);
    assert_eq!(world.outcome(CULPRIT), Outcome::Failed);
    let taken = &world.judge.taken;
    assert!(taken.len() <= MOST_STARTS, "{taken:?}");
    assert!(taken[3..].iter().all(|&t| t == 0), "{taken:?}");
}

/// Runs, with short jobs, until the culprit's start with this number has reached a worker.
fn run_until_culprit(world: &mut World, start: usize) {
    let end = world.now + 20_000;
    while world.now < end {
        let mut runs = world.workers.iter().flat_map(|w| &w.runs);
        let is_there = runs.any(|r| r.task == culprit());
        if is_there && world.judge.taken.len() + 1 >= start {
            return;
        }
        run_finely(world, 5);
    }
    panic!("start {start} has reached no worker");
}

/// Runs as [`run_busy`] does, in steps of the world.
fn run_finely(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        if world.now.is_multiple_of(EVERY) {
            let id = OTHERS + world.now / EVERY;
            world.submit(id, chain(vec![short(3, 500), short(2, 900)]));
        }
        world.run(5);
    }
}

/// Kills the owner; another one takes over once its lease on the records is free.
fn kill_owner(world: &mut World) {
    world.pause(true);
    let over = world.lease_end();
    run_finely(world, OWNERLESS);
    world.take_over(over);
}

/// A worker that refuses connections for a while and then answers has not crashed.
#[test]
fn a_worker_that_answers_again_has_not_crashed() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let id = world.submit(1, chain(vec![lasting(1)]));
    for _ in 0..3 {
        world.run(700);
        let at = world.workers.iter().position(|w| !w.runs.is_empty());
        let at = at.expect("it runs");
        world.workers[at].deaf = true;
        world.run(2000);
        world.workers[at].deaf = false;
        world.run(1500);
        // It moves to another worker, each time one that it was not on.
        world.announce(at, false);
        world.run(1500);
    }
    assert_eq!(world.outcome(id), Outcome::Active);
    check_seed(&world, 0);
}

/// Tasks of several jobs crash workers at the same time. None hides behind the others.
#[test]
fn several_tasks_that_crash_workers_are_given_up() {
    let mut world = world(3);
    for id in 0..5 {
        let id = JobId(CULPRIT.0 + id);
        world.submit(id.0, chain(vec![short(3, 800)]));
        let task = TaskId {
            job: id,
            ..culprit()
        };
        world.crashers.push(Crasher { task, after: 10 });
    }
    run_busy(&mut world, 60_000);
    check_seed(&world, 3);
    for id in 0..5 {
        let id = JobId(CULPRIT.0 + id);
        assert_eq!(world.outcome(id), Outcome::Failed, "{id}");
    }
    world.run(8000);
    let lasting = world.workers.iter().flat_map(|w| &w.runs);
    let lasting = lasting.filter(|r| r.task.job == JobId(1)).count();
    assert_eq!(lasting, WORKERS);
}

/// Only the first crash comes beside others, as long as some worker is empty.
#[test]
fn a_suspect_takes_no_others_down_with_it() {
    for (name, step) in shapes() {
        let mut world = World::new(WorldSettings {
            workers: WORKERS,
            ..WorldSettings::default()
        });
        world.run(100);
        world.submit(1, chain(vec![serving(WORKERS as u32 / 2)]));
        world.run(1000);
        submit_culprit(&mut world, chain(vec![step]), 10);
        run_busy(&mut world, 30_000);
        assert_eq!(world.outcome(CULPRIT), Outcome::Failed, "{name}");
        let taken = &world.judge.taken;
        assert!(taken.len() <= 4, "{name}: {taken:?}");
        assert!(taken[1..].iter().all(|&t| t == 0), "{name}: {taken:?}");
    }
}

/// How workers are lost by no task's fault.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Their machines lose power, many at once.
    Power,
    /// They are cut off until their leases are over.
    Cut,
    /// They are taken away, having said so just before.
    Spot,
    /// Their processes crash, many at once.
    Crash,
}

impl Loss {
    /// Loses these workers.
    fn strike(self, world: &mut World, lost: &[usize]) {
        for &at in lost {
            match self {
                Loss::Power => world.lose_power(at),
                Loss::Cut => world.workers[at].cut = true,
                Loss::Spot => world.announce(at, false),
                Loss::Crash => world.crash(at),
            }
        }
        if matches!(self, Loss::Spot) {
            world.run(60);
            lost.iter().for_each(|&at| world.crash(at));
        }
    }

    /// Runs until the workers are back.
    fn pass(self, world: &mut World) {
        run_busy(world, 3300);
        if matches!(self, Loss::Cut) {
            run_busy(world, 5000);
            for worker in &mut world.workers {
                worker.cut = false;
            }
        }
    }
}

/// Losses come one after the other, each just when what the last one took begins again. What was
/// lost with workers again and again is no less wanted.
#[test_case(Loss::Power)]
#[test_case(Loss::Cut)]
#[test_case(Loss::Spot)]
#[test_case(Loss::Crash)]
fn what_is_lost_with_workers_fails_no_job(loss: Loss) {
    for seed in 0..4 {
        let mut world = world(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        run_busy(&mut world, 1500);
        for _ in 0..6 {
            let first = rng.random_range(0..WORKERS);
            let lost: Vec<usize> = (first..first + 5).map(|at| at % WORKERS).collect();
            loss.strike(&mut world, &lost);
            loss.pass(&mut world);
            let after = rng.random_range(0..600);
            run_busy(&mut world, after);
        }
        run_busy(&mut world, 8000);
        check_outcomes(&mut world, &format!("{loss:?}, seed {seed}"));
    }
}

/// Tasks that crash workers among takeovers, losses of power, cuts and crashes by nobody's fault.
/// Whatever comes together, none of them is started too often, and no other job is given up.
#[test]
fn in_any_company_only_what_crashes_workers_is_given_up() {
    for seed in (0..24).chain([129, 1510, 1539, 1598, 2234, 2579]) {
        let mut world = world(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = shapes();
        let culprits = rng.random_range(1..4);
        for id in 0..culprits {
            let job = JobId(CULPRIT.0 + id);
            let (_, step) = steps[rng.random_range(0..steps.len())].clone();
            world.submit(job.0, chain(vec![step]));
            let task = TaskId { job, ..culprit() };
            let after = [10, 10, 10, 600][rng.random_range(0..4)];
            world.crashers.push(Crasher { task, after });
        }
        for _ in 0..24 {
            let at = rng.random_range(0..WORKERS);
            match rng.random_range(0..9) {
                0 => world.lose_power(at),
                1 => (at..at + 4).for_each(|at| world.lose_power(at % WORKERS)),
                2 => world.crash(at),
                3 => world.workers[at].cut = true,
                4 | 5 => {
                    world.pause(true);
                    world.take_over(world.lease_end());
                }
                _ => world.workers.iter_mut().for_each(|w| w.cut = false),
            }
            let ms = rng.random_range(100..2500);
            run_busy(&mut world, ms);
        }
        world.workers.iter_mut().for_each(|w| w.cut = false);
        run_busy(&mut world, 40_000);
        check_seed(&world, seed);
        for id in world.job_ids() {
            let failed = world.outcome(id) == Outcome::Failed;
            let is_culprit = (CULPRIT.0..CULPRIT.0 + culprits).contains(&id.0);
            assert_eq!(failed, is_culprit, "seed {seed}: {id}");
        }
    }
}

/// After losses of power there are suspects on all workers that only chance speaks against. A new
/// owner takes up new work beside them.
#[test_case(2)]
#[test_case(4)]
fn a_new_owner_starts_work_beside_what_lost_its_power(times: u32) {
    let mut world = world(6);
    let lasting = Step {
        spread: 1,
        ..lasting(WORKERS as u32)
    };
    world.submit(2, chain(vec![lasting]));
    world.run(1500);
    for _ in 0..times {
        (0..WORKERS).for_each(|at| world.lose_power(at));
        run_busy(&mut world, 6000);
    }
    world.run(1500);
    let lasting = world.workers.iter().flat_map(|w| &w.runs);
    let lasting = lasting.filter(|r| r.lasting).count();
    assert_eq!(lasting, 2 * WORKERS, "they run again");
    world.pause(true);
    world.take_over(world.lease_end());
    world.run(300);
    let id = world.submit(CULPRIT.0, chain(vec![short(60, 300)]));
    world.run(1000);
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_seed(&world, 6);
}
