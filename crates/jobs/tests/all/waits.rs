//! What can run goes on, whatever holds others back.

use crate::common::{
    Mode, World, WorldSettings, chain, long_running, serving, short, with_checkpoints,
};
use gorsespur_jobs::{Capacity, Event, JobId, Schedule, Spec, Step, TaskId, WorkerInfo};
use test_case::test_case;

const WORKERS: usize = 8;

/// Milliseconds between two looks at what runs.
const SAMPLE_MS: u64 = 100;

/// Milliseconds after which users count a job as lost of which nothing runs ...
const MAX_WAIT_MS: u64 = 3000;

/// ... or a lasting task.
const MAX_LONG_RUNNING_WAIT_MS: u64 = 6000;

/// A job whose name comes last in every order that is drawn from names.
const LAST_JOB: u64 = 0x46a7_6c98_01ea_bfcf;

/// A job whose name comes first in them.
const FIRST_JOB: u64 = 0x9345_a9f5_82f4_1895;

fn world(workers: usize) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        ..WorldSettings::default()
    });
    world.run(SAMPLE_MS);
    world
}

/// A step whose tasks fill, and save their progress.
fn best_effort(image: &str, count: u32, estimate: u64) -> Step {
    with_checkpoints(Step {
        best_effort: true,
        memory: 500,
        image: Some(image.into()),
        ..short(count, estimate)
    })
}

fn is_running(world: &World, id: JobId) -> bool {
    let mut runs = world.workers.iter().flat_map(|w| &w.runs);
    runs.any(|r| r.task.job == id)
}

/// Plays on for `ms` and returns the longest time for which nothing of a job ran that was not
/// over.
fn longest_wait(world: &mut World, id: JobId, ms: u64) -> u64 {
    let end = world.now + ms;
    let (mut since, mut longest) = (world.now, 0);
    while world.now < end {
        world.run(SAMPLE_MS);
        if is_running(world, id) || world.outcome(id).is_final() {
            since = world.now;
        }
        longest = longest.max(world.now - since);
    }
    longest
}

/// All that serves has figures like these, in percent of the targets.
fn set_tails(world: &mut World, tails: &[u64]) {
    for worker in &mut world.workers {
        worker.tail_percents = tails.to_vec();
    }
}

/// A world in which a task serves on each worker, with tails like these.
fn serving_world(tails: &[u64]) -> World {
    let mut world = world(WORKERS);
    set_tails(&mut world, tails);
    let serve = Step {
        max_per_worker: 1,
        ..serving(WORKERS as u32)
    };
    world.submit(1, chain(vec![serve]));
    world.run(5000);
    world
}

/// Tails are over their targets by their own load for good: what fills harms nothing then, and
/// most of the room is free.
#[test]
fn what_fills_begins_where_tails_are_over_their_targets_by_themselves() {
    let mut world = serving_world(&[120]);
    let id = world.submit(LAST_JOB, chain(vec![best_effort("light", 4, 1000)]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Tails are over their targets until the load ends, and there are no figures from then on.
#[test]
fn what_fills_begins_after_the_last_figure_was_over_its_target() {
    let mut world = serving_world(&[120]);
    set_tails(&mut world, &[0]);
    world.run(5000);
    let id = world.submit(LAST_JOB, chain(vec![best_effort("light", 4, 1000)]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// What fills is halted by a peak, after which there are no figures; it can't move.
#[test]
fn what_is_halted_goes_on_after_the_last_figure_was_over_its_target() {
    let mut world = serving_world(&[60]);
    let step = Step {
        checkpoints: false,
        ..best_effort("light", 4, 5000)
    };
    let id = world.submit(LAST_JOB, chain(vec![step]));
    world.run(2000);
    assert!(is_running(&world, id));
    set_tails(&mut world, &[130]);
    world.run(4000);
    set_tails(&mut world, &[0]);
    world.run(30_000);
    assert!(world.outcome(id).is_final(), "it is halted for good");
}

/// Another service's workers are full, or have little on them: this one's are not full.
#[test_case(100; "where the other one is idle")]
#[test_case(7500; "where the other one is full")]
fn a_full_service_holds_back_nothing_of_another_one(cpu: u64) {
    let mut world = world(WORKERS);
    set_tails(&mut world, &[60]);
    for (id, rack) in [(11, "r2"), (12, "r3")] {
        let other = Step {
            cpu,
            max_per_worker: 1,
            label: Some(rack.into()),
            ..long_running(2)
        };
        world.submit(id, chain(vec![other]));
    }
    world.run(1000);
    for at in WORKERS / 2..WORKERS {
        let worker = &world.workers[at];
        let info = WorkerInfo {
            start_time: None,
            id: worker.id.clone(),
            addr: format!("127.0.0.1:{}", 1000 + at).parse().expect("address"),
            service: "other".into(),
            zone: World::zone(at),
            labels: Vec::new(),
            rack: "r".into(),
            capacity: Capacity {
                cpu: worker.capacity.0,
                memory: worker.capacity.1,
                gpu: 0,
            },
            ready: true,
            remaining_ms: 0,
        };
        world.notify(Event::WorkerUpdated(info));
    }
    let serve = Step {
        cpu: 1200,
        max_per_worker: 1,
        ..serving(4)
    };
    world.submit(1, chain(vec![serve]));
    world.run(5000);
    world.submit(FIRST_JOB, chain(vec![best_effort("light", 1000, 4000)]));
    world.run(10_000);
    let id = world.submit(LAST_JOB, chain(vec![best_effort("unknown", 300, 4000)]));
    let wait = longest_wait(&mut world, id, 40_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Tasks that fill, of an image that is not known beside what serves.
#[test_case(false; "beside others")]
#[test_case(true; "as a gang")]
fn what_may_disturb_everywhere_begins(gang: bool) {
    let mut world = serving_world(&[60]);
    let gang = Step {
        gang,
        cpu: 2000,
        ..best_effort("unknown", 2, 2000)
    };
    let id = world.submit(LAST_JOB, chain(vec![gang]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// The first of two steps that don't depend on each other can't run; the other one can.
#[test_case(Step { label: Some("none".into()), ..short(1, 1000) }; "no worker has its label")]
#[test_case(Step { gang: true, cpu: 8000, ..short(20, 1000) }; "it is too wide")]
fn a_step_that_can_not_run_holds_back_no_other_one(first: Step) {
    let mut world = world(WORKERS);
    let spec = Spec {
        payload: "work".into(),
        steps: vec![first, short(3, 1000)],
        ..Spec::default()
    };
    let id = world.submit(LAST_JOB, spec);
    world.run(10_000);
    let other = |t: &TaskId| t.job == id && t.step == 1;
    let done = world.checker.done.iter().filter(|t| other(t)).count();
    assert_eq!(done, 3, "tasks of the other step are done");
}

/// What fills leaves room in pieces on each worker, and takes each that ends.
#[test_case(Step { memory: 13_000, ..long_running(1) }, 1500, MAX_LONG_RUNNING_WAIT_MS; "that lasts")]
#[test_case(Step { memory: 11_000, ..short(1, 2000) }, 900, MAX_WAIT_MS; "that ends where less than half is taken")]
fn a_task_gets_room_that_lies_in_pieces(step: Step, memory: u64, lost: u64) {
    let mut world = world(WORKERS);
    for at in 0..12 {
        // One on each worker; they don't end at once.
        let small = Step {
            memory,
            max_per_worker: 1,
            estimate: 1500 + 170 * at,
            ..best_effort("light", 300, 0)
        };
        world.submit(100 + at, chain(vec![small]));
    }
    world.run(10_000);
    let used: u64 = world.workers.iter().map(|w| w.used().1).sum();
    let id = world.submit(LAST_JOB, chain(vec![step]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < lost, "{wait} ms, {used} MB of 128000 were taken");
}

/// Answers were late for a while, so that few starts may be under way; a gang comes first that
/// is wider than that and fits nowhere.
#[test_case(0; "without it")]
#[test_case(20; "with it")]
fn a_gang_that_fits_nowhere_takes_no_starts_from_others(wide: u32) {
    let mut world = world(WORKERS);
    world.link_ms = 6;
    let small = Step {
        cpu: 100,
        memory: 100,
        ..short(600, 1000)
    };
    world.submit(100, chain(vec![small]));
    world.run(3000);
    world.link_ms = 0;
    if wide > 0 {
        let gang = Step {
            gang: true,
            cpu: 8000,
            ..long_running(wide)
        };
        world.submit(FIRST_JOB, chain(vec![gang]));
    }
    world.run(5000);
    let id = world.submit(LAST_JOB, chain(vec![short(2, 500)]));
    let held = world.stats().throttled_passes;
    let wait = longest_wait(&mut world, id, 30_000);
    let held = world.stats().throttled_passes - held;
    assert!(wait < MAX_WAIT_MS, "{wait} ms, {held} passes held");
}

/// Each worker has a task that may have crashed some, and most of their processors are free.
#[test]
fn suspects_that_wait_hold_back_no_others() {
    let mut world = world(WORKERS);
    world.submit(
        1,
        chain(vec![Step {
            max_per_worker: 1,
            ..short(8, 600_000)
        }]),
    );
    world.run(2000);
    for _ in 0..4 {
        for at in 0..WORKERS {
            world.lose_power(at);
        }
        world.run(12_000);
    }
    for at in 0..WORKERS {
        if world.workers[at].runs.len() == 1 {
            world.crash(at);
        }
        world.run(700);
    }
    world.run(6000);
    let id = world.submit(LAST_JOB, chain(vec![short(2, 500)]));
    let wait = longest_wait(&mut world, id, 60_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// A world of which a lasting job takes all room, and more jobs wait for a label that no worker
/// has than a pass can rate.
fn unplaceable_world(times: u32) -> (World, JobId) {
    let mut world = world(400);
    let all = Step {
        cpu: 8000,
        max_per_worker: 1,
        ..long_running(400)
    };
    let all = world.submit(1, chain(vec![all]));
    world.run(1000);
    for id in 0..1200 {
        let step = Step {
            label: Some("none".into()),
            ..short(1, 100)
        };
        let spec = Spec {
            schedule: Schedule {
                repetitions: times,
                ..Schedule::default()
            },
            ..chain(vec![step])
        };
        world.submit(1000 + id, spec);
    }
    (world, all)
}

/// One late job that comes before all others of the order has tasks that fit.
#[test_case(0; "that are late")]
#[test_case(1; "that have a time, and are never late")]
fn jobs_that_fit_nowhere_hold_back_no_late_one(times: u32) {
    let (mut world, all) = unplaceable_world(times);
    let id = world.submit(FIRST_JOB, chain(vec![short(2000, 500)]));
    world.run(4000);
    world.cancel(all);
    world.run(6000);
    let done = world.checker.done.iter().filter(|t| t.job == id).count();
    assert_eq!(
        done, 2000,
        "tasks that are done 6 s after there is room for all at once"
    );
}

/// Late jobs that fit nowhere cost a pass no more than others do.
#[test]
fn late_jobs_that_fit_nowhere_are_rated_within_bounds() {
    let (mut world, all) = unplaceable_world(0);
    world.cancel(all);
    world.run(4000);
    let before = world.stats();
    world.run(1000);
    let after = world.stats();
    let each = (after.ratings - before.ratings) / (after.passes - before.passes);
    assert!(each <= 300_400, "{each} ratings in each pass");
}

/// A job takes all that is left to what fills; a gang that fills comes last in every order, and
/// most of the room is free.
#[test_case(false; "beside others")]
#[test_case(true; "as a gang")]
fn what_fills_begins_beside_a_job_that_takes_all(gang: bool) {
    let mut world = serving_world(&[30]);
    for worker in &mut world.workers {
        worker.task_ms = Some(4000);
    }
    world.submit(FIRST_JOB, chain(vec![best_effort("light", 1000, 4000)]));
    world.run(10_000);
    // It is late at once.
    let step = Step {
        gang,
        ..best_effort("light", 2, 1)
    };
    let id = world.submit(LAST_JOB, chain(vec![step]));
    let wait = longest_wait(&mut world, id, 40_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Tasks fail by their own fault on all workers, and no others have ended there of late.
#[test]
fn jobs_that_fail_hold_back_no_others() {
    let mut world = world(WORKERS);
    for worker in &mut world.workers {
        worker.mode = Mode::FailsAll;
    }
    for id in 0..30 {
        world.submit(100 + id, chain(vec![short(3, 100)]));
    }
    world.run(3000);
    for worker in &mut world.workers {
        worker.mode = Mode::Healthy;
    }
    let id = world.submit(LAST_JOB, chain(vec![short(2, 500)]));
    let wait = longest_wait(&mut world, id, 20_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// A world whose workers all failed of late, and that have nothing to do.
fn failed_world() -> World {
    let mut world = world(WORKERS);
    for worker in &mut world.workers {
        worker.mode = Mode::FailsAll;
    }
    let once = Step {
        max_per_worker: 1,
        ..short(WORKERS as u32, 200)
    };
    world.submit(100, chain(vec![once]));
    world.run(120);
    world.cancel(JobId(100));
    for worker in &mut world.workers {
        worker.mode = Mode::Healthy;
    }
    world.run(1000);
    assert!(world.workers.iter().all(|w| w.runs.is_empty()));
    world
}

/// A gang that no room can hold is tried again and again: that uses up no trial of a worker that
/// failed, so that a task behind it begins.
#[test]
fn a_gang_that_fits_nowhere_uses_up_no_trials() {
    let mut world = failed_world();
    let gang = Step {
        gang: true,
        image: Some("wide".into()),
        ..short(9 * WORKERS as u32, 1000)
    };
    world.submit(FIRST_JOB, chain(vec![gang]));
    world.run(500);
    let id = world.submit(LAST_JOB, chain(vec![short(2, 500)]));
    let wait = longest_wait(&mut world, id, 20_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// A gang with more tasks than workers are tried with after a failure begins there.
#[test]
fn a_gang_that_is_wider_than_a_trial_begins() {
    let mut world = failed_world();
    let gang = Step {
        gang: true,
        ..short(7 * WORKERS as u32, 1000)
    };
    let id = world.submit(LAST_JOB, chain(vec![gang]));
    let wait = longest_wait(&mut world, id, 20_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Room that a gang would have taken counts as free again for tasks of its size.
#[test]
fn a_gang_that_fits_nowhere_holds_back_no_task_of_its_size() {
    let mut world = world(WORKERS);
    // Both are in time for long, so that the gang comes first.
    let step = Step {
        cpu: 5000,
        ..short(1, 60_000)
    };
    let gang = Step {
        gang: true,
        count: 2 * WORKERS as u32,
        ..step.clone()
    };
    world.submit(FIRST_JOB, chain(vec![gang]));
    let id = world.submit(LAST_JOB, chain(vec![step]));
    let wait = longest_wait(&mut world, id, 4000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// A gang that fits nowhere changes nothing that would have to be made durable.
#[test]
fn a_gang_that_fits_nowhere_is_not_written_again() {
    let mut world = world(WORKERS);
    let gang = Step {
        gang: true,
        cpu: 5000,
        ..short(2 * WORKERS as u32, 1000)
    };
    world.submit(FIRST_JOB, chain(vec![gang]));
    world.run(1000);
    let before = world.stats().commits;
    world.run(5000);
    assert_eq!(world.stats().commits, before);
}
