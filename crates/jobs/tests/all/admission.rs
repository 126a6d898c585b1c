//! The forecast of waits under bursts, lost capacity and takeovers.
//!
//! Callers send jobs as the figures tell, which are as old as they may be where an instance
//! decides.

use crate::common::{World, WorldSettings, chain, short};
use gorsespur_jobs::{JobId, ORDER_SHARES, Outcome, WaitForecast, order_share};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Actual duration of each task, in milliseconds.
const TASK_MS: u64 = 2000;

/// The objective of the queue: 1.5 times the length of the job and 250 ms.
const OBJECTIVE_MS: u64 = TASK_MS * 3 / 2 + 250;

/// Number of tasks of a job.
const WIDTH: u32 = 4;

/// Jobs per second that eight workers of eight cores can process.
const CAPACITY: f64 = 8.0;

/// Age of the figures by which jobs are accepted: they are published every 400 ms and kept for
/// 300 ms.
const FIGURES_AGE_MS: u64 = 700;

/// Time between two arrivals at most, in milliseconds.
const STEP_MS: u64 = 50;

/// Whether callers are refused where the queue is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Door {
    AcceptsAll,
    ByForecast,
}

/// Callers that send jobs of one step at random times.
struct Callers {
    world: World,
    rng: SmallRng,
    door: Door,
    /// The figures that callers meet, and when they were read.
    forecast: WaitForecast,
    read_at: u64,
    asked: u32,
    refused: u32,
    on_time: u32,
    /// Accepted jobs that have not ended, with the time of their submission.
    open: Vec<(JobId, u64)>,
}

impl Callers {
    fn new(seed: u64, door: Door) -> Callers {
        let mut world = World::new(WorldSettings {
            workers: 8,
            seed,
            ..WorldSettings::default()
        });
        for worker in &mut world.workers {
            worker.task_ms = Some(TASK_MS);
        }
        world.run(100);
        Callers {
            world,
            rng: SmallRng::seed_from_u64(seed),
            door,
            forecast: WaitForecast::default(),
            read_at: 0,
            asked: 0,
            refused: 0,
            on_time: 0,
            open: Vec::new(),
        }
    }

    /// Sends jobs at `load` times the capacity of all workers for `ms`.
    fn send(&mut self, load: f64, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            let each_step = load * CAPACITY * STEP_MS as f64 / 1000.0;
            if self.rng.random_bool(each_step) {
                self.submit();
            }
            self.world.run(STEP_MS);
            if self.world.now >= self.read_at + FIGURES_AGE_MS {
                self.read_at = self.world.now;
                self.forecast = self.current();
            }
            self.count();
        }
    }

    fn submit(&mut self) {
        self.asked += 1;
        let number = 1000 + u64::from(self.asked);
        let first_refused = ORDER_SHARES - self.forecast.refused;
        if self.door == Door::ByForecast && order_share(JobId(number)) >= first_refused {
            self.refused += 1;
            return;
        }
        let spec = chain(vec![short(WIDTH, TASK_MS)]);
        let id = self.world.submit(number, spec);
        self.open.push((id, self.world.now));
    }

    fn count(&mut self) {
        let mut open = Vec::new();
        for (id, since) in self.open.drain(..) {
            if self.world.outcome(id) != Outcome::Complete {
                open.push((id, since));
                continue;
            }
            self.on_time += u32::from(self.world.now <= since + OBJECTIVE_MS);
        }
        self.open = open;
    }

    /// Returns the owner's present forecast.
    fn current(&self) -> WaitForecast {
        let figures = self.world.queue_figures();
        figures.first().map_or(WaitForecast::default(), |f| f.short)
    }

    /// Returns the number of jobs that were accepted and not on time.
    fn failed(&self) -> u32 {
        self.asked - self.refused - self.on_time
    }
}

/// Sends a quiet load, a burst at `load` times the capacity for 20 s, and a quiet load again.
fn burst(seed: u64, load: f64, door: Door) -> Callers {
    let mut callers = Callers::new(seed, door);
    callers.send(0.6, 5000);
    callers.send(load, 20_000);
    callers.send(0.6, 10_000);
    // The last jobs run to their ends.
    callers.send(0.0, OBJECTIVE_MS);
    callers
}

/// A burst above the capacity: jobs that are closed out would not have been on time, since as many
/// are on time as when all are accepted, and few of the accepted ones fail.
#[test_case(1, 2.0)]
#[test_case(2, 2.0)]
#[test_case(3, 2.0)]
#[test_case(1, 1.5)]
#[test_case(2, 1.5)]
fn a_burst_is_refused_at_the_door(seed: u64, load: f64) {
    let all = burst(seed, load, Door::AcceptsAll);
    let door = burst(seed, load, Door::ByForecast);
    let (before, after) = (all.on_time, door.on_time);
    let (failed, asked) = (door.failed(), door.asked);
    let counts = format!(
        "of {asked}: {after} on time, {failed} failed, {} refused; without refusals {before} on time, {} failed",
        door.refused,
        all.failed()
    );
    assert!(after >= before, "{counts}");
    assert!(failed * 20 < asked, "{counts}");
}

/// Random arrivals at seven tenths of the capacity, with groups of jobs that wait for a moment.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_quiet_load_is_never_refused(seed: u64) {
    let mut callers = Callers::new(seed, Door::ByForecast);
    callers.send(0.7, 60_000);
    assert_eq!(callers.refused, 0, "refused of {}", callers.asked);
}

/// Half of the workers leave under a load of eight tenths, and return.
#[test]
fn a_queue_closes_while_capacity_is_gone() {
    let mut callers = Callers::new(1, Door::ByForecast);
    callers.send(0.8, 5000);
    assert_eq!(callers.refused, 0);
    callers.world.evacuate(&[World::zone(1)]);
    callers.send(0.8, 15_000);
    let refused = callers.refused;
    assert!(refused > 0, "none of {} refused", callers.asked);
    callers.world.evacuate(&[]);
    callers.send(0.8, 5000);
    let refused = callers.refused;
    callers.send(0.6, 10_000);
    assert_eq!(callers.refused, refused, "refused after the return");
}

/// The owner changes in the middle of a burst: the new one knows no pace, and the queue is open
/// until it does.
#[test]
fn a_new_owner_accepts_until_it_knows_the_pace() {
    let mut callers = Callers::new(1, Door::AcceptsAll);
    callers.send(2.0, 10_000);
    assert!(callers.current().refused > 0);
    let inherited = callers.world.lease_end();
    callers.world.take_over(inherited);
    for _ in 0..18 {
        callers.send(2.0, 100);
        assert_eq!(callers.current().refused, 0, "refused at once");
    }
    callers.send(2.0, 4000);
    assert!(callers.current().refused > 0, "open after six seconds");
}
