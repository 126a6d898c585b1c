//! Workers that are cut off, where connections to them are refused, and that run on.

use crate::common::{Crasher, World, WorldSettings, chain, check_invariants, long_running, short};
use gorsespur_jobs::{Outcome, Step, TaskId};
use test_case::test_case;

/// Milliseconds of a cut: longer than the leases of the worker, whose runs start elsewhere.
const CUT_MS: u64 = 14_000;

/// Milliseconds of the tasks: longer than all cuts.
const WORK_MS: u64 = 100_000;

/// What happens to the owner of the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// It goes on.
    Lives,
    /// Another one takes over while a worker is cut off.
    EndsInCut,
    /// Another one takes over after a worker was cut off for long.
    EndsAfterCut,
}

/// Returns a world in which workers return under their names.
fn world(workers: usize) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        reuse_names: true,
        ..WorldSettings::default()
    });
    world.run(1000);
    world
}

/// Cuts off the worker with the most runs for [`CUT_MS`]; connections to it are refused.
fn cut(world: &mut World, owner: Owner) {
    let at = (0..world.workers.len()).max_by_key(|&at| world.workers[at].runs.len());
    let at = at.expect("worker");
    assert!(!world.workers[at].runs.is_empty(), "no run to cut off");
    world.workers[at].refusing = true;
    world.run(2000);
    if owner == Owner::EndsInCut {
        let end = world.lease_end();
        world.take_over(end);
    }
    world.run(CUT_MS - 2000);
    if owner == Owner::EndsAfterCut {
        let end = world.lease_end();
        world.take_over(end);
    }
    world.workers[at].refusing = false;
    world.run(1500);
    // The task stays on workers on which it has not run before.
    world.announce(at, false);
    world.run(1000);
}

/// Guards against jobs that fail after cuts: a worker that refuses connections may run on, and its
/// crash is withdrawn once the same incarnation answers, wherever the task runs by then.
#[test_case(short(1, WORK_MS), Owner::Lives)]
#[test_case(short(1, WORK_MS), Owner::EndsInCut)]
#[test_case(short(1, WORK_MS), Owner::EndsAfterCut)]
#[test_case(long_running(1), Owner::Lives)]
#[test_case(long_running(1), Owner::EndsInCut)]
#[test_case(long_running(1), Owner::EndsAfterCut)]
#[test_case(Step { gang: true, ..short(2, WORK_MS) }, Owner::Lives)]
#[test_case(Step { gang: true, ..short(2, WORK_MS) }, Owner::EndsInCut)]
fn workers_that_refuse_connections_in_a_cut_fail_no_job(step: Step, owner: Owner) {
    let mut world = world(8);
    let is_long_running = step.long_running;
    let id = world.submit(1, chain(vec![step]));
    world.run(2000);
    for number in 0..5 {
        cut(&mut world, owner);
        assert_eq!(world.outcome(id), Outcome::Active, "cut {number}");
    }
    if !is_long_running {
        assert!(world.run_until_done(2 * WORK_MS));
        assert_eq!(world.outcome(id), Outcome::Complete);
    }
    check_invariants(&world, 0);
}

/// Cuts of two workers overlap: each is settled by what that worker answers.
#[test]
fn overlapping_cuts_fail_no_job() {
    let mut world = world(8);
    let id = world.submit(1, chain(vec![short(1, WORK_MS)]));
    world.run(2000);
    let mut last = None;
    for _ in 0..8 {
        let at = world.workers.iter().position(|w| !w.runs.is_empty());
        let at = at.expect("running task");
        world.workers[at].refusing = true;
        world.run(CUT_MS);
        if let Some(before) = last.replace(at).filter(|&b| b != at) {
            let before: usize = before;
            world.workers[before].refusing = false;
        }
    }
    assert_eq!(world.outcome(id), Outcome::Active);
    world.workers.iter_mut().for_each(|w| w.refusing = false);
    assert!(world.run_until_done(2 * WORK_MS));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// A crash is confirmed although it was recorded by an earlier owner, the runs were lost with their
/// leases, and the worker returns only then.
#[test_case(false)]
#[test_case(true)]
fn crashes_are_confirmed_by_workers_that_return_late(takes_over: bool) {
    let mut world = world(8);
    world.restart_ms = 14_000;
    let id = world.submit(1, chain(vec![short(1, 20_000)]));
    world.crashers.push(Crasher {
        task: TaskId {
            job: id,
            repetition: 0,
            step: 0,
            index: 0,
        },
        after_ms: 200,
    });
    for _ in 0..25 {
        world.run(4000);
        if takes_over {
            let end = world.lease_end();
            world.take_over(end);
        }
    }
    assert_eq!(world.outcome(id), Outcome::Failed);
    let starts = world.checker.other_runs.len();
    assert!(starts <= 5, "{starts} starts");
    check_invariants(&world, 0);
}
