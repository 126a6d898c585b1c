//! Regression tests, each with the cause of its bug.

mod common;

use common::{Fault, World, WorldSettings, check_invariants, spec};
use gorsespur_core::{
    shard::{Event, JobState, ShardId, ShardScheduler, ShardSettings, ShardState, Takeover},
    template::Priority,
};

/// A worker was never polled again after its answer was lost inside the owner.
///
/// The scheduler waited for the result of each exchange without a timeout. An
/// owner that is paused during an outage of the table service loses the answers
/// that arrive meanwhile.
#[test]
fn a_missing_answer_does_not_end_the_exchanges() {
    let mut world = World::new(WorldSettings::default());
    world.submit(spec("job", 3, 3_000, Priority::Normal));
    world.run(500);
    world.inject(Fault::StoreDown, 0);
    world.inject(Fault::OwnerPaused, 0);
    assert!(world.run_until_finished(120_000));
    check_invariants(&world);
}

/// A task failed permanently although its attempts had failed on one worker only.
///
/// While the other workers were full, the worker on which a task had failed was
/// the only one with free capacity and received the task again until the limit
/// of attempts was reached.
#[test]
fn a_task_is_not_tried_again_where_it_failed() {
    let mut world = World::new(WorldSettings {
        workers: 3,
        replicas: 0,
        ..WorldSettings::default()
    });
    for i in 0..14 {
        world.submit(spec(&format!("long{i}"), 1, 40_000, Priority::Normal));
    }
    world.run(1_000);
    world.inject(Fault::WorkerFailsAll, 2);
    world.submit(spec("one", 1, 1_000, Priority::Normal));
    for _ in 0..10 {
        world.run(8_500);
        world.inject(Fault::WorkerFailsAll, 2);
    }
    assert!(world.run_until_finished(300_000));
    for (key, _) in &world.submitted {
        let status = world.status(key).expect("known");
        assert_eq!(status.failed, 0, "{key:?}");
    }
}

/// Tasks on a worker that had left the membership list before a takeover stayed active.
///
/// The new owner searched for such workers only when the list changed again. This
/// happens if a worker is killed just before its shard moves.
#[test]
fn tasks_of_a_worker_that_left_the_list_before_a_takeover_run_again() {
    let mut world = World::new(WorldSettings {
        hold: 3_000,
        ..WorldSettings::default()
    });
    world.submit(spec("job", 8, 20_000, Priority::Normal));
    world.run(2_000);
    world.inject(Fault::OwnerDies, 0);
    world.kill_worker(1);
    assert!(world.run_until_finished(120_000));
    check_invariants(&world);
}

/// A job that arrived before the templates failed immediately.
///
/// The quota of a team without a known template was taken as zero, so the job
/// was too large for it. This happens if a new owner reads its inbox before it
/// receives the templates.
#[test]
fn a_job_that_comes_before_the_templates_is_kept() {
    let mut m = ShardScheduler::new(
        ShardId {
            name: "shard".into(),
            index: 0,
            count: 1,
        },
        ShardSettings::default(),
        1,
        Takeover {
            epoch: 1,
            state: ShardState::default(),
            next_record: 0,
            inherited_hold: 0,
            settled: true,
        },
        1_000,
    );
    let job = spec("early", 1, 1_000, Priority::Normal);
    m.step(1_000, &Event::Submit(vec![job.clone()]));
    assert_eq!(
        m.state().find(&job.key).expect("kept").state(),
        JobState::Queued
    );
}

/// A worker with a replica of a service never left its quarantine.
///
/// After a quarantine a worker receives one task at a time. It counted as free
/// only without any allocation, but replicas stay allocated during a
/// quarantine, so without the other workers no task ran any more.
#[test]
fn a_quarantined_worker_with_a_replica_is_tried_again() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        replicas: 1,
        ..WorldSettings::default()
    });
    world.inject(Fault::WorkerFailsAll, 0);
    for i in 0..4 {
        world.submit(spec(&format!("job{i}"), 1, 1_000, Priority::Normal));
    }
    assert!(world.run_until_finished(200_000));
    check_invariants(&world);
    world.submit(spec("after", 1, 1_000, Priority::Normal));
    assert!(
        world.run_until_finished(60_000),
        "the worker receives no task after its quarantine"
    );
}
