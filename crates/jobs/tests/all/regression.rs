//! Bugs that were found, each with its cause and the day that showed it.

use crate::common::{Mode, World, WorldSettings, chain, serving, short};
use gorsespur_jobs::{Event, Outcome, Step};

fn best_effort(count: u32, estimate: u64) -> Step {
    Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(count, estimate)
    }
}

/// Lasting tasks waited for 16 s beside free workers.
///
/// Cause: after one failure a worker with other runs got no work until one did
/// well, and lasting tasks never end. Found by a hunt: weldcert, mix seed
/// 990066804524, LOST 5.
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

/// Serves and fills on one worker whose tail goes through these percents of its target,
/// one each half second, from `after` milliseconds on; returns the longest time that
/// something fills then, in milliseconds.
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
    let (mut harmed, mut longest, mut filled) = (0, 0, false);
    for _ in 0..200 {
        world.run(50);
        let runs = &world.workers[0].runs;
        match runs.iter().any(|r| r.best_effort && r.pace > 0) {
            true => {
                harmed += 50;
                filled = true;
            }
            false => harmed = 0,
        }
        longest = longest.max(harmed);
    }
    assert!(filled);
    longest
}

/// A serving task stayed over its target for 4 s while others filled beside it.
///
/// Cause: the time over the target began anew with each figure a little below it,
/// and figures are rough. Found by a hunt: tmdro, mix seed 652337052647, HARM 1.
#[test]
fn one_low_figure_does_not_end_the_time_over_the_target() {
    assert!(longest_over_target(1000, &[105, 102, 85, 104]) < 4000);
}

/// The same, by a figure that was off by a quarter.
///
/// Cause: the time began anew below 0.8 of the target, and harmless tasks, as far as
/// was known, were stopped only 2.3 s after that. Found by a hunt: weldcert, scale-2
/// seed 880420665051, HARM 2; its replay did not break the rule again.
#[test]
fn a_very_low_figure_does_not_end_the_time_over_the_target() {
    assert!(longest_over_target(1000, &[105, 102, 76, 104]) < 4000);
}

/// The same, from the moment on at which many tasks began to fill.
///
/// Cause: how long a tail is over its target was asked at looks only, which come each
/// second, and the first one after that moment is not yet above it. Found by a hunt:
/// weldcert, trouble-2 seed 1055382634003 and mix 101064284358, HARM 1 and 2.
#[test]
fn what_fills_is_stopped_half_a_second_before_it_is_harm() {
    let phases = (1000..2200).step_by(100);
    let longest = phases.map(|after| longest_over_target(after, &[120])).max();
    assert!(
        longest < Some(3000),
        "{longest:?} ms, and half a second unseen"
    );
}

/// A filling task began at full pace beside a tail that was over its target.
///
/// Cause: what is slowed by force says nothing of the pairs' estimates, by which
/// alone placement went. Found by a hunt: tmdro, scale-1 seed 316635378611, HARM 1.
#[test]
fn nothing_begins_to_fill_beside_a_tail_over_its_target() {
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
    // Neither when the job has waited for long.
    world.run(2500);
    assert!(world.workers[0].runs.iter().all(|r| !r.best_effort));
}

/// A lasting task waited for 16 s beside free room on workers that had hung.
///
/// Cause: each run that hung counted, and the time in which a worker gets no more
/// than two tries grew with their number; tries that were stopped for other
/// reasons told nothing. Found by a hunt: weldcert, mix seed 922267186269, LOST 3.
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
    // The tries are stopped before they can tell anything.
    for id in 2..40 {
        let tried = world.submit(id, chain(vec![short(1, 5_000)]));
        world.run(300);
        world.cancel(tried);
    }
    let id = world.submit(100, chain(vec![serving(1)]));
    world.run(5000);
    assert_eq!(world.outcome(id), Outcome::Active);
}

/// Lasting tasks waited for 12 s while short ones took each piece of room.
///
/// Cause: short jobs that can be in time went first, and their tasks are smaller, so
/// that no worker ever had room for a lasting one. Found by a hunt: weldcert-grown,
/// mix seed 587888487123, LOST 19, after a seventh of the workers was lost.
#[test]
fn a_lasting_task_that_has_waited_for_long_gets_the_next_room() {
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
    let lasting = world.submit(1, chain(vec![large]));
    for id in 110..190 {
        world.submit(id, chain(vec![small(id)]));
        world.run(100);
    }
    assert_eq!(world.outcome(lasting), Outcome::Active);
}

/// The same, where the worker with the most room runs as many tasks of the step as it
/// may; room was kept there in vain. Found by a hunt: tmdro, mix seed 729927415041,
/// LOST 2. This holds without the change too; the replay of the day did not.
#[test]
fn room_is_kept_where_the_task_may_run() {
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

/// A lasting task waited beside five free cores, since these were kept for a larger one that
/// never gets room there: three cores are taken by a lasting task without a target, which
/// placement takes for one that will end. Found while another wait was traced, in no day.
#[test]
fn room_is_not_kept_beside_what_lasts() {
    let mut world = World::new(WorldSettings {
        workers: 3,
        ..WorldSettings::default()
    });
    world.run(100);
    let lasting = |label: &str, cpu: u64, target: u64| Step {
        cpu,
        latency_target: target,
        label: Some(label.into()),
        ..serving(1)
    };
    // The rack r0 has the first two workers: three cores of one are taken, all of the other.
    world.submit(51, chain(vec![lasting("r0", 3000, 0)]));
    world.run(100);
    world.submit(50, chain(vec![lasting("r0", 8000, 100)]));
    world.submit(53, chain(vec![lasting("r1", 7000, 100)]));
    world.run(500);
    let small = world.submit(1, chain(vec![lasting("a", 1000, 100)]));
    world.run(500);
    world.submit(2, chain(vec![lasting("r0", 6000, 100)]));
    world.run(3000);
    let at = |world: &World| {
        let has = |w: &crate::common::SimWorker| w.runs.iter().any(|r| r.task.job == small);
        world.workers.iter().position(has)
    };
    assert_eq!(at(&world), Some(2), "beside the one of seven cores");
    world.announce(2, false);
    world.run(1500);
    world.workers[2].alive = false;
    world.workers[2].runs.clear();
    world.notify(Event::WorkerRemoved("w2".into()));
    world.run(10_000);
    assert!(at(&world).is_some(), "it does not run");
}
