//! Orders without an answer that a worker carries out late.
//!
//! Each test forces one order of events: an order is held back at its worker, and delivered at the
//! moment at which it does most harm.

use crate::common::{Held, World, WorldSettings, chain, check_invariants, serving, short};
use gorsespur_jobs::{JobId, Step};

/// The job that the tests start first.
pub const JOB: JobId = JobId(1);

/// Milliseconds for which an owner waits at most before it gives up a start that another
/// incarnation may have taken.
const SUCCESSOR_LEASES_MS: u64 = 15_000;

/// Milliseconds after which owners rely on an order not to be carried out any more.
const MAX_DELAY_MS: u64 = 3000;

/// Returns times for which a worker is down, in milliseconds.
pub fn downtimes() -> impl Iterator<Item = u64> {
    (5..400).step_by(20)
}

/// Returns a world whose workers restart under their names if `reuse_names` is set.
pub fn world(workers: usize, attempts: u32, reuse_names: bool) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        attempts,
        reuse_names,
        ..WorldSettings::default()
    });
    world.run(100);
    world
}

/// Cuts workers off or reconnects them.
pub fn partition(world: &mut World, workers: &[usize], cut_off: bool) {
    for &at in workers {
        world.workers[at].partitioned = cut_off;
    }
}

/// Makes the owner place nothing on the first worker: its row shows no capacity.
pub fn announce_without_capacity(world: &mut World) {
    let capacity = std::mem::take(&mut world.workers[0].capacity);
    world.announce(0, true);
    world.workers[0].capacity = capacity;
}

/// Runs until a condition holds; returns whether it does within `limit` milliseconds.
pub fn run_until(world: &mut World, limit: u64, condition: impl Fn(&World) -> bool) -> bool {
    let end = world.now + limit;
    while world.now < end && !condition(world) {
        world.run(5);
    }
    condition(world)
}

/// Holds back a poll that lets the worker drop the ends of its first incarnation, and delivers
/// it when the first tasks of another job have ended in the second one and nobody has read this, or
/// after the longest delay.
/// Returns the world when all jobs have ended.
fn deliver_poll_to_next_incarnation(attempts: u32, failure_percent: u64) -> World {
    let mut world = world(1, attempts, true);
    world.hold(0, Held::Confirmation);
    world.submit(JOB.0, chain(vec![short(4, 300)]));
    assert!(run_until(&mut world, 3000, |w| {
        w.held(Held::Confirmation) == 1
    }));
    world.restart_ms = 20;
    world.crash(0);
    world.run(30);
    world.workers[0].failure_percent = failure_percent;
    world.submit(2, chain(vec![short(2, 1500)]));
    let has_ended = |w: &World| !w.workers[0].finished.is_empty();
    run_until(&mut world, MAX_DELAY_MS, has_ended);
    world.release(Held::Confirmation);
    assert!(world.run_until_done(9000));
    world
}

/// Ends that nobody has read are lost, and tasks that are done begin again: a poll for the first
/// incarnation of a worker reaches the second one, whose ends have the same numbers.
#[test]
fn a_late_poll_drops_no_unread_ends_of_the_next_incarnation() {
    let world = deliver_poll_to_next_incarnation(3, 0);
    check_invariants(&world, 0);
}

/// The same with failures: tasks begin more often than they have attempts.
#[test]
fn a_late_poll_drops_no_unread_failures_of_the_next_incarnation() {
    let world = deliver_poll_to_next_incarnation(1, 100);
    check_invariants(&world, 0);
}

/// A task runs twice at a time: a worker carries out a start that its owner has given up, in the
/// same incarnation.
#[test]
fn a_start_seconds_late_begins_no_second_run_in_the_same_incarnation() {
    for reuse_names in [false, true] {
        for late in [800, 1500, 3000, 5000, 9000, 14_000] {
            let mut world = world(2, 3, reuse_names);
            partition(&mut world, &[1], true);
            world.run(2000);
            world.hold(0, Held::Start);
            world.submit(JOB.0, chain(vec![short(1, 20_000)]));
            assert!(run_until(&mut world, 1000, |w| w.held(Held::Start) == 1));
            partition(&mut world, &[1], false);
            // In every other case no stop reaches the worker before the start.
            partition(&mut world, &[0], late % 1000 == 0);
            world.run(late);
            partition(&mut world, &[0], false);
            world.release(Held::Start);
            world.run(5);
            partition(&mut world, &[0], late % 1000 == 0);
            world.run(SUCCESSOR_LEASES_MS);
            partition(&mut world, &[0], false);
            assert!(world.run_until_done(60_000), "{late}");
            check_invariants(&world, late);
        }
    }
}

/// Holds back the start of the job's only task at the first worker, whose machine then loses power.
/// The next incarnation carries out the start `late` milliseconds after it was sent, and is cut off
/// before its owner has heard of it.
fn run_late_in_unknown_incarnation(late: u64) -> World {
    let mut world = world(2, 3, true);
    partition(&mut world, &[1], true);
    world.run(2000);
    world.hold(0, Held::Start);
    world.submit(JOB.0, chain(vec![short(1, 20_000)]));
    assert!(run_until(&mut world, 1000, |w| w.held(Held::Start) == 1));
    partition(&mut world, &[1], false);
    world.restart.row_delay_ms = 3000;
    world.restart_ms = late;
    world.lose_power(0);
    world.run(late);
    world.release(Held::Start);
    run_until(&mut world, 20, |w| !w.workers[0].runs.is_empty());
    assert_eq!(world.workers[0].runs.len(), 1, "{late}: no late run");
    partition(&mut world, &[0], true);
    world.run(2 * SUCCESSOR_LEASES_MS);
    partition(&mut world, &[0], false);
    assert!(world.run_until_done(60_000), "{late}");
    world
}

/// A task runs twice at a time: an incarnation that its owner has not heard of carries out a start,
/// within the delay that the owner allows for.
#[test]
fn a_start_in_an_unknown_incarnation_is_waited_for() {
    for late in [400, 1500, 2900] {
        let world = run_late_in_unknown_incarnation(late);
        check_invariants(&world, late);
    }
}

/// The same with a longer delay: users say only that an order may be carried out seconds later.
#[test]
fn a_start_seconds_later_in_an_unknown_incarnation_is_waited_for() {
    for late in [4000, 5000, 6000] {
        let world = run_late_in_unknown_incarnation(late);
        check_invariants(&world, late);
    }
}

/// A task runs twice at a time for long: the incarnation that its owner has barred from a start
/// ends, and the next one carries the start out.
#[test]
fn a_start_that_was_barred_in_one_incarnation_is_stopped_in_the_next() {
    let late_runs = downtimes().filter(|&ms| has_late_run_after_a_bar(ms));
    assert!(late_runs.count() > 0, "no late run");
}

/// Returns whether a worker that was down for `downtime` milliseconds carries out a start that was
/// barred before, and asserts that the run is stopped.
fn has_late_run_after_a_bar(downtime: u64) -> bool {
    let mut world = world(2, 3, true);
    partition(&mut world, &[1], true);
    world.run(2000);
    world.hold(0, Held::Start);
    world.submit(JOB.0, chain(vec![short(1, 20_000)]));
    assert!(run_until(&mut world, 1000, |w| w.held(Held::Start) == 1));
    announce_without_capacity(&mut world);
    partition(&mut world, &[1], false);
    let second_run = |w: &World| w.workers[1].runs.len() == 1;
    assert!(run_until(&mut world, 9000, second_run));
    world.restart.row_delay_ms = 3000;
    world.restart_ms = downtime;
    world.crash(0);
    run_until(&mut world, downtime + 100, |w| w.workers[0].alive);
    world.release(Held::Start);
    world.run(5);
    let is_late = world.workers[0].runs.len() == 1;
    world.run(1000);
    assert_eq!(world.workers[0].runs.len(), 0, "the late run goes on");
    assert!(world.run_until_done(60_000));
    check_invariants(&world, downtime);
    is_late
}

/// A task runs twice at a time: the new owner gives its predecessor's start up at the first report
/// that lacks the run, and the worker's next incarnation, which knows of no owner, carries it out.
#[test]
fn a_start_of_an_earlier_owner_begins_no_run_in_the_next_incarnation() {
    let mut world = world(2, 3, true);
    partition(&mut world, &[1], true);
    world.run(2000);
    world.hold(0, Held::Start);
    world.submit(JOB.0, chain(vec![short(1, 20_000)]));
    assert!(run_until(&mut world, 1000, |w| w.held(Held::Start) == 1));
    partition(&mut world, &[1], false);
    announce_without_capacity(&mut world);
    world.pause(true);
    let end = world.lease_end();
    world.take_over(end);
    let second_run = |w: &World| w.workers[1].runs.len() == 1;
    assert!(run_until(&mut world, 9000, second_run));
    world.restart_ms = 20;
    world.crash(0);
    run_until(&mut world, 100, |w| w.workers[0].alive);
    world.release(Held::Start);
    assert!(world.run_until_done(60_000));
    check_invariants(&world, 0);
}

/// Milliseconds after which users count a serving task over its target as harmed.
const HARM_MS: u64 = 4000;

/// Returns a world of one worker with a serving task beside a long best-effort task.
fn sharing_world() -> World {
    let mut world = world(1, 3, false);
    world.submit(JOB.0, chain(vec![serving(1)]));
    world.run(1500);
    let filling = Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(1, 60_000)
    };
    world.submit(2, chain(vec![filling]));
    world.run(300);
    assert_eq!(pace(&world), Some(100));
    world
}

/// Returns the pace of the best-effort run on the first worker, in percent.
fn pace(world: &World) -> Option<u32> {
    let mut runs = world.workers[0].runs.iter().filter(|r| r.best_effort);
    runs.next().map(|r| r.pace)
}

/// Sets the tail latency of the serving task, in percent of its target, and waits until the
/// best-effort run has this pace.
fn await_pace(world: &mut World, tail: u64, wanted: u32) {
    world.workers[0].tail_percents = vec![tail];
    let is_paced = run_until(world, 9000, |w| pace(w) == Some(wanted));
    assert!(is_paced, "pace {:?}, not {wanted}", pace(world));
}

/// A serving task stays over its target: an order that raises the pace is carried out after a newer
/// one that halts the run.
#[test]
fn a_late_pace_order_does_not_undo_a_newer_halt() {
    let mut world = sharing_world();
    await_pace(&mut world, 200, 0);
    world.hold(0, Held::Pace);
    world.workers[0].tail_percents = vec![40];
    assert!(run_until(&mut world, 9000, |w| w.held(Held::Pace) == 1));
    world.workers[0].tail_percents = vec![200];
    world.run(3000);
    assert_eq!(pace(&world), Some(0));
    world.release(Held::Pace);
    world.run(HARM_MS);
    assert_eq!(
        pace(&world).unwrap_or(0),
        0,
        "pace beside a task over target"
    );
}

/// A best-effort run stays halted: an order that halts it is carried out after
/// a newer one that lets it work.
#[test]
fn a_late_pace_order_does_not_undo_a_newer_full_pace() {
    let mut world = sharing_world();
    world.hold(0, Held::Pace);
    world.workers[0].tail_percents = vec![200];
    assert!(run_until(&mut world, 9000, |w| w.held(Held::Pace) == 1));
    await_pace(&mut world, 40, 100);
    world.run(3000);
    world.release(Held::Pace);
    for _ in 0..HARM_MS / 10 {
        world.run(10);
        assert_eq!(pace(&world), Some(100));
    }
}
