//! An owner that falls behind keeps its guarantees: its turns take up to seconds, and the answers
//! of workers wait during a turn.

use crate::{
    common::{World, WorldSettings, chain, check_invariants, long_running, short},
    site::Site,
};
use gorsespur_jobs::{Event, JobId, Outcome, Settings, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Jobs of each simulation.
const JOBS: u64 = 24;

fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        attempts: 3,
        seed,
        lost_percent: 0,
        reuse_names: false,
        ..WorldSettings::default()
    });
    world.checker.all_healthy = true;
    world.run(100);
    world
}

/// Turns take up to 0.2, 1 and 5 s while jobs arrive continuously.
#[test_case(200; "a fifth of a second")]
#[test_case(1000; "a second")]
#[test_case(5000; "five seconds")]
fn late_turns_start_nothing_twice(turns: u64) {
    for seed in 0..12 {
        let mut world = world(6, seed);
        world.max_turn_ms = turns;
        world.unread_percent = 30;
        let mut rng = SmallRng::seed_from_u64(seed);
        for id in 1..=JOBS {
            let estimate = rng.random_range(200..1500);
            world.submit(id, chain(vec![short(4, estimate), short(2, 500)]));
            world.run(rng.random_range(0..300));
        }
        world.run_until_done(60_000 + 40 * turns);
        check_invariants(&world, seed);
        for id in 1..=JOBS {
            assert_eq!(world.outcome(JobId(id)), Outcome::Complete, "seed {seed}");
        }
    }
}

/// An owner takes over from itself or from another one while turns take up to a second. The
/// earlier leases have expired, but the workers have not been polled yet.
#[test]
fn a_new_owner_polls_before_it_restarts_tasks() {
    for seed in 0..20 {
        let mut world = world(4, seed);
        for id in 1..=JOBS {
            world.submit(id, chain(vec![short(2, 700)]));
        }
        world.run(600);
        world.pause(true);
        world.run(100);
        let lease_end = world.now;
        world.max_turn_ms = 1000;
        world.unread_percent = 50;
        world.take_over(lease_end);
        assert!(world.run_until_done(60_000), "seed {seed}");
        check_invariants(&world, seed);
    }
}

/// There is no owner for so long that all leases expire and all runs end.
#[test]
fn tasks_that_ended_without_an_owner_are_not_restarted() {
    for seed in 0..20 {
        let mut world = world(4, seed);
        for id in 1..=JOBS {
            world.submit(id, chain(vec![short(1, 900)]));
        }
        world.run(300);
        world.pause(true);
        world.run(9000);
        let lease_end = world.now;
        world.max_turn_ms = 200;
        world.unread_percent = 50;
        world.take_over(lease_end);
        assert!(world.run_until_done(60_000), "seed {seed}");
        check_invariants(&world, seed);
    }
}

/// A worker was silent when the owner was paused, and answers again before the owner resumes.
#[test]
fn silence_before_a_pause_loses_no_runs() {
    let mut world = world(3, 1);
    world.submit(1, chain(vec![short(3, 7000)]));
    world.run(1000);
    let run_counts: Vec<_> = world.workers.iter().map(|w| w.runs.len()).collect();
    assert_eq!(run_counts.iter().sum::<usize>(), 3);
    world.workers[0].partitioned = true;
    world.run(3200);
    world.pause(true);
    for worker in &mut world.workers {
        worker.partitioned = false;
        // The runs outlast the pause, as if another owner had renewed their leases.
        worker.deadline = u64::MAX;
    }
    world.run(6000);
    world.pause(false);
    assert!(world.run_until_done(20_000));
    check_invariants(&world, 1);
    assert_eq!(world.stats().starts, 3);
}

/// A run that seems to make no progress only because the owner reads no reports is not stopped.
#[test]
fn progress_counts_by_the_workers_clock() {
    for seed in 0..10 {
        let mut world = world(3, seed);
        for worker in &mut world.workers {
            // The tasks take four seconds, with an estimate of one.
            worker.task_ms = Some(4000);
        }
        world.submit(1, chain(vec![short(6, 1000)]));
        world.run(1800);
        world.max_turn_ms = 1000;
        world.unread_percent = 60;
        world.run(8000);
        world.max_turn_ms = 0;
        world.unread_percent = 0;
        assert!(world.run_until_done(30_000), "seed {seed}");
        assert_eq!(world.stats().starts, 6, "seed {seed}");
    }
}

/// Returns a world with a long-running task whose store has just become unavailable.
fn without_store() -> World {
    let mut world = world(1, 1);
    world.submit(1, chain(vec![long_running(1)]));
    world.run(1000);
    world.store_down = true;
    world
}

/// The owner's lease counts from the request of its renewal. An owner that reads the answer
/// seconds late extends no lease at workers beyond the time that its successor waits for.
#[test]
fn a_late_answer_of_the_store_extends_no_lease() {
    let mut world = without_store();
    let asked_at = world.now;
    let lease_end = world.lease_end();
    world.run(5000);
    // The answer to the request of five seconds ago is read only now.
    world.notify(Event::Renewed { asked_at });
    world.run(9000);
    assert!(world.workers[0].deadline <= world.workers[0].clock(lease_end));
}

/// For a suspended machine no time may seem to have passed since the last contact with the store.
/// With a clock that stops in suspension the owner would extend a lease until 3.9 s after the time
/// at which a successor takes all leases for expired.
#[test]
fn a_suspended_owner_extends_no_lease() {
    let mut world = without_store();
    let lease_end = world.lease_end();
    world.suspend(5000);
    world.run(9000);
    let worker = &world.workers[0];
    let late = worker.deadline.saturating_sub(worker.clock(lease_end));
    assert_eq!(late, 0, "ms beyond the end of all leases");
}

/// The lease of a start whose record is confirmed late has expired when a successor takes it for
/// expired.
#[test_case(1000; "a second")]
#[test_case(5000; "five seconds")]
fn a_late_commit_extends_no_lease(late: u64) {
    let mut world = world(1, 1);
    world.store_down = true;
    let asked_at = world.now;
    let lease_end = world.lease_end();
    world.submit(1, chain(vec![short(2, 60_000)]));
    world.run(late);
    // Only the record is late: the rows of the workers are up to date.
    let now = world.now;
    world.notify(Event::WorkersSynced { asked_at: now });
    world.notify(Event::Committed { asked_at });
    world.run(300);
    assert_eq!(world.workers[0].runs.len(), 2, "tasks were not started");
    assert!(world.workers[0].deadline <= world.workers[0].clock(lease_end));
}

/// No run starts on a lease that has expired, or that would expire before it can be renewed.
#[test_case(6000; "before its lease could be renewed")]
#[test_case(8000; "just before the end of all leases")]
#[test_case(9000; "after the end of all leases")]
fn a_commit_that_is_too_late_starts_nothing(late: u64) {
    let mut world = world(1, 1);
    world.store_down = true;
    let asked_at = world.now;
    world.submit(1, chain(vec![short(2, 60_000)]));
    world.run(late);
    world.notify(Event::Committed { asked_at });
    world.run(300);
    assert_eq!(world.stats().starts, 0);
}

/// An owner was paused for four seconds, and a successor needs as long to read the jobs, so that
/// up to 283 of 800 runs lapsed before they were polled. After the pause the owner renews leases
/// at once from the last reported clocks of the workers, also while ends wait for a commit.
#[test_case(1; "nothing ended")]
#[test_case(900; "ends wait to be durable")]
fn a_paused_owner_renews_leases_at_once(estimate: u64) {
    let mut world = world(1, 1);
    world.submit(1, chain(vec![long_running(1)]));
    world.submit(2, chain(vec![short(2, estimate)]));
    world.run(600);
    world.store_down = true;
    let contact = world.now;
    world.pause(true);
    world.run(4000);
    world.pause(false);
    world.run(50);
    let worker = &world.workers[0];
    let left = worker.deadline - worker.clock(world.now);
    let lease_ms = contact + Settings::default().store_grace - world.now;
    assert!(left + 500 > lease_ms, "{left} of {lease_ms} ms left");
}

/// Thousands of jobs wait for a thousand workers; all of them differ, and none fits.
#[test]
fn a_pass_of_placement_is_bounded() {
    let mut site = Site::new(1000, 0);
    site.run(200);
    for job in 0..5000 {
        // Hundreds of images of serving tasks, none of which shows that another does not fit.
        site.submit_wide(vec![Step {
            count: 2,
            cpu: 30_000,
            memory: 1000,
            latency_target: 1000,
            image: Some(format!("image{job}").into()),
            ..Step::default()
        }]);
    }
    site.run(40);
    let before = site.stats();
    site.run(200);
    let after = site.stats();
    let (passes, cut) = (
        after.passes - before.passes,
        after.truncated_passes - before.truncated_passes,
    );
    let ratings = after.ratings - before.ratings;
    assert!(
        passes > 0 && cut == passes,
        "{cut} of {passes} passes truncated"
    );
    assert!(ratings <= passes * 301_000, "{ratings} in {passes} passes");
    assert!(after.polls > before.polls + 100, "leases are not renewed");
}

/// Jobs can be queried for minutes after their end, but their tasks use no memory.
#[test]
fn the_tasks_of_a_job_that_has_ended_are_forgotten() {
    let mut world = world(4, 1);
    for id in 1..=JOBS {
        world.submit(id, chain(vec![short(4, 300), short(2, 300)]));
    }
    let cancelled = world.submit(100, chain(vec![short(4, 60_000)]));
    world.run(1000);
    assert!(world.stats().tasks > 0);
    world.cancel(cancelled);
    assert!(world.run_until_done(30_000));
    world.run(2000);
    assert_eq!(world.stats().tasks, 0);
    check_invariants(&world, 1);
}

/// More starts are due than a link can carry, which is fifty per second. Starts wait in the order
/// of the scheduler: long-running tasks come first, leases are renewed, and no start times out.
#[test]
fn a_full_link_holds_starts_back() {
    let mut world = world(24, 1);
    world.link_ms = 20;
    for id in 1..=100 {
        world.submit(id, chain(vec![short(20, 400)]));
    }
    // The first starts are sent before any answer shows the delay of the link.
    world.run(12_000);
    let before = world.stats();
    let id = world.submit(1000, chain(vec![long_running(2)]));
    world.run(4000);
    let after = world.stats();
    assert_eq!(world.outcome(id), Outcome::Active);
    assert_eq!(
        after.unanswered_starts, before.unanswered_starts,
        "starts timed out"
    );
    assert_eq!(after.lapsed, 0);
    check_invariants(&world, 1);
}

/// The rows of 3,000 workers may change faster than an owner reads them. Without this check a
/// worker that had announced 5 s before that it would leave was given a task.
#[test]
fn nothing_starts_while_worker_rows_are_stale() {
    let mut world = World::new(WorldSettings::default());
    world.run(500);
    world.watch_down = true;
    world.run(2_500);
    let id = world.submit(1, chain(vec![short(4, 500)]));
    world.run(3_000);
    assert_eq!(world.outcome(id), Outcome::Pending);
    assert!(world.stats().skipped_passes > 0);
    world.watch_down = false;
    assert!(world.run_until_done(3_000));
}
