//! The scheduler's guarantees under each fault and under random series of faults.

use crate::common::{
    Mode, World, WorldSettings, chain, check_invariants, long_running, serving, short,
    some_with_checkpoints,
};
use gorsespur_jobs::{Event, Outcome, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// A fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    WorkerDies,
    WorkerCut,
    WorkerLate,
    WorkerFailsAll,
    WorkerHangs,
    WorkerSlow,
    WorkerLeaves,
    StoreDown,
    OwnerGone,
    OwnerPaused,
    OwnerReplacedAlive,
    AllOff,
}

const FAULTS: [Fault; 12] = [
    Fault::WorkerDies,
    Fault::WorkerCut,
    Fault::WorkerLate,
    Fault::WorkerFailsAll,
    Fault::WorkerHangs,
    Fault::WorkerSlow,
    Fault::WorkerLeaves,
    Fault::StoreDown,
    Fault::OwnerGone,
    Fault::OwnerPaused,
    Fault::OwnerReplacedAlive,
    Fault::AllOff,
];

fn inject(world: &mut World, fault: Fault, at: usize) {
    match fault {
        Fault::WorkerDies => world.workers[at].alive = false,
        Fault::WorkerCut => world.workers[at].partitioned = true,
        Fault::WorkerLate => world.workers[at].delay_ms = 4000,
        Fault::WorkerFailsAll => world.workers[at].mode = Mode::FailsAll,
        Fault::WorkerHangs => world.workers[at].mode = Mode::Hangs,
        Fault::WorkerSlow => world.workers[at].mode = Mode::Slow(6),
        Fault::WorkerLeaves => world.announce(at, false),
        Fault::StoreDown => world.store_down = true,
        Fault::OwnerGone => {
            world.pause(true);
            let end = world.lease_end();
            world.take_over(end);
        }
        Fault::OwnerPaused => {
            world.pause(true);
            world.run(2500);
            world.pause(false);
        }
        Fault::OwnerReplacedAlive => {
            let end = world.lease_end();
            world.take_over(end);
        }
        Fault::AllOff => {
            world.pause(true);
            let end = world.lease_end();
            world.run(9000);
            world.take_over(end);
        }
    }
}

fn recover(world: &mut World, at: usize) {
    let worker = &mut world.workers[at];
    worker.partitioned = false;
    worker.delay_ms = 0;
    worker.mode = Mode::Healthy;
    world.store_down = false;
    world.announce(at, true);
}

fn submit_jobs(world: &mut World) {
    for id in 1..=6 {
        let steps = vec![short(3, 600), short(2, 900), short(1, 300)];
        world.submit(id, chain(some_with_checkpoints(id, steps)));
    }
    world.submit(100, chain(vec![long_running(2)]));
}

fn check(world: &World) {
    assert!(
        world.checker.violations.is_empty(),
        "{:#?}",
        world.checker.violations
    );
}

#[test_case(Fault::WorkerDies)]
#[test_case(Fault::WorkerCut)]
#[test_case(Fault::WorkerLate)]
#[test_case(Fault::WorkerFailsAll)]
#[test_case(Fault::WorkerHangs)]
#[test_case(Fault::WorkerSlow)]
#[test_case(Fault::WorkerLeaves)]
#[test_case(Fault::StoreDown)]
#[test_case(Fault::OwnerGone)]
#[test_case(Fault::OwnerPaused)]
#[test_case(Fault::OwnerReplacedAlive)]
#[test_case(Fault::AllOff)]
fn one_fault_breaks_no_promise(fault: Fault) {
    for delay in [0, 20, 400, 900, 1700] {
        let mut world = World::new(WorldSettings {
            attempts: 6,
            ..WorldSettings::default()
        });
        world.run(100);
        submit_jobs(&mut world);
        world.run(delay);
        inject(&mut world, fault, 1);
        world.run(4000);
        recover(&mut world, 1);
        assert!(world.run_until_done(60_000), "{fault:?} after {delay} ms");
        check(&world);
        for id in 1..=6 {
            assert_eq!(world.outcome(gorsespur_jobs::JobId(id)), Outcome::Complete);
        }
    }
}

#[test]
fn random_series_of_faults_break_no_promise() {
    for seed in 0..120 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(WorldSettings {
            workers: 5,
            attempts: 40,
            seed,
            lost_percent: rng.random_range(0..4),
            reuse_names: false,
            ..WorldSettings::default()
        });
        world.run(100);
        submit_jobs(&mut world);
        for id in 10..rng.random_range(12..30) {
            world.run(rng.random_range(0..400));
            let steps = vec![short(2, 500), short(2, 700)];
            world.submit(id, chain(some_with_checkpoints(id, steps)));
        }
        for _ in 0..rng.random_range(1..5) {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let at = rng.random_range(0..4);
            inject(&mut world, fault, at);
            world.run(rng.random_range(0..5000));
            if rng.random_bool(0.5) {
                recover(&mut world, at);
            }
        }
        for at in 0..5 {
            recover(&mut world, at);
        }
        let done = world.run_until_done(120_000);
        check_invariants(&world, seed);
        assert!(done, "seed {seed}: unfinished jobs");
    }
}

#[test]
fn a_cancelled_job_stops_everywhere() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let id = world.submit(1, chain(vec![long_running(6)]));
    world.run(1500);
    assert_eq!(world.outcome(id), Outcome::Active);
    world.cancel(id);
    world.run(1500);
    assert_eq!(world.outcome(id), Outcome::Cancelled);
    assert!(world.workers.iter().all(|w| w.runs.is_empty()));
    check(&world);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut world = World::new(WorldSettings::default());
    for worker in &mut world.workers {
        worker.mode = Mode::FailsAll;
    }
    world.run(100);
    let id = world.submit(1, chain(vec![short(1, 500)]));
    assert!(world.run_until_done(60_000));
    assert_eq!(world.outcome(id), Outcome::Failed);
    check(&world);
}

#[test]
fn a_gang_starts_together() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let gang = Step {
        gang: true,
        ..short(30, 500)
    };
    // 30 tasks fit on 32 cores only while no other task runs.
    world.submit(1, chain(vec![short(8, 400)]));
    world.run(100);
    let id = world.submit(2, chain(vec![gang]));
    world.run(200);
    assert_eq!(world.outcome(id), Outcome::Pending);
    assert!(world.run_until_done(10_000));
    check(&world);
}

#[test]
fn labels_and_spread_are_kept() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let step = Step {
        label: Some("r1".into()),
        max_per_worker: 2,
        ..short(4, 60_000)
    };
    world.submit(1, chain(vec![step]));
    world.run(1000);
    let counts: Vec<_> = world.workers.iter().map(|w| w.runs.len()).collect();
    assert_eq!(counts, [0, 0, 2, 2]);
}

#[test]
fn a_worker_without_a_row_gets_no_new_runs() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    world.notify(Event::WorkerRemoved("w0".into()));
    world.submit(1, chain(vec![short(8, 500)]));
    world.run(300);
    assert!(world.workers[0].runs.is_empty());
}

#[test]
fn best_effort_tasks_are_slowed_where_they_interfere() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.workers[0].tail_growth = 0.5;
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.run(1500);
    let best_effort = Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(5, 20_000)
    };
    world.submit(2, chain(vec![best_effort]));
    world.run(5000);
    let runs = &world.workers[0].runs;
    let best_effort_runs = runs.iter().filter(|r| r.best_effort);
    let cores: f64 = best_effort_runs.map(|r| f64::from(r.pace) / 100.0).sum();
    // The tail latency is 40 ms without best-effort tasks, and reaches the target at e^(0.5 * 1.8)
    // times that.
    assert!(cores < 1.85, "{cores} cores of best-effort work");
    assert!(cores > 0.1, "no best-effort work is left");
}
