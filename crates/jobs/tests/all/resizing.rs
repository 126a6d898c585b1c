//! Workers whose capacity changes while they run.
//!
//! Placement uses the announced capacity of a worker, and the start is sent once the placement is
//! durable. If the store is unavailable in between, the capacity may have shrunk for seconds by
//! then, and a worker that does not enforce its capacity would start the run all the same.

use crate::common::{
    World, WorldSettings, chain, check_invariants, serving, short, some_with_checkpoints,
};
use gorsespur_jobs::{JobId, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// CPU in thousandths of a core and memory of a worker at full capacity.
const FULL_CAPACITY: (u64, u64) = (8000, 16000);

/// Returns a world of workers that do not enforce their capacity.
fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        seed,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers {
        worker.enforces_capacity = false;
    }
    world.run(100);
    world
}

/// Changes the capacity of a worker. Its row is published unless the store is unavailable.
fn resize(world: &mut World, at: usize, capacity: (u64, u64)) {
    let now = world.now;
    world.workers[at].resize(capacity, now);
    if !world.store_down {
        world.announce(at, true);
    }
}

#[test]
fn nothing_starts_in_capacity_that_was_removed() {
    let mut world = world(2, 0);
    let id = world.submit(1, chain(vec![short(12, 2000)]));
    world.run(5);
    world.store_down = true;
    world.watch_down = true;
    resize(&mut world, 0, (1000, 2000));
    resize(&mut world, 1, (1000, 2000));
    world.run(5000);
    assert_eq!(world.stats().starts, 0, "starts without a durable record");
    // The write is confirmed shortly before the workers' rows are read again.
    world.store_down = false;
    world.run(300);
    check_invariants(&world, 0);
    world.watch_down = false;
    for at in 0..2 {
        world.announce(at, true);
    }
    world.run(3000);
    for at in 0..2 {
        resize(&mut world, at, FULL_CAPACITY);
    }
    assert!(world.run_until_done(30_000));
    assert_eq!(world.outcome(id), gorsespur_jobs::Outcome::Complete);
    check_invariants(&world, 0);
}

/// The owner has read the smaller capacity before the write is confirmed.
#[test]
fn nothing_starts_in_capacity_that_is_known_to_be_removed() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![short(6, 2000)]));
    world.run(5);
    world.store_down = true;
    let now = world.now;
    world.workers[0].resize((1000, 2000), now);
    world.announce(0, true);
    world.run(5000);
    world.store_down = false;
    world.run(2000);
    check_invariants(&world, 0);
    resize(&mut world, 0, FULL_CAPACITY);
    assert!(world.run_until_done(30_000));
}

/// No task starts on a worker whose CPU is exceeded, even if the task requests no CPU.
#[test]
fn no_best_effort_task_starts_on_an_overcommitted_worker() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![serving(6)]));
    world.run(1500);
    resize(&mut world, 0, (4000, 16000));
    let best_effort = Step {
        best_effort: true,
        image: Some("fill".into()),
        ..short(1, 500)
    };
    world.submit(2, chain(vec![best_effort]));
    world.run(7000);
    assert_eq!(world.workers[0].runs.len(), 6);
    // No placement is attempted, since each one that is dropped costs a write.
    assert!(world.stats().commits < 10, "{:?}", world.stats());
    check_invariants(&world, 0);
}

/// Runs continue after the capacity of their worker has shrunk, and no other run starts there
/// until enough of them have ended. Runs that are being stopped still count.
#[test]
fn a_worker_that_shrank_gets_no_runs_until_they_fit() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![serving(6)]));
    world.run(1500);
    assert_eq!(world.workers[0].runs.len(), 6);
    resize(&mut world, 0, (4000, 16000));
    world.submit(2, chain(vec![short(2, 300)]));
    world.run(6000);
    assert_eq!(
        world.workers[0].runs.len(),
        6,
        "runs were stopped or started"
    );
    world.cancel(JobId(1));
    assert!(world.run_until_done(10_000));
    check_invariants(&world, 0);
}

#[test]
fn changing_capacities_are_never_exceeded() {
    for seed in 0..20 {
        let mut world = world(6, seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        world.submit(1, chain(vec![serving(8)]));
        for id in 10..130 {
            let steps = vec![short(4, 700), short(3, 400)];
            world.submit(id, chain(some_with_checkpoints(id, steps)));
            let at = rng.random_range(0..6);
            match rng.random_range(0..12) {
                0 => world.store_down = true,
                1 | 2 => {
                    let left = rng.random_range(1..8) * 1000;
                    resize(&mut world, at, (left, left * 2));
                }
                3 => resize(&mut world, at, FULL_CAPACITY),
                4 => world.pause(true),
                _ => {
                    world.store_down = false;
                    world.pause(false);
                    (0..6).for_each(|at| world.announce(at, true));
                }
            }
            world.run(rng.random_range(20..500));
        }
        world.store_down = false;
        world.pause(false);
        (0..6).for_each(|at| resize(&mut world, at, FULL_CAPACITY));
        assert!(world.run_until_done(60_000), "seed {seed}: unfinished jobs");
        check_invariants(&world, seed);
    }
}

/// Workers of the burst tests; the capacity of a quarter of them shrinks.
const BURST_WORKERS: usize = 8;

/// Capacity of a worker after it has shrunk to 0.55 of the full capacity.
const SHRUNK_CAPACITY: (u64, u64) = (4400, 8800);

/// Milliseconds between jobs outside of a burst.
const NORMAL_INTERVAL_MS: u64 = 130;

/// Milliseconds between jobs in a burst.
const BURST_INTERVAL_MS: u64 = 90;

/// CPU of each task in thousandths of a core.
const TASK_CPU: u64 = 1000;

/// Milliseconds until the owner reads the new capacity of a worker.
const NOTICE_MS: u64 = 800;

/// The first of the jobs that are submitted at intervals.
const FIRST_JOB: u64 = 10;

/// Fault while the capacity is reduced.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// No fault.
    None,
    /// The owner is killed, and another one takes over.
    Killed,
    /// The store is unavailable when the capacity shrinks, and for some seconds after.
    StoreDown,
}

/// A world in which short jobs are submitted, at times in a burst, and starts are checked.
struct Burst {
    world: World,
    /// Workers with less capacity than the owner may have read, and the time of the change.
    shrunk: Vec<(usize, u64)>,
    /// The next job and the time of its submission.
    next: (u64, u64),
    /// Numbers of starts that workers accepted, and of runs that ended without being done.
    start_counts: (u64, u64),
}

impl Burst {
    fn new(enforces: bool) -> Burst {
        let mut world = world(BURST_WORKERS, 0);
        for worker in &mut world.workers {
            worker.enforces_capacity = enforces;
        }
        let serve = Step {
            max_per_worker: 2,
            ..serving(2 * BURST_WORKERS as u32)
        };
        world.submit(1, chain(vec![serve]));
        world.run(1500);
        assert!(world.workers.iter().all(|w| w.runs.len() == 2));
        let next = (FIRST_JOB, world.now);
        Burst {
            world,
            shrunk: Vec::new(),
            next,
            start_counts: (0, 0),
        }
    }

    /// Adds the counters of the owner, which is about to be killed, or after all jobs are done.
    fn count(&mut self) {
        let stats = self.world.stats();
        self.start_counts.0 += stats.starts - stats.refused;
        self.start_counts.1 += stats.stopped + stats.lapsed + stats.failed;
    }

    /// Runs for `ms` and submits a job every `every` milliseconds.
    fn run(&mut self, ms: u64, every: u64) {
        let world = &mut self.world;
        let end = world.now + ms;
        while world.now < end {
            let (id, at) = self.next;
            if world.now >= at {
                world.submit(id, chain(vec![short(3, 700), short(2, 900)]));
                self.next = (id + 1, at + every);
            }
            world.run(5);
            for &(at, since) in &self.shrunk {
                let (worker, now) = (&world.workers[at], world.now);
                let starts_now = worker.runs.iter().any(|r| r.started_at + 5 > now);
                let is_late = now > since + NOTICE_MS + 50;
                assert!(
                    !(starts_now && is_late && worker.is_overcommitted(now, 0)),
                    "{now}: a task starts on {} beyond its capacity",
                    worker.id,
                );
            }
        }
    }

    /// Changes the capacity of the first quarter of the workers. The owner reads it after
    /// [`NOTICE_MS`].
    fn resize(&mut self, capacity: (u64, u64), every: u64) {
        let now = self.world.now;
        self.shrunk.clear();
        for at in 0..BURST_WORKERS / 4 {
            self.world.workers[at].resize(capacity, now);
            if capacity != FULL_CAPACITY {
                self.shrunk.push((at, now));
            }
        }
        self.run(NOTICE_MS, every);
        for at in 0..BURST_WORKERS / 4 {
            self.world.announce(at, true);
        }
    }
}

/// A quarter of the workers has 0.55 of its capacity for 14 s, with a burst of jobs in that time.
/// Runs there continue, no run starts beyond the reduced capacity, whether the worker enforces it
/// or not, no task is started twice, and restored capacity is used within a second.
#[test_case(Fault::None, true)]
#[test_case(Fault::None, false)]
#[test_case(Fault::Killed, true)]
#[test_case(Fault::Killed, false)]
#[test_case(Fault::StoreDown, true)]
#[test_case(Fault::StoreDown, false)]
fn workers_that_shrink_in_a_burst_are_used_again(fault: Fault, enforces: bool) {
    let mut burst = Burst::new(enforces);
    burst.run(4000, NORMAL_INTERVAL_MS);
    burst.world.store_down = matches!(fault, Fault::StoreDown);
    burst.run(200, NORMAL_INTERVAL_MS);
    burst.resize(SHRUNK_CAPACITY, NORMAL_INTERVAL_MS);
    burst.run(4000 - NOTICE_MS, NORMAL_INTERVAL_MS);
    burst.world.store_down = false;
    burst.run(1000, NORMAL_INTERVAL_MS);
    if matches!(fault, Fault::Killed) {
        burst.count();
        burst.world.pause(true);
        let lease_end = burst.world.lease_end();
        burst.run(1500, BURST_INTERVAL_MS);
        burst.world.take_over(lease_end);
    } else {
        burst.run(1500, BURST_INTERVAL_MS);
    }
    burst.run(4500, BURST_INTERVAL_MS);
    for worker in &burst.world.workers[..BURST_WORKERS / 4] {
        let used = worker.used().0;
        assert!(
            used + TASK_CPU > SHRUNK_CAPACITY.0,
            "{} uses {used}",
            worker.id
        );
    }
    burst.run(3000, NORMAL_INTERVAL_MS);
    burst.resize(FULL_CAPACITY, BURST_INTERVAL_MS);
    burst.run(1000 - NOTICE_MS, BURST_INTERVAL_MS);
    for worker in &burst.world.workers[..BURST_WORKERS / 4] {
        let (used, _) = worker.used();
        assert!(used > SHRUNK_CAPACITY.0, "{} uses {used}", worker.id);
    }
    let world = &mut burst.world;
    assert!(world.run_until_done(60_000), "unfinished jobs");
    check_invariants(world, 0);
    burst.count();
    let tasks = 2 * BURST_WORKERS as u64 + 5 * (burst.next.0 - FIRST_JOB);
    assert_eq!(
        burst.start_counts,
        (tasks, 0),
        "accepted starts, and runs that were not done"
    );
}
