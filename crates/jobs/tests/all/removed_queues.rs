//! Accepted jobs whose queue is removed from the configuration, or changed in it.

use gorsespur_jobs::{JobId, Outcome, QueuePolicy, RemovedQueue, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

use crate::common::{
    Crasher, Mode, World, WorldSettings, chain, check_invariants, long_running, queue_policy, short,
};

/// Name of the queue that is removed.
const REMOVED: &str = "removed";

/// Attempts of each queue.
const ATTEMPTS: u32 = 3;

/// Time in which an owner notices a change, in milliseconds: it counts jobs once a second.
const NOTICE_MS: u64 = 1200;

/// A service without workers.
const EMPTY_SERVICE: &str = "empty";

/// What happens to the owner once the queue is removed.
#[derive(Debug, Clone, Copy)]
enum Change {
    None,
    /// A new owner, which never saw the queue configured.
    Takeover,
}

fn policy(version: u64) -> QueuePolicy {
    QueuePolicy {
        version,
        ..queue_policy(REMOVED, ATTEMPTS)
    }
}

fn on_service(version: u64, service: &str) -> QueuePolicy {
    QueuePolicy {
        service: service.into(),
        ..policy(version)
    }
}

/// The queue that stays.
fn other() -> QueuePolicy {
    queue_policy("other", ATTEMPTS)
}

/// Returns a world whose configuration has both queues.
fn world() -> World {
    let mut world = World::new(WorldSettings {
        attempts: ATTEMPTS,
        ..WorldSettings::default()
    });
    world.configure(&[other(), policy(1)]);
    world.run(100);
    world
}

/// Removes the queue.
fn remove(world: &mut World, change: Change) {
    world.configure(&[other()]);
    if let Change::Takeover = change {
        world.pause(true);
        let end = world.lease_end();
        world.take_over(end);
    }
}

fn runs_of(world: &World, id: JobId) -> usize {
    let runs = world.workers.iter().flat_map(|w| &w.runs);
    runs.filter(|r| r.task.job == id).count()
}

/// The first step is at work when the queue is removed.
#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn the_next_step_starts(change: Change) {
    let mut world = world();
    let spec = chain(vec![short(4, 2500), short(4, 2500)]);
    let id = world.submit_under(policy(1), 1, spec);
    world.run(500);
    remove(&mut world, change);
    assert!(world.run_until_done(8000), "{:?}", world.outcome(id));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// A worker of a job's long-running tasks crashes after the queue is removed.
#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn a_long_running_task_starts_again(change: Change) {
    let mut world = world();
    let spec = chain(vec![long_running(4)]);
    let id = world.submit_under(policy(1), 1, spec);
    world.run(1500);
    assert_eq!(runs_of(&world, id), 4);
    remove(&mut world, change);
    world.run(500);
    world.workers[0].alive = false;
    world.announce(0, false);
    world.run(12_000);
    let alive = world.workers.iter().filter(|w| w.alive);
    let runs = alive.flat_map(|w| &w.runs).filter(|r| r.task.job == id);
    assert_eq!(runs.count(), 4);
    check_invariants(&world, 0);
}

#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn failures_end_the_job_after_its_attempts(change: Change) {
    let mut world = world();
    for worker in &mut world.workers {
        worker.mode = Mode::FailsAll;
    }
    let id = world.submit_under(policy(1), 1, chain(vec![short(1, 300)]));
    world.run(20);
    remove(&mut world, change);
    assert!(world.run_until_done(30_000));
    assert_eq!(world.outcome(id), Outcome::Failed);
    check_invariants(&world, 0);
}

/// Suspects are placed by a path of their own.
#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn a_task_that_crashes_its_workers_is_given_up(change: Change) {
    let mut world = world();
    let id = world.submit_under(policy(1), 1, chain(vec![short(1, 5000)]));
    let task = TaskId {
        job: id,
        repetition: 0,
        step: 0,
        index: 0,
    };
    world.crashers = vec![Crasher {
        task,
        after_ms: 1000,
    }];
    world.run(500);
    remove(&mut world, change);
    assert!(world.run_until_done(60_000), "{:?}", world.outcome(id));
    assert_eq!(world.outcome(id), Outcome::Failed);
    check_invariants(&world, 0);
}

/// An instance accepts a job by a configuration that the owner has replaced, or by one that the
/// owner has not read yet.
#[test]
fn a_job_is_carried_out_that_a_lagging_instance_accepted() {
    let mut world = world();
    remove(&mut world, Change::None);
    world.run(NOTICE_MS);
    let id = world.submit_under(policy(1), 1, chain(vec![short(4, 500)]));
    assert!(world.run_until_done(5000));
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// Of several policies of a removed queue the newest one holds, whatever is known first.
#[test_case(on_service(2, EMPTY_SERVICE), on_service(3, "s"), 4; "the newer one later")]
#[test_case(on_service(3, "s"), on_service(2, EMPTY_SERVICE), 4; "the older one later")]
#[test_case(on_service(2, "s"), on_service(3, EMPTY_SERVICE), 0; "the newer one without workers")]
fn the_newest_policy_of_a_removed_queue_holds(
    first: QueuePolicy,
    second: QueuePolicy,
    running: usize,
) {
    let mut world = world();
    remove(&mut world, Change::None);
    world.run(NOTICE_MS);
    let spec = || chain(vec![long_running(2)]);
    let jobs = [(1, first), (2, second)].map(|(id, p)| world.submit_under(p, id, spec()));
    world.run(3000);
    let runs: usize = jobs.iter().map(|&id| runs_of(&world, id)).sum();
    assert_eq!(runs, running);
}

/// The policy that was in force last holds, not the one under which the job was accepted. New owners
/// know no other than the latter if the last one is not stored.
#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn a_removed_queue_keeps_its_last_policy(change: Change) {
    let mut world = world();
    world.configure(&[other(), on_service(1, EMPTY_SERVICE)]);
    let spec = chain(vec![short(2, 3000), short(2, 500)]);
    let id = world.submit_under(on_service(1, EMPTY_SERVICE), 1, spec);
    world.run(1000);
    assert_eq!(runs_of(&world, id), 0);
    world.configure(&[other(), on_service(2, "s")]);
    world.run(NOTICE_MS);
    remove(&mut world, change);
    assert!(world.run_until_done(8000));
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// The row of a job that an instance of an earlier version accepted has no policy.
#[test_case(Change::None)]
#[test_case(Change::Takeover)]
fn a_job_without_a_policy_goes_on(change: Change) {
    let mut world = world();
    let spec = chain(vec![short(4, 2500), short(4, 500)]);
    let id = world.submit_without_policy(REMOVED, 1, spec);
    world.run(NOTICE_MS);
    remove(&mut world, change);
    assert!(world.run_until_done(8000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_invariants(&world, 0);
}

/// Nothing tells a job's policy: an instance of an earlier version accepted the job, and no owner
/// saw its queue. Operators see that it waits, until its queue is configured.
#[test]
fn a_job_of_an_unknown_queue_is_shown_and_waits() {
    let mut world = world();
    let id = world.submit_without_policy("unknown", 1, chain(vec![short(1, 300)]));
    world.run(NOTICE_MS);
    let expected = ("unknown".into(), 1, false);
    let shown = world.removed_queues();
    let shown: Vec<_> = shown
        .iter()
        .map(|q| (q.queue.clone(), q.jobs, q.has_policy))
        .collect();
    assert_eq!((shown, runs_of(&world, id)), (vec![expected], 0));
    world.configure(&[other(), queue_policy("unknown", ATTEMPTS)]);
    assert!(world.run_until_done(2000));
}

/// A policy is stored once for all jobs of a queue, and deleted with the last job of a removed
/// queue. That of a configured queue stays for the next job.
#[test]
fn policies_are_stored_while_queues_have_jobs() {
    let mut world = world();
    for id in 1..=20 {
        world.submit_under(policy(1), id, chain(vec![short(1, 1500)]));
    }
    world.run(NOTICE_MS);
    assert_eq!(world.ledger.stored_queues(), [REMOVED.into()]);
    assert!(world.run_until_done(20_000));
    world.run(NOTICE_MS);
    assert_eq!(world.ledger.stored_queues(), [REMOVED.into()]);
    remove(&mut world, Change::None);
    world.run(NOTICE_MS);
    assert!(world.ledger.stored_queues().is_empty());
    assert!(world.removed_queues().is_empty());
}

/// A queue that is configured again has its new policy: nothing more starts on the service that it
/// had before.
#[test]
fn a_queue_that_is_back_has_its_new_policy() {
    let mut world = world();
    let spec = chain(vec![short(4, 1000), short(4, 1000)]);
    let id = world.submit_under(policy(1), 1, spec);
    world.run(500);
    remove(&mut world, Change::None);
    world.run(200);
    world.configure(&[other(), on_service(3, EMPTY_SERVICE)]);
    world.run(4000);
    assert_eq!(
        (world.outcome(id), runs_of(&world, id)),
        (Outcome::Active, 0)
    );
    world.configure(&[other(), policy(4)]);
    assert!(world.run_until_done(4000));
    check_invariants(&world, 0);
}

/// What the tasks of a removed queue hold counts in the division, and nobody is told what new jobs
/// of that queue can expect.
#[test]
fn runs_of_a_removed_queue_count_in_the_division() {
    let mut world = world();
    let open_cpu = |world: &World| {
        let figures = world.queue_figures();
        let cpu = figures
            .iter()
            .map(|f| (f.queue.to_string(), f.long_running_cpu));
        cpu.collect::<Vec<_>>()
    };
    let step = Step {
        cpu: 4000,
        ..long_running(4)
    };
    world.submit_under(policy(1), 1, chain(vec![step]));
    world.run(3000);
    let before = open_cpu(&world);
    remove(&mut world, Change::None);
    world.run(NOTICE_MS);
    let after = open_cpu(&world);
    assert_eq!(after, before[..1]);
    let shares = world.queue_shares();
    let share = shares.iter().find(|s| *s.queue == *REMOVED);
    assert_eq!(share.expect("its runs hold capacity").held.cpu, 16_000);
}

/// Operators see that a removed queue has open jobs, and nothing of it is left after the last one.
#[test]
fn a_removed_queue_is_shown_until_its_last_job_is_over() {
    let mut world = world();
    world.submit_under(policy(1), 1, chain(vec![short(1, 3000)]));
    world.submit_under(policy(1), 2, chain(vec![long_running(1)]));
    world.run(NOTICE_MS);
    assert!(world.removed_queues().is_empty());
    remove(&mut world, Change::None);
    world.run(NOTICE_MS);
    let shown = |world: &World| -> Vec<(String, u64, bool)> {
        let row = |q: RemovedQueue| (q.queue.to_string(), q.jobs, q.has_policy);
        world.removed_queues().into_iter().map(row).collect()
    };
    assert_eq!(shown(&world), [(REMOVED.to_owned(), 2, true)]);
    world.run(3000);
    assert_eq!(shown(&world), [(REMOVED.to_owned(), 1, true)]);
    world.cancel(JobId(2));
    world.run(NOTICE_MS);
    assert!(shown(&world).is_empty());
}

/// More queues have jobs, and are removed, than one transaction of the store holds.
#[test]
fn the_policies_of_many_queues_are_stored() {
    const QUEUES: u64 = 300;
    let mut world = world();
    let name = |id| format!("queue {id:03}");
    let policies: Vec<QueuePolicy> = (0..QUEUES).map(|id| queue_policy(&name(id), 3)).collect();
    world.configure(&policies);
    for (id, policy) in (0..).zip(&policies) {
        world.submit_under(policy.clone(), id, chain(vec![long_running(1)]));
    }
    world.run(NOTICE_MS);
    world.configure(&[]);
    world.run(2000);
    assert_eq!(world.ledger.stored_queues().len() as u64, QUEUES);
    assert_eq!(world.removed_queues().len() as u64, QUEUES);
    for id in 0..QUEUES {
        world.cancel(JobId(id));
    }
    world.run(2 * NOTICE_MS);
    assert!(world.ledger.stored_queues().is_empty());
}

/// Queues are removed, changed and configured again at random, with takeovers in between, and
/// instances that lag accept jobs of them.
#[test]
fn random_series_of_configurations_leave_no_job_behind() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = world();
        let mut version = 1;
        for id in 1..=30 {
            let mut accepted = policy(version);
            accepted.priority = rng.random_range(0..3);
            let steps = (0..rng.random_range(1..4)).map(|_| short(2, 400));
            let spec = chain(steps.collect());
            let is_configured = world.policies.iter().any(|p| *p.queue == *REMOVED);
            match is_configured && rng.random_ratio(1, 4) {
                true => {
                    // The owner stores the policy with the next count.
                    world.submit_without_policy(REMOVED, id, spec);
                    world.run(NOTICE_MS);
                }
                false => {
                    world.submit_under(accepted, id, spec);
                }
            }
            if rng.random_ratio(1, 3) {
                version += 1;
                match rng.random_range(0..3) {
                    0 => world.configure(&[other()]),
                    1 => world.configure(&[other(), policy(version)]),
                    _ => world.configure(&[]),
                }
            }
            if rng.random_ratio(1, 8) {
                world.pause(true);
                let end = world.lease_end();
                world.take_over(end);
            }
            world.run(rng.random_range(0..600));
        }
        world.configure(&[other()]);
        assert!(world.run_until_done(60_000), "seed {seed}");
        let outcomes = world.job_ids().into_iter().map(|id| world.outcome(id));
        assert!(
            outcomes.into_iter().all(|o| o == Outcome::Complete),
            "seed {seed}"
        );
        check_invariants(&world, seed);
    }
}
