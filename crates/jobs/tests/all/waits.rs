//! Tasks that can run are not held up by tasks that can't.

use crate::common::{
    Mode, World, WorldSettings, chain, long_running, serving, short, with_checkpoints,
};
use gorsespur_jobs::{Capacity, Event, JobId, Schedule, Spec, Step, TaskId, WorkerInfo};
use test_case::test_case;

const WORKERS: usize = 8;

/// Milliseconds between two samples of the runs.
const SAMPLE_MS: u64 = 100;

/// Milliseconds without a run after which users count a job as lost.
const MAX_WAIT_MS: u64 = 3000;

/// Milliseconds without a run after which users count a long-running task as lost.
const MAX_LONG_RUNNING_WAIT_MS: u64 = 6000;

/// A job whose ID comes last in all orders by ID.
const LAST_JOB: u64 = 0x46a7_6c98_01ea_bfcf;

/// A job whose ID comes first in all orders by ID.
const FIRST_JOB: u64 = 0x9345_a9f5_82f4_1895;

fn world(workers: usize) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        ..WorldSettings::default()
    });
    world.run(SAMPLE_MS);
    world
}

/// Returns a step of best-effort tasks with checkpoints.
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

/// Runs for `ms` and returns the longest time for which an unfinished job had no runs.
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

/// Sets the tail latencies of all serving tasks, in percent of their targets.
fn set_tails(world: &mut World, tails: &[u64]) {
    for worker in &mut world.workers {
        worker.tail_percents = tails.to_vec();
    }
}

/// Returns a world with a serving task on each worker and these tail latencies.
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

/// Tail latencies stay over their targets under the load of the serving tasks alone. Best-effort
/// tasks do no harm in that case, and most of the capacity is free.
#[test]
fn best_effort_tasks_start_where_tails_are_over_target_by_themselves() {
    let mut world = serving_world(&[120]);
    let id = world.submit(LAST_JOB, chain(vec![best_effort("light", 4, 1000)]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Tail latencies are over their targets until the load ends, and there are no metrics after that.
#[test]
fn best_effort_tasks_start_after_the_last_metric_was_over_target() {
    let mut world = serving_world(&[120]);
    set_tails(&mut world, &[0]);
    world.run(5000);
    let id = world.submit(LAST_JOB, chain(vec![best_effort("light", 4, 1000)]));
    let wait = longest_wait(&mut world, id, 30_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// A peak halts best-effort tasks that have no checkpoints to move with, and there are no metrics
/// after the peak.
#[test]
fn halted_tasks_resume_after_the_last_metric_was_over_target() {
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
    assert!(world.outcome(id).is_final(), "still halted");
}

/// The workers of another service are full or nearly idle, which has no effect on this service's.
#[test_case(100; "where the other one is idle")]
#[test_case(7500; "where the other one is full")]
fn a_full_service_blocks_no_other_service(cpu: u64) {
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

/// The interference of a new image has not been learned beside any serving task.
#[test_case(false; "beside others")]
#[test_case(true; "as a gang")]
fn a_task_of_unknown_interference_starts(gang: bool) {
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

/// The first of two independent steps can't be placed; the second one can.
#[test_case(Step { label: Some("none".into()), ..short(1, 1000) }; "no worker has its label")]
#[test_case(Step { gang: true, cpu: 8000, ..short(20, 1000) }; "it is too wide")]
fn a_step_that_cannot_run_blocks_no_other_step(first: Step) {
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
    assert_eq!(done, 3, "done tasks of the other step");
}

/// Best-effort tasks leave fragments of memory on each worker, and take each fragment that is
/// freed.
#[test_case(Step { memory: 13_000, ..long_running(1) }, 1500, MAX_LONG_RUNNING_WAIT_MS; "that is long-running")]
#[test_case(Step { memory: 11_000, ..short(1, 2000) }, 900, MAX_WAIT_MS; "that ends where less than half is taken")]
fn a_task_gets_fragmented_capacity(step: Step, memory: u64, max_wait_ms: u64) {
    let mut world = world(WORKERS);
    for at in 0..12 {
        // One on each worker, with different durations.
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
    assert!(wait < max_wait_ms, "{wait} ms, {used} of 128000 MB used");
}

/// Late answers have reduced the number of starts that may be in flight. The first gang in the
/// order is wider than this number and fits nowhere.
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
    let throttled = world.stats().throttled_passes;
    let wait = longest_wait(&mut world, id, 30_000);
    let throttled = world.stats().throttled_passes - throttled;
    assert!(
        wait < MAX_WAIT_MS,
        "{wait} ms, {throttled} throttled passes"
    );
}

/// Each worker runs a suspect, and most of the CPU is free.
#[test]
fn waiting_suspects_block_no_others() {
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

/// Returns a world whose capacity is taken by a long-running job, with more pending jobs than a
/// pass can rate that require a label that no worker has.
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

/// A late job that comes first in the order has tasks that fit.
#[test_case(0; "that are late")]
#[test_case(1; "that have a schedule, and are never late")]
fn jobs_that_fit_nowhere_block_no_late_job(times: u32) {
    let (mut world, all) = unplaceable_world(times);
    let id = world.submit(FIRST_JOB, chain(vec![short(2000, 500)]));
    world.run(4000);
    world.cancel(all);
    world.run(6000);
    let done = world.checker.done.iter().filter(|t| t.job == id).count();
    assert_eq!(
        done, 2000,
        "done tasks 6 s after capacity for all became free"
    );
}

/// Late jobs that fit nowhere cost a pass no more ratings than other jobs.
#[test]
fn late_jobs_that_fit_nowhere_are_rated_within_bounds() {
    let (mut world, all) = unplaceable_world(0);
    world.cancel(all);
    world.run(4000);
    let before = world.stats();
    world.run(1000);
    let after = world.stats();
    let each = (after.ratings - before.ratings) / (after.passes - before.passes);
    assert!(each <= 300_400, "{each} ratings per pass");
}

/// A job takes all CPU that is left for best-effort tasks. A best-effort gang comes last in the
/// order while most of the memory is free.
#[test_case(false; "beside others")]
#[test_case(true; "as a gang")]
fn best_effort_tasks_start_beside_a_job_that_takes_all(gang: bool) {
    let mut world = serving_world(&[30]);
    for worker in &mut world.workers {
        worker.task_ms = Some(4000);
    }
    world.submit(FIRST_JOB, chain(vec![best_effort("light", 1000, 4000)]));
    world.run(10_000);
    // The estimate is so short that the job is late at once.
    let step = Step {
        gang,
        ..best_effort("light", 2, 1)
    };
    let id = world.submit(LAST_JOB, chain(vec![step]));
    let wait = longest_wait(&mut world, id, 40_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Tasks fail by their own fault on all workers, and no other tasks ended there recently.
#[test]
fn failing_jobs_block_no_others() {
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

/// Returns a world of idle workers on all of which a run failed recently.
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

/// Repeated attempts to place a gang that fits nowhere use up no probes of workers that failed, so
/// that a later task starts.
#[test]
fn a_gang_that_fits_nowhere_uses_up_no_probes() {
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

/// A gang with more members than the probes of a worker after a failure starts on such workers.
#[test]
fn a_gang_with_more_members_than_probes_starts() {
    let mut world = failed_world();
    let gang = Step {
        gang: true,
        ..short(7 * WORKERS as u32, 1000)
    };
    let id = world.submit(LAST_JOB, chain(vec![gang]));
    let wait = longest_wait(&mut world, id, 20_000);
    assert!(wait < MAX_WAIT_MS, "{wait} ms");
}

/// Capacity that was set aside for a gang that does not fit is available to tasks of its size.
#[test]
fn a_gang_that_fits_nowhere_blocks_no_task_of_its_size() {
    let mut world = world(WORKERS);
    // Neither job is late for long, so that the gang comes first.
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

/// A gang that fits nowhere changes no durable state.
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

/// Milliseconds for which a start of a large payload occupies a link of 2 Mbit/s.
const SLOW_LINK_MS: u64 = 9;

/// An owner's link carries 110 starts a second, and 125 tasks a second arrive for 10 s. More than
/// half of the capacity stays free, and each job could have a run at all times.
#[test]
fn no_late_job_stalls_while_starts_are_throttled() {
    let mut world = world(48);
    world.link_ms = SLOW_LINK_MS;
    let small = Step {
        cpu: 200,
        memory: 200,
        ..short(50, 1700)
    };
    let mut last_run = Vec::new();
    let (mut longest, mut most_used) = (0, 0);
    for round in 0..200 {
        if round < 100 && round % 4 == 0 {
            let id = world.submit(1 + round, chain(vec![small.clone()]));
            last_run.push((id, world.now));
        }
        world.run(SAMPLE_MS);
        for (id, at) in &mut last_run {
            if is_running(&world, *id) || world.outcome(*id).is_final() {
                *at = world.now;
            }
            longest = longest.max(world.now - *at);
        }
        let used: u64 = world.workers.iter().map(|w| w.used().1).sum();
        most_used = most_used.max(used);
    }
    let (throttled, capacity) = (world.stats().throttled_passes, 48 * 16_000);
    assert!(throttled > 0, "starts were not throttled");
    assert!(
        most_used * 2 < capacity,
        "{most_used} of {capacity} MB used"
    );
    assert!(
        longest < MAX_WAIT_MS,
        "a job had no run for {longest} ms, {throttled} throttled passes"
    );
}

/// An owner whose link carries 110 starts a second takes over jobs with 2,000 waiting tasks, and
/// capacity for all of them. Its polls queue behind its starts.
#[test]
fn a_new_owner_does_not_fill_its_link_with_starts() {
    let mut world = world(48);
    world.link_ms = SLOW_LINK_MS;
    world.pause(true);
    let small = Step {
        cpu: 200,
        memory: 200,
        ..short(50, 1700)
    };
    for id in 1..=40 {
        world.submit(id, chain(vec![small.clone()]));
    }
    let inherited = world.lease_end();
    world.take_over(inherited);
    world.run(4000);
    let stats = world.stats();
    let unanswered = stats.unanswered_starts;
    assert!(stats.starts > 200, "{} starts in 4 s", stats.starts);
    assert!(
        unanswered * 10 < stats.starts,
        "{unanswered} of {} starts had no answer in time",
        stats.starts
    );
}
