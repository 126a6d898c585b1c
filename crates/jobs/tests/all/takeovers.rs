//! Takeovers, and what a new owner does not know of its workers.

use crate::common::{World, WorldSettings, chain, check_invariants};
use gorsespur_jobs::{JobId, Step};

/// A job of four lasting tasks, one on each worker.
const LONG_RUNNING_JOB: JobId = JobId(1);

/// A world whose workers have one lasting task each.
fn world() -> World {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let step = Step {
        count: 4,
        cpu: 1000,
        memory: 1000,
        long_running: true,
        ..Step::default()
    };
    world.submit(LONG_RUNNING_JOB.0, chain(vec![step]));
    world.run(1500);
    assert!(world.workers.iter().all(|w| w.runs.len() == 1));
    world
}

/// Takes a worker away, and with it its row.
fn remove_worker(world: &mut World, at: usize) {
    world.workers[at].alive = false;
    world.workers[at].runs.clear();
}

/// An operator sees how many tasks wait for a worker that the new owner can't ask.
#[test]
fn runs_on_a_worker_that_has_vanished_are_counted() {
    let mut world = world();
    world.pause(true);
    remove_worker(&mut world, 0);
    let over = world.lease_end();
    world.take_over(over);
    assert_eq!(world.stats().unverified_runs, 4);
    world.run(500);
    assert_eq!(world.stats().unverified_runs, 1);
    world.run(over - world.now + 500);
    assert_eq!(world.stats().unverified_runs, 0);
    check_invariants(&world, 0);
}

/// The users allow a lasting task to be away for 10 s after the last trouble: instances
/// count as in touch after 3 s, and 4 s and 3 s more have to be calm.
const MAX_OUTAGE_MS: u64 = 10_000;

/// A worker left while the store answered late or not at all, so that no owner could note
/// that the two lasting tasks there had been stopped, and by the last takeover its row was
/// gone. The new owner could not ask it and waited until all leases were over that the owner
/// before might have granted: 12.7 s after that one's last contact with the store. The tasks
/// were stopped at 8.635 s and 8.932 s, and the store was well from 12.0 s on; both began at
/// 23.383 s and 23.385 s, on one worker that had been there since 10.0 s.
#[test]
fn lasting_tasks_of_a_vanished_worker_run_again_in_time() {
    let mut world = world();
    world.store_down = true;
    world.announce(0, false);
    world.run(1500);
    assert!(world.workers[0].runs.is_empty(), "stopped, and not noted");
    world.pause(true);
    remove_worker(&mut world, 0);
    // An owner that takes over just now, and whose writes get no answer.
    world.take_over(world.lease_end());
    let contact = world.now;
    let over = world.lease_end();
    world.run(1800);
    world.pause(true);
    world.store_down = false;
    world.take_over(over);
    world.run(contact + MAX_OUTAGE_MS - world.now);
    let running: usize = world.workers.iter().map(|w| w.runs.len()).sum();
    assert_eq!(running, 4, "{MAX_OUTAGE_MS} ms after the last contact");
    check_invariants(&world, 0);
}

/// An owner whose claim was answered late grants nothing beyond what its successor waits for,
/// which counts from when the claim was done.
#[test]
fn a_claim_that_is_answered_late_prolongs_nothing() {
    let mut world = world();
    let over = world.lease_end();
    world.store_down = true;
    world.pause(true);
    world.run(2500);
    world.claim_ms = 2500;
    world.take_over(over);
    world.run(15_000);
    for worker in &world.workers {
        assert!(worker.deadline <= worker.clock(over), "{}", worker.id);
    }
}

/// An owner whose claim was long ago promises a worker nothing, hears it once, and loses it:
/// what runs there goes on under the lease of the owner before.
#[test]
fn a_worker_that_was_heard_once_keeps_its_earlier_lease() {
    let mut world = world();
    world.store_down = true;
    world.pause(true);
    world.claim_ms = 9000;
    world.take_over(world.lease_end());
    world.run(100);
    assert_eq!(world.stats().unverified_runs, 0);
    world.workers[0].partitioned = true;
    world.run(2500);
    world.store_down = false;
    world.run(10_000);
    check_invariants(&world, 0);
    let running: usize = world.workers.iter().map(|w| w.runs.len()).sum();
    assert_eq!(running, 4);
}
