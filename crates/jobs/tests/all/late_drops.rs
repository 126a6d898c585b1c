//! Polls that let ends go and starts, both without an answer and carried out late by the next
//! incarnation of the worker.

use crate::{
    common::{Held, World, chain, check_invariants, short},
    late_orders::{JOB, partition, run_until, world},
};
use gorsespur_jobs::{JobId, Outcome};
use test_case::test_case;

/// Milliseconds within which an order is sent.
const ORDER_LIMIT_MS: u64 = 3000;

/// Milliseconds of the task whose start is late.
const TASK_MS: u64 = 20;

/// The job whose start is late.
const LATE_JOB: JobId = JobId(2);

/// Times for which the worker is down, in milliseconds. In some of them its next incarnation carries
/// out the held orders before it is polled.
fn downtimes() -> impl Iterator<Item = u64> {
    (300..560).step_by(20)
}

/// Crashes the worker. Its next incarnation carries out the held start, and the held poll once the
/// run has ended. Returns whether that run was done before anybody polled the incarnation.
fn crash_and_deliver(world: &mut World, down_ms: u64) -> bool {
    world.restart_ms = down_ms;
    world.restart.row_delay_ms = 3000;
    world.crash(0);
    let is_back = run_until(world, down_ms + 100, |w| w.workers[0].alive);
    assert!(is_back);
    world.release(Held::Start);
    world.run(TASK_MS + 15);
    let is_done = !world.workers[0].finished.is_empty() && world.workers[0].runs.is_empty();
    world.release(Held::Confirmation);
    world.run(10);
    is_done
}

fn check(world: &mut World, name: &str) {
    assert!(world.run_until_done(60_000), "{name}: unfinished");
    for id in world.job_ids() {
        assert_eq!(world.outcome(id), Outcome::Complete, "{name}: {id}");
    }
    check_invariants(world, 0);
}

/// Submits the job whose start to the first worker is held back.
fn submit_late_job(world: &mut World) {
    world.hold(0, Held::Start);
    world.submit(LATE_JOB.0, chain(vec![short(1, TASK_MS)]));
}

/// Submits the job and waits until its start is held back. Then another owner may take over.
fn hold_start(world: &mut World, takes_over: bool) {
    submit_late_job(world);
    let is_held = run_until(world, ORDER_LIMIT_MS, |w| w.held(Held::Start) == 1);
    assert!(is_held, "no start");
    if takes_over {
        world.pause(true);
        let end = world.lease_end();
        world.take_over(end);
    }
}

/// Guards against a task that starts again after it was done: a worker crashes before it has carried
/// out a poll that lets ends go and a start. Its next incarnation carries out both.
#[test_case(20)]
#[test_case(1500)]
fn a_start_during_a_poll_that_lets_ends_go_is_done_once(sent_after_ms: u64) {
    for down_ms in downtimes() {
        let mut world = world(1, 3, true);
        world.hold(0, Held::Confirmation);
        world.submit(JOB.0, chain(vec![short(1, 50)]));
        let is_polled = run_until(&mut world, ORDER_LIMIT_MS, |w| {
            w.held(Held::Confirmation) == 1
        });
        assert!(is_polled, "no poll lets an end go");
        world.run(sent_after_ms);
        submit_late_job(&mut world);
        run_until(&mut world, 100, |w| w.held(Held::Start) == 1);
        crash_and_deliver(&mut world, down_ms);
        check(&mut world, &format!("down {down_ms} ms"));
    }
}

/// The same with the start first, by the same owner or by its predecessor.
#[test_case(false)]
#[test_case(true)]
fn a_poll_during_a_start_lets_no_end_go(takes_over: bool) {
    let mut late_runs = 0;
    for down_ms in downtimes() {
        let mut world = world(1, 3, true);
        world.submit(JOB.0, chain(vec![short(1, 350)]));
        world.run(300);
        hold_start(&mut world, takes_over);
        world.hold(0, Held::Confirmation);
        run_until(&mut world, 400, |w| w.held(Held::Confirmation) == 1);
        late_runs += u32::from(crash_and_deliver(&mut world, down_ms));
        check(&mut world, &format!("down {down_ms} ms"));
    }
    assert!(late_runs > 0, "no late run");
}

/// A start is barred in the incarnation that it was sent to, and carried out by the next one, which
/// then gets a poll that was sent after the bar.
#[test_case(false)]
#[test_case(true)]
fn a_barred_start_drops_no_end_of_the_next_incarnation(takes_over: bool) {
    let mut late_runs = 0;
    for down_ms in downtimes() {
        let mut world = world(2, 3, true);
        partition(&mut world, &[1], true);
        world.run(2000);
        hold_start(&mut world, takes_over);
        // Its owner gives the run up. The next one is under way when the worker crashes.
        world.workers[0].task_ms = Some(900);
        let is_restarted = run_until(&mut world, 20_000, |w| !w.workers[0].runs.is_empty());
        assert!(is_restarted, "the task does not start again");
        world.submit(JOB.0, chain(vec![short(1, 50)]));
        world.hold(0, Held::Confirmation);
        run_until(&mut world, 800, |w| w.held(Held::Confirmation) == 1);
        world.workers[0].task_ms = None;
        late_runs += u32::from(crash_and_deliver(&mut world, down_ms));
        check(&mut world, &format!("down {down_ms} ms"));
    }
    assert!(late_runs > 0, "no late run");
}

/// Ends are let go while starts come all the time, and while some start is always without an answer.
/// A worker lists 500 ends at most, so that none may be missed.
#[test_case(0, 20)]
#[test_case(200, 300)]
fn ends_are_let_go_beside_a_stream_of_starts(delay_ms: u64, max_kept: usize) {
    let mut world = world(1, 3, true);
    world.workers[0].delay_ms = delay_ms;
    let mut most = 0;
    for number in 0..700 {
        world.submit(100 + number, chain(vec![short(1, 30)]));
        world.run(25);
        most = most.max(world.workers[0].finished.len());
    }
    let since = world.now;
    assert!(world.run_until_done(100_000));
    println!(
        "delay {delay_ms}: {most} kept, done after {} ms",
        world.now - since
    );
    assert!(most < max_kept, "{most} ends are kept");
    check_invariants(&world, 0);
}
