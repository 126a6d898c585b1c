//! Regression tests of faults that were found under load, each with its cause.

use crate::common::{Mode, World, WorldSettings, chain, serving, short};
use gorsespur_jobs::{Event, Outcome, Step};

fn best_effort(count: u32, estimate: u64) -> Step {
    Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(count, estimate)
    }
}

/// Long-running tasks waited for 16 s beside free workers.
///
/// Cause: after one failure a worker with other runs got no work until one of them succeeded, and
/// long-running tasks never end.
#[test]
fn a_worker_is_tried_again_though_its_runs_never_end() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(2)]));
    world.run(1000);
    world.workers[0].mode = Mode::FailsAll;
    world.submit(2, chain(vec![short(1, 500)]));
    world.run(400);
    world.workers[0].mode = Mode::Healthy;
    let id = world.submit(3, chain(vec![serving(1)]));
    world.run(6000);
    assert_eq!(world.outcome(id), Outcome::Active);
}

/// Runs a serving task and best-effort tasks on one worker. From `after` milliseconds on the tail
/// latency has these percents of its target, one for each half second. Returns the longest time
/// from then on for which a best-effort task runs, in milliseconds.
fn longest_over_target(after: u64, tails: &[u64]) -> u64 {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.run(1000);
    world.submit(2, chain(vec![best_effort(3, 60_000)]));
    world.run(after);
    world.workers[0].tail_percents = tails.to_vec();
    let (mut over_ms, mut longest, mut was_used) = (0, 0, false);
    for _ in 0..200 {
        world.run(50);
        let runs = &world.workers[0].runs;
        match runs.iter().any(|r| r.best_effort && r.pace > 0) {
            true => {
                over_ms += 50;
                was_used = true;
            }
            false => over_ms = 0,
        }
        longest = longest.max(over_ms);
    }
    assert!(was_used);
    longest
}

/// A serving task stayed over its target for 4 s beside best-effort tasks.
///
/// Cause: the time over the target restarted with each metric slightly below the target, and
/// metrics vary.
#[test]
fn one_low_metric_does_not_end_the_time_over_the_target() {
    assert!(longest_over_target(1000, &[105, 102, 85, 104]) < 4000);
}

/// The same, by a metric that was off by a quarter.
///
/// Cause: the time over the target restarted at a metric below 0.8 of the target, and tasks that
/// were assumed harmless were stopped only 2.3 s after that.
#[test]
fn a_very_low_metric_does_not_end_the_time_over_the_target() {
    assert!(longest_over_target(1000, &[105, 102, 76, 104]) < 4000);
}

/// The same, from the moment at which many best-effort tasks started.
///
/// Cause: the time over the target was evaluated only at polls, which are a second apart, and the
/// first poll after that moment reports a tail latency that is not yet over the target.
#[test]
fn best_effort_tasks_stop_half_a_second_before_they_do_harm() {
    let phases = (1000..2200).step_by(100);
    let longest = phases.map(|after| longest_over_target(after, &[120])).max();
    assert!(
        longest < Some(3000),
        "{longest:?} ms, and half a second until it was observed"
    );
}

/// A best-effort task started at full pace beside a serving task that was over its target.
///
/// Cause: placement used only the estimated interference of pairs, which does not show the tasks
/// that are slowed by force.
#[test]
fn no_best_effort_task_starts_beside_a_tail_over_its_target() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.run(1000);
    world.workers[0].tail_percents = vec![105];
    world.run(1500);
    world.submit(2, chain(vec![best_effort(2, 60_000)]));
    world.run(300);
    assert!(world.workers[0].runs.iter().all(|r| !r.best_effort));
    // The same holds after the job has waited for long.
    world.run(2500);
    assert!(world.workers[0].runs.iter().all(|r| !r.best_effort));
}

/// A long-running task waited for 16 s beside free capacity on workers with runs that had hung.
///
/// Cause: each run that hung counted, and the time for which a worker gets no more than two probes
/// grew with their number. Probes that were stopped for other reasons gave no result.
#[test]
fn a_worker_on_which_many_hung_is_tried_again_soon() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        attempts: 50,
        ..WorldSettings::default()
    });
    world.run(100);
    world.workers[0].mode = Mode::Hangs;
    let hung = world.submit(1, chain(vec![short(7, 500)]));
    world.run(4000);
    world.cancel(hung);
    world.run(1000);
    world.workers[0].mode = Mode::Healthy;
    // The probes are stopped before they give a result.
    for id in 2..40 {
        let probe = world.submit(id, chain(vec![short(1, 5_000)]));
        world.run(300);
        world.cancel(probe);
    }
    let id = world.submit(100, chain(vec![serving(1)]));
    world.run(5000);
    assert_eq!(world.outcome(id), Outcome::Active);
}

/// Long-running tasks waited for 12 s while short tasks took all capacity that became free.
///
/// Cause: short jobs that can be in time came first, and their tasks are smaller, so that no
/// worker ever had capacity for a long-running one. It occurred after a seventh of the workers had
/// been lost.
#[test]
fn a_long_running_task_that_has_waited_gets_the_next_capacity() {
    let mut world = World::new(WorldSettings {
        workers: 2,
        ..WorldSettings::default()
    });
    world.run(100);
    let small = |id: u64| Step {
        cpu: 2000,
        ..short(1, 900 + id % 7 * 30)
    };
    for id in 100..110 {
        world.submit(id, chain(vec![small(id)]));
    }
    world.run(100);
    let large = Step {
        cpu: 6000,
        ..serving(1)
    };
    let waiting = world.submit(1, chain(vec![large]));
    for id in 110..190 {
        world.submit(id, chain(vec![small(id)]));
        world.run(100);
    }
    assert_eq!(world.outcome(waiting), Outcome::Active);
}

/// The same, where the worker with the most free capacity runs as many tasks of the step as
/// allowed, so that capacity was reserved there in vain. This test also passes without the fix; a
/// replay of the recorded load does not.
#[test]
fn capacity_is_reserved_where_the_task_may_run() {
    let mut world = World::new(WorldSettings {
        workers: 2,
        ..WorldSettings::default()
    });
    world.run(100);
    let small = |id: u64| short(1, 700 + id * 37 % 600);
    for id in 100..124 {
        world.submit(id, chain(vec![small(id)]));
    }
    world.run(100);
    let large = Step {
        cpu: 4000,
        max_per_worker: 1,
        ..serving(2)
    };
    world.submit(1, chain(vec![large]));
    for id in 124..374 {
        world.submit(id, chain(vec![small(id)]));
        world.run(40);
    }
    let runs = world.workers.iter().flat_map(|w| &w.runs);
    assert_eq!(runs.filter(|r| r.long_running).count(), 2);
}

/// A long-running task waited beside five free cores that were reserved for a larger task, which
/// never got capacity there: a long-running task without a latency target uses three cores, and
/// placement assumed that it would end.
#[test]
fn capacity_is_not_reserved_beside_long_running_tasks() {
    let mut world = World::new(WorldSettings {
        workers: 3,
        ..WorldSettings::default()
    });
    world.run(100);
    let serving_step = |label: &str, cpu: u64, target: u64| Step {
        cpu,
        latency_target: target,
        label: Some(label.into()),
        ..serving(1)
    };
    // Rack r0 has the first two workers: one has three cores in use, the other one all.
    world.submit(51, chain(vec![serving_step("r0", 3000, 0)]));
    world.run(100);
    world.submit(50, chain(vec![serving_step("r0", 8000, 100)]));
    world.submit(53, chain(vec![serving_step("r1", 7000, 100)]));
    world.run(500);
    let small = world.submit(1, chain(vec![serving_step("a", 1000, 100)]));
    world.run(500);
    world.submit(2, chain(vec![serving_step("r0", 6000, 100)]));
    world.run(3000);
    let at = |world: &World| {
        let has = |w: &crate::common::SimWorker| w.runs.iter().any(|r| r.task.job == small);
        world.workers.iter().position(has)
    };
    assert_eq!(at(&world), Some(2), "not beside the task of seven cores");
    world.announce(2, false);
    world.run(1500);
    world.workers[2].alive = false;
    world.workers[2].runs.clear();
    world.notify(Event::WorkerRemoved("w2".into()));
    world.run(10_000);
    assert!(at(&world).is_some(), "not running");
}
