//! Takeovers by owners that lack the state of some workers.

use crate::common::{World, WorldSettings, chain, check_invariants};
use gorsespur_jobs::{JobId, Step};

/// A job of four long-running tasks, one on each worker.
const LONG_RUNNING_JOB: JobId = JobId(1);

/// Returns a world whose workers run one long-running task each.
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

/// Removes a worker and its row.
fn remove_worker(world: &mut World, at: usize) {
    world.workers[at].alive = false;
    world.workers[at].runs.clear();
}

/// The stats count the runs on a worker that the new owner can't poll.
#[test]
fn runs_on_a_removed_worker_are_counted() {
    let mut world = world();
    world.pause(true);
    remove_worker(&mut world, 0);
    let lease_end = world.lease_end();
    world.take_over(lease_end);
    assert_eq!(world.stats().unverified_runs, 4);
    world.run(500);
    assert_eq!(world.stats().unverified_runs, 1);
    world.run(lease_end - world.now + 500);
    assert_eq!(world.stats().unverified_runs, 0);
    check_invariants(&world, 0);
}

/// Milliseconds for which users allow a long-running task to be down after the last fault:
/// instances count as in contact after 3 s, and 4 s and 3 s more have to be without faults.
const MAX_OUTAGE_MS: u64 = 10_000;

/// A worker with two long-running tasks leaves while the store answers late or not at all, so that
/// no owner can record that they were stopped. When the last owner takes over, the row of the
/// worker is removed, and the owner can't poll it. If it waited until all leases that its
/// predecessor may have granted have expired, 12.7 s after the predecessor's last contact with the
/// store, the tasks would start 11 s after the store had recovered.
#[test]
fn long_running_tasks_of_a_removed_worker_restart_in_time() {
    let mut world = world();
    world.store_down = true;
    world.announce(0, false);
    world.run(1500);
    assert!(world.workers[0].runs.is_empty(), "not stopped");
    world.pause(true);
    remove_worker(&mut world, 0);
    // An owner that takes over at this time, and whose writes get no answer.
    world.take_over(world.lease_end());
    let contact = world.now;
    let lease_end = world.lease_end();
    world.run(1800);
    world.pause(true);
    world.store_down = false;
    world.take_over(lease_end);
    world.run(contact + MAX_OUTAGE_MS - world.now);
    let running: usize = world.workers.iter().map(|w| w.runs.len()).sum();
    assert_eq!(running, 4, "{MAX_OUTAGE_MS} ms after the last contact");
    check_invariants(&world, 0);
}

/// An owner whose claim of the lease was answered late grants no leases beyond the time that its
/// successor waits for, which counts from the moment at which the claim was done.
#[test]
fn a_claim_that_is_answered_late_extends_no_lease() {
    let mut world = world();
    let lease_end = world.lease_end();
    world.store_down = true;
    world.pause(true);
    world.run(2500);
    world.claim_ms = 2500;
    world.take_over(lease_end);
    world.run(15_000);
    for worker in &world.workers {
        assert!(worker.deadline <= worker.clock(lease_end), "{}", worker.id);
    }
}

/// An owner whose claim was done long ago grants no lease to a worker, polls it once and loses
/// contact. The runs there continue under the lease of the previous owner.
#[test]
fn a_worker_that_was_polled_once_keeps_its_earlier_lease() {
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
