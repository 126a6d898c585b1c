//! Workers that return under their names soon after a crash, and suspects that wait meanwhile.
//!
//! A worker that is back before a connection to it was refused shows its end by its start time
//! only. All figures of a play are printed.

use crate::common::{Crasher, World, WorldSettings, chain, check_invariants, long_running, short};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

/// Milliseconds after the last trouble within which users expect a job to be complete.
const JOB_LIMIT_MS: u64 = 60_000;

/// Most starts of a task that crashes its workers, as users allow.
const MOST_STARTS: u32 = 5;

/// One in this many jobs has a task that crashes its workers.
const JOBS_PER_CRASHER: u64 = 25;

/// Number of jobs of a play of [`play_mixed`], one each 100 ms.
const MIXED_JOBS: u64 = 300;

/// Milliseconds for which a suspect may wait for a start while an eligible worker is up.
const WAIT_LIMIT_MS: u64 = 20_000;

/// Milliseconds that a machine needs at least to start after a loss of power.
const MACHINE_START_MS: u64 = 3000;

/// The last job by its ID, of which a task is charged with other crashes.
const CHARGED: JobId = JobId(u64::MAX);

/// Both kinds of error in a play.
#[derive(Debug, Default)]
#[expect(dead_code, reason = "printed")]
struct Figures {
    /// Jobs without a crasher that were not complete at the end, and those that failed.
    unfinished: usize,
    given_up: usize,
    /// Number of crashers, and of those that were not given up at the end.
    crashers: usize,
    free: usize,
    /// Crashes by the crashers, and the most by one of them. Each start crashes a worker.
    crashes: u32,
    most_crashes: u32,
    /// Milliseconds from the last submission until all jobs had ended, or the limit.
    took_ms: u64,
    /// Milliseconds from the submission of a job without a crasher until it had ended, the longest;
    /// of mixed plays only.
    longest_ms: u64,
}

/// Jobs without a crasher that are not complete, each with the time of its submission.
#[derive(Default)]
struct Waits {
    open: BTreeMap<JobId, u64>,
    longest_ms: u64,
}

impl Waits {
    /// Runs for 100 ms and records the jobs that have ended.
    fn run(&mut self, world: &mut World) {
        world.run(100);
        let now = world.now;
        for &submitted_at in self.open.values() {
            self.longest_ms = self.longest_ms.max(now - submitted_at);
        }
        self.open.retain(|&id, _| !world.outcome(id).is_final());
    }
}

/// Returns the only task of a job.
fn task_of(job: JobId) -> TaskId {
    TaskId {
        job,
        repetition: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a job ID that does not follow the order of submission, as callers choose them.
fn job_id(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1
}

fn world(workers: usize, reuse_names: bool, restart_ms: u64, seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        reuse_names,
        seed,
        ..WorldSettings::default()
    });
    world.restart_ms = restart_ms;
    world.run(1000);
    world
}

/// Submits a job of one task that crashes each worker 10 ms after it starts there.
fn submit_crasher(world: &mut World, id: u64, step: Step) {
    let job = world.submit(id, chain(vec![step]));
    world.crashers.push(Crasher {
        task: task_of(job),
        after_ms: 10,
    });
}

/// Runs until all jobs have ended or the limit is reached, and counts both kinds of error.
fn figures(world: &mut World, limit_ms: u64) -> Figures {
    let since = world.now;
    world.run_until_done(limit_ms);
    let crashers: BTreeSet<JobId> = world.crashers.iter().map(|c| c.task.job).collect();
    let mut figures = Figures {
        crashers: crashers.len(),
        took_ms: world.now - since,
        ..Figures::default()
    };
    for id in world.job_ids() {
        let outcome = world.outcome(id);
        match (crashers.contains(&id), outcome) {
            (true, Outcome::Failed) | (false, Outcome::Complete) => {}
            (true, _) => figures.free += 1,
            (false, Outcome::Failed) => figures.given_up += 1,
            (false, _) => figures.unfinished += 1,
        }
    }
    for (crashes, _) in world.checker.crashed.values() {
        figures.crashes += crashes;
        figures.most_crashes = figures.most_crashes.max(*crashes);
    }
    figures
}

/// Plays jobs of this step on four workers, some of which crash their workers.
fn play_mixed(step: &Step, reuse_names: bool, restart_ms: u64, seed: u64) -> Figures {
    let mut world = world(4, reuse_names, restart_ms, seed);
    let mut waits = Waits::default();
    for number in 0..MIXED_JOBS {
        let id = job_id(number + seed * 100_000);
        match (number + 1).is_multiple_of(JOBS_PER_CRASHER) {
            true => submit_crasher(&mut world, id, step.clone()),
            false => {
                let job = world.submit(id, chain(vec![step.clone()]));
                waits.open.insert(job, world.now);
            }
        }
        waits.run(&mut world);
    }
    let since = world.now;
    while world.now < since + JOB_LIMIT_MS && !world.all_done() {
        waits.run(&mut world);
    }
    let took_ms = world.now - since;
    Figures {
        took_ms,
        longest_ms: waits.longest_ms,
        ..figures(&mut world, 0)
    }
}

/// Jobs that crash nothing are complete a minute after the last one was submitted, while others
/// crash workers that return at once or within seconds, each no more than five times.
#[test_case(true, 20)]
#[test_case(true, 300)]
#[test_case(true, 1000)]
#[test_case(true, 3000)]
#[test_case(false, 3000)]
fn bystanders_on_few_returning_workers_are_complete(reuse_names: bool, restart_ms: u64) {
    let mut failures = Vec::new();
    for seed in 0..3 {
        let found = play_mixed(&short(2, 500), reuse_names, restart_ms, seed);
        println!("mixed, names {reuse_names}, back after {restart_ms} ms, seed {seed}: {found:?}");
        if found.unfinished + found.given_up > 0 || found.most_crashes > MOST_STARTS {
            failures.push((seed, found));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// The same with ten small tasks a job, so that each crash makes tens of suspects.
#[test_case(true, 20)]
#[test_case(true, 1000)]
#[test_case(true, 3000)]
#[test_case(false, 3000)]
fn tens_of_suspects_of_each_crash_are_complete(reuse_names: bool, restart_ms: u64) {
    let small = Step {
        cpu: 100,
        memory: 100,
        ..short(10, 500)
    };
    let mut failures = Vec::new();
    for seed in 0..3 {
        let found = play_mixed(&small, reuse_names, restart_ms, seed);
        println!("small, names {reuse_names}, back after {restart_ms} ms, seed {seed}: {found:?}");
        if found.unfinished + found.given_up > 0 || found.most_crashes > MOST_STARTS {
            failures.push((seed, found));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// A task that crashes its workers is given up before its sixth start, however soon they return
/// under their names.
#[test_case(5)]
#[test_case(100)]
#[test_case(300)]
#[test_case(1000)]
#[test_case(3000)]
fn a_crasher_on_workers_that_return_under_their_names_is_given_up(restart_ms: u64) {
    let mut world = world(4, true, restart_ms, 0);
    submit_crasher(&mut world, 1, short(1, 500));
    for number in 0..100 {
        world.submit(job_id(number), chain(vec![short(2, 500)]));
        world.run(100);
    }
    let found = figures(&mut world, JOB_LIMIT_MS);
    println!("one crasher, back after {restart_ms} ms: {found:?}");
    assert_eq!((found.free, found.given_up), (0, 0), "{found:?}");
    assert!(found.most_crashes <= MOST_STARTS, "{found:?}");
}

/// Seven tasks on 100 workers crash theirs at the same moments, alone or while some other workers
/// crash as well, by nobody's fault.
#[test_case(false, 3000, 0)]
#[test_case(false, 3000, 3)]
#[test_case(false, 3000, 9)]
#[test_case(true, 20, 0)]
#[test_case(true, 20, 3)]
#[test_case(true, 3000, 0)]
#[test_case(true, 3000, 3)]
#[test_case(true, 3000, 9)]
fn seven_crashers_at_the_same_moments_take_no_sixth_start(
    reuse_names: bool,
    restart_ms: u64,
    others: usize,
) {
    let mut rng = SmallRng::seed_from_u64(0);
    let mut world = world(100, reuse_names, restart_ms, 0);
    world.submit(job_id(0), chain(vec![long_running(300)]));
    world.run(1500);
    for number in 0..7 {
        let step = Step {
            data_rack: Some(format!("r{}", 5 * number).into()),
            ..short(1, 500)
        };
        submit_crasher(&mut world, job_id(1 + number), step);
    }
    let (mut seen, mut quiet_until) = (0, 0);
    for number in 0..8000 {
        if number % 40 == 0 {
            world.submit(job_id(100 + number), chain(vec![short(2, 500)]));
        }
        world.run(5);
        let crashes = world.checker.other_runs.len();
        if crashes > seen && world.now >= quiet_until {
            quiet_until = world.now + 1000;
            let mut crashed = 0;
            while crashed < others {
                let at = rng.random_range(0..100);
                if world.workers[at].alive {
                    world.crash(at);
                    crashed += 1;
                }
            }
        }
        seen = crashes;
    }
    let mut found = figures(&mut world, 1000);
    // The long-running job never ends.
    found.unfinished -= usize::from(world.outcome(JobId(job_id(0))) == Outcome::Active);
    let starts: Vec<u32> = world.checker.crashed.values().map(|c| c.0).collect();
    println!(
        "seven, names {reuse_names}, back after {restart_ms} ms, {others} others: {starts:?} {found:?}"
    );
    assert_eq!((found.free, found.given_up), (0, 0), "{starts:?} {found:?}");
    assert!(found.most_crashes <= MOST_STARTS, "{starts:?} {found:?}");
}

/// Runs until a run of the task is on some worker; returns whether it is.
fn run_until_started(world: &mut World, task: TaskId, limit_ms: u64) -> bool {
    let end = world.now + limit_ms;
    while world.now < end {
        world.run(5);
        if world.workers.iter().any(|w| has_run(w, task)) {
            return true;
        }
    }
    false
}

fn has_run(worker: &crate::common::SimWorker, task: TaskId) -> bool {
    worker.runs.iter().any(|r| r.task == task)
}

/// Returns a world of four workers in which a task of [`CHARGED`] is about to have one charge of
/// each kind, and waits behind suspects of other crashes; and the number of their jobs.
fn world_with_charged_task() -> (World, u64) {
    let mut world = world(4, false, 500, 0);
    for worker in &mut world.workers[1..] {
        worker.partitioned = true;
    }
    world.run(3000);
    let charged = task_of(CHARGED);
    world.submit(CHARGED.0, chain(vec![short(1, 20_000)]));
    assert!(run_until_started(&mut world, charged, 5000));
    world.run(200);
    lose_power_of_all(&mut world);
    await_return_of_first(&mut world);
    // Close: another task begins with it.
    world.submit(1, chain(vec![short(1, 100)]));
    assert!(run_until_started(&mut world, task_of(JobId(1)), 200));
    assert!(has_run(&world.workers[0], charged));
    assert!(has_run(&world.workers[0], task_of(JobId(1))));
    world.run(20);
    world.crash(0);
    assert!(run_until_started(&mut world, charged, 20_000));
    // Shared: it is no longer isolated, and a task beside it is older than a second.
    world.submit(2, chain(vec![short(1, 2000)]));
    assert!(run_until_started(&mut world, task_of(JobId(2)), 20_000));
    assert!(has_run(&world.workers[0], charged));
    world.run(1000);
    world.crash(0);
    // Own: it runs apart, while suspects of other crashes begin to wait.
    assert!(run_until_started(&mut world, charged, 20_000));
    for worker in &mut world.workers {
        worker.partitioned = false;
    }
    let mut number = 0;
    for _ in 0..4 {
        submit_crowd(&mut world, &mut number);
        world.run(1000);
    }
    assert_eq!(world.workers[0].runs.len(), 1);
    assert!(has_run(&world.workers[0], charged));
    world.crash(0);
    (world, number)
}

/// Blames the charged task weakly (`Unseen`): all machines lose power at once, and take seconds to
/// start.
fn lose_power_of_all(world: &mut World) {
    for worker in &mut world.workers[1..] {
        worker.partitioned = false;
    }
    world.run(1000);
    assert!(has_run(&world.workers[0], task_of(CHARGED)));
    world.restart_ms = MACHINE_START_MS;
    (0..world.workers.len()).for_each(|at| world.lose_power(at));
    world.restart_ms = 500;
}

/// Runs until the machines are back, of which all but the first are cut off at once, and until the
/// charged task runs again.
fn await_return_of_first(world: &mut World) {
    let end = world.now + 2 * MACHINE_START_MS;
    while world.now < end && !has_run(&world.workers[0], task_of(CHARGED)) {
        for worker in &mut world.workers[1..] {
            worker.partitioned = true;
        }
        world.run(5);
    }
}

/// Submits jobs one of which crashes its workers. They come before the charged job by their IDs.
fn submit_crowd(world: &mut World, number: &mut u64) {
    for _ in 0..12 {
        *number += 1;
        match *number % 12 {
            0 => submit_crasher(world, 100 + *number, short(1, 500)),
            _ => {
                world.submit(100 + *number, chain(vec![short(1, 500)]));
            }
        }
    }
}

/// Returns whether the log holds a task with one charge of each kind.
fn has_each_charge(world: &World) -> bool {
    let kinds = ["Unseen", "Close", "Shared", "Own"].map(str::as_bytes);
    let has = |row: &[u8], kind: &[u8]| row.windows(kind.len()).any(|w| w == kind);
    let mut rows = world.ledger.log();
    rows.any(|row| kinds.iter().all(|k| has(row, k)))
}

/// A suspect with one charge of each kind starts again within a bound that does not depend on how
/// long other crashes go on.
#[test_case(0)]
#[test_case(20_000)]
#[test_case(40_000)]
#[test_case(80_000)]
fn a_suspect_waits_for_its_turn_no_longer_than_a_bound(trouble_ms: u64) {
    let (mut world, mut number) = world_with_charged_task();
    let since = world.now;
    let charged = task_of(CHARGED);
    let mut started = false;
    while !started && world.now < since + trouble_ms + JOB_LIMIT_MS {
        if world.now < since + trouble_ms {
            submit_crowd(&mut world, &mut number);
        }
        started = run_until_started(&mut world, charged, 1000);
    }
    let waited_ms = world.now - since;
    let crashes = world.checker.other_runs.len();
    println!(
        "charged task, trouble {trouble_ms} ms: started {started} after {waited_ms} ms, {crashes} crashes by others, {number} jobs"
    );
    world.run(100);
    assert!(has_each_charge(&world), "one charge of each kind");
    assert!(started && waited_ms <= WAIT_LIMIT_MS, "{waited_ms} ms");
}

/// Workers restart one after the other under their names by nobody's fault; no job fails.
#[test_case(4, 20)]
#[test_case(4, 1000)]
#[test_case(4, 3000)]
#[test_case(10, 20)]
#[test_case(10, 3000)]
fn restarts_by_nobodys_fault_fail_no_job(workers: usize, restart_ms: u64) {
    let (mut given_up, mut unfinished, mut restarts, mut jobs) = (0, 0, 0, 0);
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = world(workers, true, restart_ms, seed);
        for number in 0..300 {
            let count = rng.random_range(1..4);
            world.submit(job_id(number), chain(vec![short(count, 500)]));
            jobs += 1;
            let at = rng.random_range(0..workers);
            if rng.random_range(0..12) == 0 && world.workers[at].alive {
                restarts += 1;
                match rng.random_bool(0.5) {
                    true => world.crash(at),
                    false => {
                        world.restart_ms = restart_ms.max(MACHINE_START_MS);
                        world.lose_power(at);
                        world.restart_ms = restart_ms;
                    }
                }
            }
            world.run(100);
        }
        let found = figures(&mut world, JOB_LIMIT_MS);
        check_invariants(&world, seed);
        given_up += found.given_up;
        unfinished += found.unfinished;
    }
    println!(
        "restarts, {workers} workers, back after {restart_ms} ms: {given_up} of {jobs} jobs given up, {unfinished} unfinished, {restarts} restarts"
    );
    assert_eq!(
        (given_up, unfinished),
        (0, 0),
        "{jobs} jobs, {restarts} restarts"
    );
}

/// Workers restart just after a task has begun there, three times by nobody's fault: nothing tells
/// it from a crasher but that the machines lost power.
#[test]
fn three_losses_of_power_just_after_its_starts_fail_no_job() {
    let mut world = world(4, true, 3000, 0);
    let job = world.submit(1, chain(vec![short(1, 2000)]));
    for _ in 0..3 {
        assert!(run_until_started(&mut world, task_of(job), 30_000));
        world.run(20);
        let at = world
            .workers
            .iter()
            .position(|w| has_run(w, task_of(job)))
            .expect("run");
        world.lose_power(at);
    }
    let found = figures(&mut world, JOB_LIMIT_MS);
    println!("three losses of power: {found:?}");
    assert_eq!((found.given_up, found.unfinished), (0, 0), "{found:?}");
}

/// Five of twelve workers crash at once, again and again by nobody's fault, and are back at once or
/// after seconds; no job fails.
#[test_case(true, 20)]
#[test_case(true, 3000)]
#[test_case(false, 20)]
#[test_case(false, 3000)]
fn crashes_of_many_workers_at_once_fail_no_job(reuse_names: bool, restart_ms: u64) {
    let (mut given_up, mut unfinished, mut jobs) = (0, 0, 0);
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = world(12, reuse_names, restart_ms, seed);
        for number in 0..300 {
            world.submit(job_id(number), chain(vec![short(2, 500)]));
            jobs += 1;
            if rng.random_range(0..15) == 0 {
                let first = rng.random_range(0..12);
                for at in (first..first + 5).map(|at| at % 12) {
                    if world.workers[at].alive {
                        world.crash(at);
                    }
                }
            }
            world.run(100);
        }
        let found = figures(&mut world, JOB_LIMIT_MS);
        check_invariants(&world, seed);
        given_up += found.given_up;
        unfinished += found.unfinished;
    }
    println!(
        "restarts, 5 of 12 at once, names {reuse_names}, back after {restart_ms} ms: {given_up} of {jobs} jobs given up, {unfinished} unfinished"
    );
    assert_eq!((given_up, unfinished), (0, 0), "{jobs} jobs");
}
