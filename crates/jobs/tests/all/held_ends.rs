//! Ends of earlier runs that are read while the start of a later run may still be carried out.

use crate::{
    common::{Held, World, chain, check_invariants, short},
    late_orders::{JOB, announce_without_capacity, downtimes, partition, run_until, world},
};
use gorsespur_jobs::{Outcome, Step, TaskId};

/// Milliseconds for which a worker that is cut off keeps its runs, and its owner waits for them.
const LEASES_MS: u64 = 9000;

/// Milliseconds within which an owner stops a run that it did not want, and starts the task again.
const RESTART_LIMIT_MS: u64 = 3000;

/// Returns a task of the job's only step.
fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB,
        repetition: 0,
        step: 0,
        index,
    }
}

/// Submits the job while only the given workers are reachable, and waits until they run all of it.
fn submit_to(world: &mut World, workers: &[usize], others: &[usize], step: Step) {
    let count = step.count as usize;
    partition(world, others, true);
    world.run(2000);
    world.submit(JOB.0, chain(vec![step]));
    let is_running = |w: &World| {
        workers
            .iter()
            .map(|&at| w.workers[at].runs.len())
            .sum::<usize>()
    };
    assert!(run_until(world, 1000, |w| is_running(w) == count));
    partition(world, others, false);
    world.run(500);
}

/// Cuts off the workers of the first run until the starts of the second one are held back at the
/// other workers, where the next stops are held back as well.
fn hold_second_run(world: &mut World, first: &[usize], second: &[usize], starts: usize) {
    for &at in second {
        world.hold(at, Held::Start);
        world.hold(at, Held::Stop);
    }
    partition(world, first, true);
    let has_second_run = run_until(world, 2 * LEASES_MS, |w| w.held(Held::Start) == starts);
    assert!(has_second_run, "no second run");
}

/// Returns when the last run of the job began, of those in progress.
fn last_start(world: &World) -> Option<u64> {
    let runs = world.workers.iter().flat_map(|w| &w.runs);
    let runs = runs.filter(|r| r.task.job == JOB);
    runs.map(|r| r.started_at).max()
}

/// Reconnects workers, waits until an owner has confirmed the end that `is_counted` looks for, and
/// delivers the held starts. Asserts that none of them begins a run after that end.
fn release_after(world: &mut World, workers: &[usize], is_counted: impl Fn(&World) -> bool) {
    partition(world, workers, false);
    // An owner may confirm the end only once it has stopped the held starts.
    let is_counted = run_until(world, RESTART_LIMIT_MS, is_counted);
    let released_at = world.now;
    world.release(Held::Start);
    world.run(10);
    let begun = last_start(world).filter(|&at| is_counted && at > released_at);
    world.run(RESTART_LIMIT_MS);
    check_invariants(world, 0);
    assert_eq!(begun, None, "a run begins after its job has ended");
    assert!(world.outcome(JOB).is_final());
}

/// A task begins again after its end: the worker of an earlier run was cut off, and its end is
/// confirmed while the start of the next run, and its stop, are on their way.
#[test]
fn a_start_on_its_way_begins_no_run_after_an_earlier_run_is_done() {
    let mut world = world(2, 3, false);
    submit_to(&mut world, &[0], &[1], short(1, 3000));
    hold_second_run(&mut world, &[0], &[1], 1);
    release_after(&mut world, &[0], |w| {
        w.checker.counted_done.contains_key(&task(0))
    });
}

/// A member of a gang begins after the end of another member, which stands for all.
#[test]
fn a_start_on_its_way_begins_no_member_after_its_gang_is_done() {
    let mut world = world(4, 3, false);
    let gang = Step {
        gang: true,
        cpu: 5000,
        ..short(2, 3000)
    };
    submit_to(&mut world, &[0, 1], &[2, 3], gang);
    hold_second_run(&mut world, &[0, 1], &[2, 3], 2);
    release_after(&mut world, &[0], |w| !w.checker.counted_done.is_empty());
}

/// A task begins once more than it has attempts: the last failure is confirmed while the start of
/// the next run, and its stop, are on their way.
#[test]
fn a_start_on_its_way_begins_no_run_after_the_last_attempt_failed() {
    let mut world = world(2, 1, false);
    world.workers[0].failure_percent = 100;
    submit_to(&mut world, &[0], &[1], short(1, 3000));
    hold_second_run(&mut world, &[0], &[1], 1);
    release_after(&mut world, &[0], |w| {
        w.checker.counted_failed.contains_key(&task(0))
    });
    assert_eq!(world.outcome(JOB), Outcome::Failed);
}

/// The new owner confirms the end of an earlier run although its predecessor's start of the next
/// run may be on its way to a worker that it has not reached.
#[test]
fn a_start_of_an_earlier_owner_begins_no_run_after_an_earlier_run_is_done() {
    let mut world = world(2, 3, false);
    submit_to(&mut world, &[0], &[1], short(1, 3000));
    hold_second_run(&mut world, &[0], &[1], 1);
    world.pause(true);
    partition(&mut world, &[0], false);
    let end = world.lease_end();
    world.take_over(end);
    partition(&mut world, &[1], true);
    let is_counted = |w: &World| w.checker.counted_done.contains_key(&task(0));
    run_until(&mut world, RESTART_LIMIT_MS, is_counted);
    release_after(&mut world, &[0, 1], is_counted);
}

/// A task begins again after its end, with no lease lapsed in between: the next incarnation of a
/// worker carries out the start of the first run, which ends before its stop takes effect, and this
/// end is confirmed while the start of the second run is on its way.
#[test]
fn a_start_on_its_way_begins_no_run_after_a_late_earlier_start_is_done() {
    let late_runs = downtimes().filter(|&ms| has_late_run_done(ms));
    assert!(late_runs.count() > 0, "no late run");
}

/// Returns a world in which a worker was down for `downtime` milliseconds, and whether it then
/// carries out the start of the first run. The start of the second run is held back at the other
/// worker, as are the orders of `kinds`.
fn world_with_late_run(downtime: u64, kinds: &[Held]) -> (World, bool) {
    let mut world = world(2, 3, true);
    partition(&mut world, &[1], true);
    world.run(2000);
    world.hold(0, Held::Start);
    world.submit(JOB.0, chain(vec![short(1, 60)]));
    assert!(run_until(&mut world, 1000, |w| w.held(Held::Start) == 1));
    announce_without_capacity(&mut world);
    partition(&mut world, &[1], false);
    for &kind in kinds {
        world.hold(1, kind);
    }
    world.hold(1, Held::Start);
    assert!(run_until(&mut world, 9000, |w| w.held(Held::Start) == 2));
    world.restart.row_delay_ms = 3000;
    world.restart_ms = downtime;
    world.crash(0);
    run_until(&mut world, downtime + 100, |w| w.workers[0].alive);
    world.release_first(Held::Start);
    world.run(5);
    let is_late = world.workers[0].runs.len() == 1;
    (world, is_late)
}

/// Returns whether a worker that was down for `downtime` milliseconds carries out the first start,
/// and asserts that the second one begins no run after its end.
fn has_late_run_done(downtime: u64) -> bool {
    let (mut world, is_late) = world_with_late_run(downtime, &[Held::Stop]);
    release_after(&mut world, &[], |w| {
        w.checker.counted_done.contains_key(&task(0))
    });
    is_late
}

/// A task begins once more after its end was read: the start that the end waits for never arrives,
/// and a report settles it before the end is counted.
#[test]
fn a_settled_start_is_followed_by_no_other_after_the_end() {
    let late_runs = downtimes().filter(|&ms| has_late_run_and_no_second(ms));
    assert!(late_runs.count() > 0, "no late run");
}

/// Returns whether a worker that was down for `downtime` milliseconds carries out the first start,
/// and asserts that no run begins after its end although the second start is lost.
fn has_late_run_and_no_second(downtime: u64) -> bool {
    let (mut world, is_late) = world_with_late_run(downtime, &[]);
    let has_ended = |w: &World| !w.workers[0].finished.is_empty();
    if is_late {
        assert!(run_until(&mut world, 1000, has_ended), "{downtime}");
        let ended_at = world.now;
        let begins = |w: &World| last_start(w).is_some_and(|at| at > ended_at);
        assert!(!run_until(&mut world, 6000, begins), "{downtime}");
    }
    assert!(world.run_until_done(20_000), "{downtime}");
    check_invariants(&world, downtime);
    is_late
}
