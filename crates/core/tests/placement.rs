//! Placement: edge cases of each policy, and the learned interference model.

mod common;

use common::{Fault, World, WorldSettings, check_invariants, spec};
use gorsespur_core::{
    placement::{Band, CoRunner, History, InterferenceModel, PlacementPolicy},
    shard::{AttemptId, JobState, Queue, Record, TaskRef},
    size::Size,
    template::Priority,
};
use test_case::test_case;

fn attempt(job: u32) -> AttemptId {
    AttemptId {
        job,
        task: 0,
        attempt: 1,
    }
}

fn world(policy: PlacementPolicy) -> World {
    let mut settings = WorldSettings::default();
    settings.shard.policy = policy;
    World::new(settings)
}

#[test_case(PlacementPolicy::Random)]
#[test_case(PlacementPolicy::LeastLoaded)]
#[test_case(PlacementPolicy::Interference)]
fn every_policy_keeps_the_promises(policy: PlacementPolicy) {
    let mut w = world(policy);
    for i in 0..12 {
        w.submit(spec(
            &format!("job{i}"),
            3,
            2_000 + i * 300,
            Priority::Normal,
        ));
    }
    assert!(w.run_until_finished(200_000));
    check_invariants(&w);
}

#[test]
fn least_loaded_spreads_tasks_over_workers() {
    let mut w = world(PlacementPolicy::LeastLoaded);
    w.submit(spec("job", 4, 20_000, Priority::Normal));
    w.run(1_500);
    let mut workers = Vec::new();
    for record in &w.journal {
        if let Record::Started { worker, size, .. } = record
            && size.cpu == 6_000
        {
            workers.push(worker.clone());
        }
    }
    workers.sort();
    workers.dedup();
    assert_eq!(workers.len(), 4);
}

#[test]
fn replicas_of_a_service_are_on_different_workers_and_racks() {
    let w = world(PlacementPolicy::Interference);
    let mut racks = Vec::new();
    for worker in w.owners[0].scheduler.workers() {
        let replicas = worker.allocations.iter().filter(|r| r.service).count();
        assert!(replicas <= 1);
        if replicas == 1 {
            racks.push(worker.rack.clone());
        }
    }
    racks.dedup();
    assert_eq!(racks.len(), 2);
}

#[test]
fn an_urgent_task_preempts_bulk_tasks_within_its_time() {
    let mut w = world(PlacementPolicy::Interference);
    w.submit(spec("bulk", 30, 600_000, Priority::Bulk));
    w.run(3_000);
    let before = w.now;
    w.submit(spec("urgent", 1, 500, Priority::Urgent));
    let mut started = None;
    while started.is_none() && w.now < before + 5_000 {
        w.run(20);
        let key = &w.submitted[1].0;
        let state = w.status(key).map(|s| s.state);
        if state.is_some_and(|s| s != JobState::Queued) {
            started = Some(w.now - before);
        }
    }
    let waited = started.expect("started");
    assert!(waited <= 2_200, "waited {waited} ms");
    check_invariants(&w);
}

#[test]
fn a_task_is_evicted_no_more_often_than_its_limit() {
    let mut w = world(PlacementPolicy::Interference);
    w.submit(spec("bulk", 30, 60_000, Priority::Bulk));
    w.run(2_000);
    for i in 0..40 {
        w.submit(spec(&format!("urgent{i}"), 2, 300, Priority::Urgent));
        w.run(1_000);
    }
    let state = w.owners[0].scheduler.state();
    let max = state
        .jobs()
        .iter()
        .flat_map(|j| &j.tasks)
        .map(|t| t.evictions)
        .max();
    assert!(max <= Some(5), "{max:?}");
}

#[test]
fn a_job_larger_than_any_worker_fails_with_its_reason() {
    let mut w = world(PlacementPolicy::Interference);
    let mut large = spec("large", 1, 1_000, Priority::Normal);
    large.size = Size::new(31_000, 1 << 30, 0);
    let key = large.key.clone();
    w.submit(large);
    w.run(1_000);
    let status = w.status(&key).expect("known");
    assert_eq!(status.state, JobState::Failed);
    assert!(status.reason.expect("a reason").contains("no worker holds"));
}

#[test]
fn a_failing_worker_is_quarantined_after_few_attempts() {
    let mut w = world(PlacementPolicy::LeastLoaded);
    w.inject(Fault::WorkerFailsAll, 1);
    for i in 0..20 {
        w.submit(spec(&format!("job{i}"), 1, 500, Priority::Normal));
    }
    w.run(6_000);
    let failed = w.journal.iter().filter(|r| {
        matches!(
            r,
            Record::Ended {
                end: gorsespur_core::shard::End::Failed,
                ..
            }
        )
    });
    let failed = failed.count();
    assert!((1..=8).contains(&failed), "{failed} failures");
    assert!(w.run_until_finished(60_000));
    for (key, _) in &w.submitted {
        assert_eq!(w.status(key).expect("known").state, JobState::Done);
    }
}

#[test]
fn a_wave_of_cancellations_leaves_nothing_behind() {
    let mut w = world(PlacementPolicy::Interference);
    for i in 0..500 {
        w.submit(spec(&format!("job{i}"), 2, 600_000, Priority::Normal));
    }
    w.run(2_000);
    for pick in 0..4 {
        w.inject(Fault::Cancels, pick);
    }
    assert!(w.run_until_finished(30_000));
    check_invariants(&w);
    for worker in w.owners[0].scheduler.workers() {
        assert!(worker.allocations.iter().all(|r| r.service));
    }
}

#[test]
fn queued_tasks_are_taken_by_priority_and_delayed_ones_when_due() {
    let mut queue = Queue::default();
    let task = |job| TaskRef { job, task: 0 };
    queue.push(Priority::Bulk, 0, task(1), 5);
    queue.push(Priority::Urgent, 1, task(2), 6);
    queue.push_delayed(50, Priority::Urgent, 1, task(3));
    assert_eq!((queue.len(), queue.teams(Priority::Urgent)), (3, vec![1]));
    queue.promote_delayed(49);
    assert_eq!(queue.pop(Priority::Urgent, 1).expect("ready").task, task(2));
    assert!(queue.pop(Priority::Urgent, 1).is_none(), "not yet");
    queue.promote_delayed(50);
    assert_eq!(queue.pop(Priority::Urgent, 1).expect("ready").since, 50);
    assert!(!queue.is_empty());
}

#[test]
fn a_late_sample_is_matched_with_what_ran_then() {
    let mut history = History::default();
    let runner = |job, class| CoRunner {
        attempt: attempt(job),
        class,
    };
    history.begin(runner(1, 0), 1_000);
    history.begin(runner(2, 1), 2_000);
    history.end(attempt(2), 3_000);
    history.begin(runner(3, 2), 4_000);
    let classes = |at| -> Vec<u16> { history.running_at(at).iter().map(|c| c.class).collect() };
    assert_eq!(classes(500), Vec::<u16>::new());
    assert_eq!(classes(2_500), [0, 1]);
    assert_eq!(classes(3_000), [0]);
    assert_eq!(classes(9_000), [0, 2]);
}

#[test]
fn the_interfering_neighbour_is_learned_and_a_change_is_followed() {
    let mut model = InterferenceModel::default();
    model.grow(3);
    let band = Band::of(0.7);
    assert!(!model.estimate(0, 1, band).known);
    for i in 0..200 {
        model.learn(0, &[1, 2], band, 1.8, i * 100);
        model.learn(0, &[2], band, 1.0, i * 100);
    }
    let (noisy, quiet) = (model.estimate(0, 1, band), model.estimate(0, 2, band));
    assert!(noisy.known && noisy.added_slowdown > 0.6, "{noisy:?}");
    assert!(quiet.known && quiet.added_slowdown < 0.2, "{quiet:?}");
    for i in 200..400 {
        model.learn(0, &[1], band, 1.0, i * 100);
        model.learn(0, &[2], band, 1.8, i * 100);
    }
    assert!(model.estimate(0, 1, band).added_slowdown < 0.1);
    assert!(model.estimate(0, 2, band).added_slowdown > 0.6);
}

#[test]
fn a_term_unknown_in_one_band_is_taken_from_another() {
    let mut model = InterferenceModel::default();
    model.grow(2);
    model.learn(0, &[1], Band::of(0.9), 2.0, 0);
    let low = model.estimate(0, 1, Band::of(0.1));
    assert!(low.known && low.added_slowdown > 0.2, "{low:?}");
    model.grow(5);
    assert_eq!(
        model.estimate(0, 1, Band::of(0.1)),
        low,
        "kept when the table grows"
    );
    assert!(
        !model.estimate(1, 0, Band::of(0.1)).known,
        "pairs are ordered"
    );
}

#[test_case(f32::NAN; "no number")]
#[test_case(f32::INFINITY; "infinite")]
#[test_case(-5.0; "negative")]
#[test_case(1e9; "absurd")]
fn an_absurd_sample_has_no_permanent_effect(slow: f32) {
    let mut model = InterferenceModel::default();
    model.grow(2);
    model.learn(0, &[1], Band(0), slow, 0);
    let e = model.estimate(0, 1, Band(0));
    assert!(
        e.added_slowdown.is_finite() && (0.0..=4.0).contains(&e.added_slowdown),
        "{e:?}"
    );
}
