//! Tasks that crash their workers while owners change. An owner uses the crashes that earlier
//! owners observed.

use crate::{
    common::{World, WorldSettings, chain, check_invariants, long_running, serving, short},
    crashing::{
        CRASHER, FIRST_OTHER_JOB, JOB_INTERVAL_MS, WORKERS, check_outcomes, crasher, run_busy,
        shapes, submit_crasher, world,
    },
};
use gorsespur_jobs::Outcome;
use test_case::test_case;

/// Number of workers that a task crashes while no owner is killed.
const MAX_LOST_WORKERS: usize = 3;

/// Milliseconds from the start of a task until its crash of a worker is durable.
const RECORD_MS: u64 = 1100;

/// Milliseconds from the end of an owner until another one takes over.
const TAKEOVER_MS: u64 = 1500;

/// Maximum number of starts of a task that crashes its workers.
const MOST_STARTS: usize = 5;

/// Each owner uses the crashes that earlier owners recorded.
#[test]
fn a_task_that_crashes_workers_is_given_up_by_changing_owners() {
    for period in [1500, 2300, 3300, 4100] {
        let mut world = world(period);
        let step = short(3, 800);
        submit_crasher(&mut world, chain(vec![step]), 10);
        for _ in 0..36_000 / period {
            run_busy(&mut world, period);
            world.pause(true);
            world.take_over(world.lease_end());
        }
        check_invariants(&world, period);
        let name = format!("every {period} ms");
        assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
        check_outcomes(&mut world, &name);
    }
}

/// The new owner finds the next incarnation of the worker and observes no crash; the previous
/// owner has recorded it.
#[test]
fn a_crash_that_a_later_owner_did_not_see_counts() {
    let mut world = world(5);
    submit_crasher(&mut world, chain(vec![short(3, 800)]), 10);
    for crash in 1..=5 {
        for _ in 0..400 {
            if world.checker.other_runs.len() >= crash {
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
    assert_eq!(world.outcome(CRASHER), Outcome::Failed);
    let other_runs = &world.checker.other_runs;
    assert!(other_runs.len() <= 3, "{other_runs:?}");
    check_outcomes(&mut world, "unseen");
}

/// The owner is killed while a task crashes its workers, and a crash that it has not recorded is
/// lost with it. The new owner finds either a worker that refuses connections, which is evidence
/// only if no other task ran there, or its next incarnation, which is no evidence. Such a crash
/// costs one more worker for each killed owner, with five starts at most; a recorded crash costs
/// none.
#[test_case(5, 1, 3000; "before the crash")]
#[test_case(20, 1, 1000; "just after it")]
#[test_case(300, 2, 3000; "twice before it is recorded")]
#[test_case(1100, 1, 3000; "once it is recorded")]
#[test_case(3200, 1, 3000; "after the next incarnation started")]
#[test_case(20, 3, 1000; "three times just after it")]
fn a_task_that_crashes_workers_is_given_up_though_owners_are_killed(
    after: u64,
    kills: usize,
    downtime: u64,
) {
    for crowded in [false, true] {
        for (name, step) in shapes() {
            let mut world = world(1);
            world.restart_ms = downtime;
            if crowded {
                world.submit(2, chain(vec![long_running(3 * WORKERS as u32)]));
                world.run(1500);
            }
            submit_crasher(&mut world, chain(vec![step]), 10);
            for start in 1..=kills {
                run_until_crasher(&mut world, start);
                run_stepwise(&mut world, after);
                kill_owner(&mut world);
            }
            run_busy(&mut world, 15_000);
            let name = format!("{name}, crowded: {crowded}");
            check_outcomes(&mut world, &name);
            assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
            let unrecorded = after < RECORD_MS && (crowded || downtime < TAKEOVER_MS);
            let more = if unrecorded { kills } else { 0 };
            let most = (MAX_LOST_WORKERS + more).min(MOST_STARTS);
            let other_runs = &world.checker.other_runs;
            assert!(other_runs.len() <= most, "{name}: {other_runs:?}");
        }
    }
}

/// A task that crashes its worker only after a while is isolated after three crashes. The owner is
/// killed just after the isolated start, and the new owner starts no other run beside it.
#[test]
fn a_new_owner_starts_nothing_beside_a_suspect() {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(WORKERS as u32 / 2)]));
    world.run(1000);
    submit_crasher(&mut world, chain(vec![short(3, 9000)]), 2500);
    run_until_crasher(&mut world, 4);
    run_stepwise(&mut world, 200);
    kill_owner(&mut world);
    run_busy(&mut world, 40_000);
    check_invariants(&world, 1);
    assert_eq!(world.outcome(CRASHER), Outcome::Failed);
    let other_runs = &world.checker.other_runs;
    assert!(other_runs.len() <= MOST_STARTS, "{other_runs:?}");
    assert!(other_runs[3..].iter().all(|&t| t == 0), "{other_runs:?}");
}

/// Runs with short jobs until the crasher's start with this number has reached a worker.
fn run_until_crasher(world: &mut World, start: usize) {
    let end = world.now + 20_000;
    while world.now < end {
        let mut runs = world.workers.iter().flat_map(|w| &w.runs);
        let is_there = runs.any(|r| r.task == crasher());
        if is_there && world.checker.other_runs.len() + 1 >= start {
            return;
        }
        run_stepwise(world, 5);
    }
    panic!("start {start} did not reach a worker");
}

/// Runs like [`run_busy`], in single steps of the world.
fn run_stepwise(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        if world.now.is_multiple_of(JOB_INTERVAL_MS) {
            let id = FIRST_OTHER_JOB + world.now / JOB_INTERVAL_MS;
            world.submit(id, chain(vec![short(3, 500), short(2, 900)]));
        }
        world.run(5);
    }
}

/// Kills the owner; another one takes over once its lease on the records has expired.
fn kill_owner(world: &mut World) {
    world.pause(true);
    let lease_end = world.lease_end();
    run_stepwise(world, TAKEOVER_MS);
    world.take_over(lease_end);
}
