//! Tasks that crash their workers under one owner: each is given up, with few other runs lost.

use crate::{
    common::{
        Crasher, World, WorldSettings, chain, check_invariants, long_running, serving, short,
    },
    crashing::{
        CRASHER, WORKERS, check_outcomes, crasher, run_busy, shapes, submit_crasher, world,
    },
};
use gorsespur_jobs::{JobId, Outcome, TaskId};
use test_case::test_case;

#[test]
fn a_task_that_crashes_each_worker_is_given_up() {
    for (name, step) in shapes() {
        let mut world = world(1);
        submit_crasher(&mut world, chain(vec![step]), 10);
        run_busy(&mut world, 30_000);
        check_invariants(&world, 0);
        assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
        check_outcomes(&mut world, name);
    }
}

/// A task is found even if it crashes its worker only after a while.
#[test_case(400)]
#[test_case(1200)]
#[test_case(2500)]
fn a_task_that_crashes_its_worker_later_is_given_up(after: u64) {
    let mut world = world(2);
    submit_crasher(&mut world, chain(vec![short(3, 6000)]), after);
    run_busy(&mut world, 60_000);
    let name = format!("after {after} ms");
    assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
    check_outcomes(&mut world, &name);
}

/// The task runs beside others if no worker is idle, and is found as well.
#[test_case(10)]
#[test_case(1200)]
fn a_task_that_crashes_workers_beside_others_is_given_up(after: u64) {
    let mut world = world(4);
    world.restart_ms = 20_000;
    world.submit(2, chain(vec![long_running(3 * WORKERS as u32)]));
    world.run(1500);
    submit_crasher(&mut world, chain(vec![short(3, 6000)]), after);
    run_busy(&mut world, 60_000);
    let name = format!("after {after} ms");
    let later_crashes = &world.checker.other_runs[1..];
    assert!(
        later_crashes.iter().any(|&t| t > 0),
        "{name}: always isolated"
    );
    assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
    check_outcomes(&mut world, &name);
}

/// Tasks of several jobs crash workers at the same time. Each of them is found.
#[test]
fn several_tasks_that_crash_workers_are_given_up() {
    let mut world = world(3);
    for id in 0..5 {
        let id = JobId(CRASHER.0 + id);
        world.submit(id.0, chain(vec![short(3, 800)]));
        let task = TaskId {
            job: id,
            ..crasher()
        };
        world.crashers.push(Crasher { task, after_ms: 10 });
    }
    run_busy(&mut world, 60_000);
    check_invariants(&world, 3);
    for id in 0..5 {
        let id = JobId(CRASHER.0 + id);
        assert_eq!(world.outcome(id), Outcome::Failed, "{id}");
    }
    world.run(8000);
    let long_runs = world.workers.iter().flat_map(|w| &w.runs);
    let long_runs = long_runs.filter(|r| r.task.job == JobId(1)).count();
    assert_eq!(long_runs, WORKERS);
}

/// Only the first crash affects other runs, as long as some worker is idle.
#[test]
fn an_isolated_suspect_crashes_no_other_runs() {
    for (name, step) in shapes() {
        let mut world = World::new(WorldSettings {
            workers: WORKERS,
            ..WorldSettings::default()
        });
        world.run(100);
        world.submit(1, chain(vec![serving(WORKERS as u32 / 2)]));
        world.run(1000);
        submit_crasher(&mut world, chain(vec![step]), 10);
        run_busy(&mut world, 30_000);
        assert_eq!(world.outcome(CRASHER), Outcome::Failed, "{name}");
        let other_runs = &world.checker.other_runs;
        assert!(other_runs.len() <= 4, "{name}: {other_runs:?}");
        assert!(
            other_runs[1..].iter().all(|&t| t == 0),
            "{name}: {other_runs:?}"
        );
    }
}
