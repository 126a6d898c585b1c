//! Best-effort tasks beside serving tasks whose load varies and whose tail latencies grow as in a
//! queue.

use crate::common::{Mode, World, WorldSettings, chain, serving, short};
use gorsespur_jobs::{JobId, Outcome, Step};
use test_case::test_case;

const WORKERS: usize = 8;

/// Returns a world with two serving jobs on all workers, after five seconds without other work.
fn world() -> World {
    sized_world(1)
}

/// Returns such a world with workers that are `times` as large, on which a core interferes less by
/// the same factor.
fn sized_world(times: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    for at in 0..WORKERS {
        let worker = &mut world.workers[at];
        worker.queueing = true;
        worker.capacity = (8000 * times, 16_000 * times);
        worker.heavy_cost = 0.5 / times as f64;
        world.announce(at, true);
    }
    world.run(100);
    for id in 1..3 {
        let serve = Step {
            long_running: true,
            latency_target: 100,
            max_per_worker: 1,
            image: Some("serve".into()),
            ..sized(WORKERS as u32, 0, times)
        };
        world.submit(id, chain(vec![serve]));
    }
    world.run(5000);
    world
}

/// Returns a step of tasks that request `times` as much as short tasks.
fn sized(count: u32, estimate: u64, times: u64) -> Step {
    Step {
        cpu: 1000 * times,
        memory: 1000 * times,
        ..short(count, estimate)
    }
}

fn best_effort(image: &str, count: u32) -> Step {
    sized_best_effort(image, count, 1)
}

fn sized_best_effort(image: &str, count: u32, times: u64) -> Step {
    Step {
        best_effort: true,
        image: Some(image.into()),
        ..sized(count, 2_000, times)
    }
}

/// Usage over 30 s, in task seconds.
#[derive(Debug, Default)]
struct Usage {
    served: f64,
    over_target: f64,
    harmless: f64,
    /// The part of `harmless` at less than the full pace.
    slowed: f64,
    heavy: f64,
}

/// Runs best-effort tasks of four harmless images and a heavy one. The first 10 s, in which the
/// scheduler learns their interference, are not counted.
fn run_best_effort() -> Usage {
    run_best_effort_on(1)
}

/// Runs the same load with workers and tasks that are `times` as large.
fn run_best_effort_on(times: u64) -> Usage {
    let mut world = sized_world(times);
    let mut usage = Usage::default();
    for step in 0..800 {
        if step % 10 == 0 {
            let image = ["light", "thin", "small", "soft"][step / 10 % 4];
            world.submit(
                1000 + step as u64,
                chain(vec![sized_best_effort(image, 4, times)]),
            );
            let heavy = sized_best_effort("heavy", 2, times);
            world.submit(5000 + step as u64, chain(vec![heavy]));
        }
        world.run(50);
        if step >= 200 {
            count(&world, &mut usage);
        }
    }
    usage
}

fn count(world: &World, usage: &mut Usage) {
    for worker in &world.workers {
        for run in &worker.runs {
            if run.latency_target > 0 {
                usage.served += 0.05;
                usage.over_target += 0.05 * f64::from(worker.headroom(world.now, run) < 1.0);
                continue;
            }
            if run.image.as_deref() == Some("heavy") {
                usage.heavy += 0.05 * f64::from(run.pace) / 100.0;
                continue;
            }
            usage.harmless += 0.05;
            usage.slowed += 0.05 * f64::from(run.pace < 100);
        }
    }
}

#[test]
fn harmless_tasks_are_not_slowed_by_a_varying_load() {
    let usage = run_best_effort();
    assert!(usage.slowed < 0.001 * usage.harmless, "{usage:?}");
}

#[test]
fn interfering_tasks_use_what_the_load_leaves() {
    let usage = run_best_effort();
    assert!(usage.over_target < 0.003 * usage.served, "{usage:?}");
    assert!(usage.heavy > 150.0, "{usage:?}");
}

#[test_case(2; "of 16 cores")]
#[test_case(8; "of 64 cores")]
#[test_case(12; "of 96 cores")]
fn interference_is_learned_on_large_workers(times: u64) {
    let usage = run_best_effort_on(times);
    assert!(usage.over_target < 0.003 * usage.served, "{usage:?}");
    assert!(usage.slowed < 0.001 * usage.harmless, "{usage:?}");
    assert!(usage.heavy > 150.0, "{usage:?}");
}

#[test]
fn serving_tasks_start_where_nothing_interferes() {
    let mut world = world();
    let long = |image: &str| Step {
        count: 4,
        estimate: 60_000,
        max_per_worker: 1,
        ..best_effort(image, 4)
    };
    world.submit(10, chain(vec![long("heavy")]));
    world.run(200);
    world.submit(11, chain(vec![long("light")]));
    world.run(8000);
    let serve = Step {
        max_per_worker: 1,
        ..serving(4)
    };
    let before: Vec<usize> = world.workers.iter().map(|w| w.runs.len()).collect();
    world.submit(12, chain(vec![serve]));
    world.run(300);
    for (worker, before) in world.workers.iter().zip(before) {
        let mut images = worker.runs.iter().filter_map(|r| r.image.as_deref());
        let has_interference = images.any(|i| i == "heavy");
        let has_started = worker.runs.len() > before;
        assert!(!(has_started && has_interference), "{:?}", worker.runs);
    }
}

/// Runs best-effort tasks that interfere a little each, so that many of them together interfere at
/// the peak of a load. The first 10 s, in which the scheduler learns their interference, are not
/// counted.
fn run_light() -> Usage {
    let mut world = world();
    for worker in &mut world.workers {
        worker.light_cost = 0.28;
    }
    let mut usage = Usage::default();
    for step in 0..800 {
        if step % 10 == 0 {
            let image = ["light", "thin", "small", "soft"][step / 10 % 4];
            world.submit(1000 + step as u64, chain(vec![best_effort(image, 12)]));
        }
        world.run(50);
        if step >= 200 {
            count(&world, &mut usage);
        }
    }
    usage
}

#[test]
fn slightly_interfering_tasks_do_not_pile_up_at_a_peak() {
    let usage = run_light();
    assert!(usage.over_target < 0.3 * usage.served, "{usage:?}");
    assert!(usage.harmless > 1250.0, "{usage:?}");
}

/// Periodic loads are forecast: few best-effort tasks run at the next peak, and as many as without
/// the forecast run between the peaks.
#[test]
fn best_effort_tasks_yield_to_a_forecast_peak() {
    let usage = run_light();
    assert!(usage.over_target < 0.1 * usage.served, "{usage:?}");
    assert!(usage.harmless > 1250.0, "{usage:?}");
}

/// Returns a world with a best-effort job with checkpoints. The tail latencies of one worker that
/// runs some of its tasks have just risen over their targets permanently.
fn world_with_halted_worker() -> (World, JobId) {
    let mut world = world();
    let saving = Step {
        checkpoints: true,
        ..best_effort("light", WORKERS as u32)
    };
    let id = world.submit(1000, chain(vec![saving]));
    world.run(300);
    let halted = world.workers.iter().position(|w| w.runs.len() > 2);
    let halted = halted.expect("a worker with a best-effort task");
    world.workers[halted].tail_percents = vec![200];
    (world, id)
}

/// Best-effort tasks are halted on a worker whose tail latency stays over its target. Tasks with
/// checkpoints move to another worker that has capacity.
#[test]
fn a_task_halted_for_long_moves_to_another_worker() {
    let (mut world, id) = world_with_halted_worker();
    world.run(12_000);
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// A halted task moves soon, since the rest of its step waits for it.
#[test]
fn a_halted_task_moves_at_once() {
    let (mut world, id) = world_with_halted_worker();
    world.run(4000);
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// Returns a world of one worker with a serving task and two best-effort tasks.
fn single_worker_world() -> (World, JobId) {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.run(1500);
    let id = world.submit(2, chain(vec![best_effort("fill", 2)]));
    world.run(300);
    (world, id)
}

/// Returns the same world after the best-effort tasks were halted.
fn halted_world() -> (World, JobId) {
    let (mut world, id) = single_worker_world();
    world.workers[0].tail_percents = vec![200];
    world.run(3000);
    assert_eq!(paces(&world), [0, 0], "halted");
    (world, id)
}

/// An overloaded worker ignores changes of the pace. A change that fails is sent again only after
/// the delay that a failed stop has (400 ms), not as soon as its answer arrives.
#[test]
fn an_ignored_pace_is_not_sent_again_at_once() {
    let (mut world, _) = single_worker_world();
    world.workers[0].mode = Mode::IgnoresPace;
    world.workers[0].tail_percents = vec![200];
    world.run(3000);
    let sent = world.workers[0].ignored_paces;
    assert!(sent <= 40, "{sent} orders for two runs in 3 s");
}

/// Returns the paces of the best-effort runs on the first worker, in percent.
fn paces(world: &World) -> Vec<u32> {
    let best_effort_runs = world.workers[0].runs.iter().filter(|r| r.best_effort);
    best_effort_runs.map(|r| r.pace).collect()
}

/// Paces are chosen when the tail latency of a serving task is reported. After the last serving
/// task of a worker has ended, its halted tasks must still get a new pace, and the worker must not
/// count as over its target any more.
#[test]
fn halted_tasks_resume_when_no_serving_task_is_left() {
    let (mut world, id) = halted_world();
    world.cancel(JobId(1));
    world.run(8000);
    assert_eq!(world.outcome(id), Outcome::Complete, "{:?}", paces(&world));
}

/// A new owner finds halted runs of an earlier owner when the tail latencies are below their
/// targets again. If it assumed that the runs have the full pace, it would send them no pace, and
/// would stop them after 7 s without progress. Their pace is unknown until the new owner has sent
/// one.
#[test]
fn tasks_halted_by_an_earlier_owner_resume() {
    let (mut world, id) = halted_world();
    world.pause(true);
    world.workers[0].tail_percents = vec![40];
    world.take_over(world.lease_end());
    world.run(3000);
    assert_eq!(world.outcome(id), Outcome::Complete, "{:?}", paces(&world));
}

/// Returns the share of 30 s in which best-effort tasks run beside a serving task with these tail
/// latencies in percent of its target, one for each half second, and the mean pace in percent of
/// the images that have proved harmless by then.
fn best_effort_beside(tails: &[u64]) -> (f64, f64) {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.workers[0].tail_percents = tails.to_vec();
    world.run(3000);
    let (mut used, mut runs_seen, mut paces) = (0, 0, 0);
    for step in 0..600 {
        if step % 20 == 0 {
            let images = ["light", "thin", "small", "soft"];
            let image = images[step / 20 % images.len()];
            world.submit(1000 + step as u64, chain(vec![best_effort(image, 2)]));
        }
        world.run(50);
        let runs = &world.workers[0].runs;
        used += u32::from(runs.iter().any(|r| r.best_effort && r.pace > 0));
        if step < 200 {
            continue;
        }
        for run in runs.iter().filter(|r| r.best_effort) {
            runs_seen += 1;
            paces += run.pace;
        }
    }
    let pace = f64::from(paces) / f64::from(runs_seen.max(1));
    (f64::from(used) / 600.0, pace)
}

/// At the peak of a load a tail latency is at four fifths of its target, and metrics vary. A
/// single higher value does not halt best-effort tasks.
#[test_case(&[80, 92, 79, 81, 80, 82]; "close to the target once")]
#[test_case(&[80, 105, 79, 81, 80, 82, 78, 80, 81, 79]; "above it once")]
fn one_high_metric_halts_nothing(tails: &[u64]) {
    let (used, _) = best_effort_beside(tails);
    assert!(used > 0.9, "for a share of {used} of the time");
}

/// The tail latency of each serving task is over its target in one half second of three, in turn,
/// while most tasks of its step are at three quarters of their targets. As many harmless
/// best-effort tasks run as fit.
#[test]
fn one_high_metric_closes_a_worker_only_briefly() {
    let mut world = world();
    let mut used = 0;
    for step in 0..600 {
        if step % 2 == 0 {
            let image = ["light", "thin", "small", "soft"][step / 2 % 4];
            world.submit(1000 + step as u64, chain(vec![best_effort(image, 6)]));
        }
        for (at, worker) in world.workers.iter_mut().enumerate() {
            let high = (step / 10 + at) % 3 == 0;
            worker.tail_percents = vec![if high { 105 } else { 75 }];
        }
        world.run(50);
        if step >= 200 {
            let runs = world.workers.iter().flat_map(|w| &w.runs);
            used += runs.filter(|r| r.best_effort && r.pace == 100).count();
        }
    }
    let used = used as f64 / 400.0;
    assert!(used > 60.0, "{used} tasks at a time");
}

/// A tail latency is over its target for two seconds at times, whatever runs beside it.
#[test]
fn harmless_tasks_keep_their_pace_in_a_short_peak() {
    let (_, pace) = best_effort_beside(&[80, 80, 80, 80, 105, 105, 105, 105, 105]);
    assert!(pace > 99.0, "at {pace}%");
}

/// There are three times as many best-effort tasks as there is CPU for, and more than half of the
/// memory is taken. No task exceeds its share, which would only slow the others.
#[test]
fn best_effort_tasks_keep_to_their_share_under_overload() {
    let mut world = world();
    for at in 0..WORKERS {
        world.workers[at].capacity.1 = 10_000;
        world.announce(at, true);
    }
    let mut most = 0;
    for step in 0..200 {
        if step % 2 == 0 {
            let image = ["light", "thin", "small", "soft"][step / 2 % 4];
            world.submit(1000 + step as u64, chain(vec![best_effort(image, 9)]));
        }
        world.run(50);
        for worker in &world.workers {
            let cores = worker.runs.iter().filter(|r| r.best_effort).count();
            most = most.max(cores);
        }
    }
    // Of 8 cores the serving tasks request two, and leave at most nine tenths of them unused.
    assert!(most <= 7, "{most} cores are requested");
}

/// Number of best-effort images in the test of takeovers. Each of them rarely runs beside a
/// serving task.
const IMAGES: usize = 40;

/// Runs best-effort jobs of many images for 20 s and starts a new owner. Returns the best-effort
/// work at full pace in the 2 s after that, in task seconds.
fn best_effort_after_takeover(keeps_learned: bool) -> f64 {
    let mut world = world();
    world.keeps_learned = keeps_learned;
    let mut usage = Usage::default();
    for step in 0..440 {
        if step % 2 == 0 {
            let image = format!("light{}", step / 2 % IMAGES);
            world.submit(1000 + step as u64, chain(vec![best_effort(&image, 5)]));
        }
        if step == 400 {
            let over = world.lease_end();
            world.take_over(over);
        }
        world.run(50);
        if step >= 400 {
            count(&world, &mut usage);
        }
    }
    usage.harmless - usage.slowed
}

/// A new owner without learned interference assumes that each pair of images interferes.
#[test]
fn a_new_owner_uses_what_was_learned() {
    let (with, without) = (
        best_effort_after_takeover(true),
        best_effort_after_takeover(false),
    );
    assert!(
        with > 1.15 * without,
        "{with} s with and {without} s without learned interference"
    );
}

/// The tail latency is over its target under the load of the serving task alone. A task that was
/// halted beside it has no checkpoints to move with.
#[test]
fn halted_tasks_resume_beside_a_tail_over_target_by_itself() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.workers[0].tail_percents = vec![60];
    world.run(1000);
    let id = world.submit(2, chain(vec![best_effort("light", 1)]));
    world.run(200);
    world.workers[0].tail_percents = vec![120];
    world.run(30_000);
    assert_eq!(world.outcome(id), Outcome::Complete, "{:?}", paces(&world));
}

/// The load falls under which the tail latency was over its target by itself, and from then on the
/// best-effort tasks cause the excess. They must be halted before users count the time as harm.
#[test]
fn best_effort_tasks_beside_a_tail_over_target_by_itself_do_no_harm() {
    for phase in (0..4000).step_by(100) {
        let mut world = World::new(WorldSettings {
            workers: 1,
            ..WorldSettings::default()
        });
        world.run(100);
        world.submit(1, chain(vec![serving(1)]));
        world.workers[0].tail_percents = vec![120];
        world.run(7000);
        for job in 0..60 {
            world.submit(100 + job, chain(vec![best_effort("light", 3)]));
        }
        world.run(2000 + phase);
        let (mut over_ms, mut longest) = (0, 0);
        for _ in 0..400 {
            let is_used = world.workers[0]
                .runs
                .iter()
                .any(|r| r.best_effort && r.pace > 0);
            world.workers[0].tail_percents = vec![if is_used { 110 } else { 90 }];
            over_ms = if is_used { over_ms + 50 } else { 0 };
            longest = longest.max(over_ms);
            world.run(50);
        }
        assert!(
            longest < 3500,
            "{phase}: {longest} ms, plus half a second to change the pace"
        );
    }
}
