//! Jobs make progress after waves of worker crashes and a takeover.

use crate::common::{Held, WatchedWorld, WorldSettings, chain, short};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Milliseconds between two waves of crashes.
const WAVE_INTERVAL_MS: u64 = 7000;

/// Milliseconds until crashed workers restart under new names.
const RESTART_MS: u64 = 700;

/// Milliseconds for which no owner runs after all of them were killed.
const OUTAGE_MS: u64 = 2000;

/// Milliseconds before a wave in which stops may be held back.
const HELD_STOPS_MS: u64 = 300;

/// Milliseconds from the last arrival until the check of all jobs.
const DRAIN_MS: u64 = 14_000;

/// Upper bound of the delay of orders that are carried out late, in milliseconds.
const MAX_DELAY_MS: u64 = 2000;

/// A small worker's CPU, in thousandths of a core, and memory.
const SMALL: (u64, u64) = (8000, 16_000);

/// The load and the faults of one day.
#[derive(Debug, Clone, Copy)]
struct Day {
    seed: u64,
    workers: usize,
    /// CPU and memory of a worker.
    capacity: (u64, u64),
    waves: u64,
    /// Workers that crash in each wave, in percent.
    crash_percent: usize,
    /// Headroom that a "heavy" task takes if it uses all CPU of a worker.
    heavy_weight: f64,
    /// Whether all best-effort tasks are heavy.
    only_heavy: bool,
    /// Best-effort jobs that write checkpoints, in percent.
    checkpoint_percent: u32,
    /// Requested best-effort CPU in percent of all CPU.
    load_percent: u64,
    /// Upper bound of the CPU of a best-effort task, in thousandths of a worker.
    max_cpu_share: u64,
    /// Milliseconds from the last wave until all owners are killed, if they are.
    kill_after_ms: Option<u64>,
    /// Milliseconds from the takeover until the last arrival.
    load_after_ms: u64,
    /// Whether a new owner imports what its predecessor learned.
    keeps_learned: bool,
    /// Whether stops to workers that are about to crash are held back.
    holds_stops: bool,
    /// Unanswered orders that are carried out late, in percent.
    delay_percent: u32,
    /// Answers that are lost, in percent.
    lost_percent: u32,
    /// Whether some steps are gangs.
    gangs: bool,
    /// Whether there is a long-running job without a latency target.
    long_running: bool,
}

impl Day {
    fn new(seed: u64) -> Day {
        Day {
            seed,
            workers: 14,
            capacity: SMALL,
            waves: 2,
            crash_percent: 30,
            heavy_weight: 10.0,
            only_heavy: false,
            checkpoint_percent: 100,
            load_percent: 300,
            max_cpu_share: 900,
            kill_after_ms: Some(7000),
            load_after_ms: 8000,
            keeps_learned: true,
            holds_stops: false,
            delay_percent: 0,
            lost_percent: 0,
            gangs: false,
            long_running: false,
        }
    }

    /// Returns a day of random load and faults.
    fn random(seed: u64) -> Day {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (workers, capacity) = [
            (24, SMALL),
            (48, SMALL),
            (12, (16_000, 32_000)),
            (5, (64_000, 128_000)),
            (8, SMALL),
        ][rng.random_range(0..5)];
        Day {
            workers,
            capacity,
            waves: rng.random_range(1..7),
            crash_percent: [13, 30, 30, 60, 100][rng.random_range(0..5)],
            heavy_weight: [4.0, 8.0, 14.0, 30.0][rng.random_range(0..4)],
            only_heavy: rng.random_bool(0.5),
            checkpoint_percent: [0, 50, 100][rng.random_range(0..3)],
            load_percent: rng.random_range(50..300),
            max_cpu_share: [200, 500, 900][rng.random_range(0..3)],
            kill_after_ms: match rng.random_range(0..4) {
                0 => None,
                _ => Some(rng.random_range(0..20_000)),
            },
            load_after_ms: rng.random_range(0..20_000),
            keeps_learned: rng.random_bool(0.5),
            holds_stops: rng.random_bool(0.3),
            delay_percent: [0, 0, 50][rng.random_range(0..3)],
            lost_percent: [0, 0, 5][rng.random_range(0..3)],
            gangs: rng.random_bool(0.3),
            long_running: rng.random_bool(0.5),
            ..Day::new(seed)
        }
    }

    /// Returns the jobs that have failed and the tasks that callers count as lost at the end of the
    /// day.
    fn play(self) -> (Vec<JobId>, Vec<(TaskId, u64)>) {
        let mut watched = self.start();
        for _ in 0..self.waves {
            self.load(&mut watched, WAVE_INTERVAL_MS - HELD_STOPS_MS);
            self.crash(&mut watched);
        }
        if let Some(ms) = self.kill_after_ms {
            self.load(&mut watched, ms);
            watched.world.pause(true);
            let lease_end = watched.world.lease_end();
            watched.run(OUTAGE_MS);
            watched.world.take_over(lease_end);
        }
        self.load(&mut watched, self.load_after_ms);
        watched.run(DRAIN_MS);
        let mut jobs = watched.world.job_ids();
        jobs.retain(|&j| watched.world.outcome(j) == Outcome::Failed);
        (jobs, watched.lost())
    }

    /// Returns a world in which all long-running tasks run.
    fn start(&self) -> WatchedWorld {
        let mut watched = WatchedWorld::new(WorldSettings {
            workers: self.workers,
            seed: self.seed,
            lost_percent: self.lost_percent,
            ..WorldSettings::default()
        });
        let (cpu, memory) = self.capacity;
        watched.heavy_cost = self.heavy_weight * 1000.0 / cpu as f64;
        let world = &mut watched.world;
        world.restart_ms = RESTART_MS;
        world.keeps_learned = self.keeps_learned;
        world.delay_percent = self.delay_percent;
        world.max_delay_ms = MAX_DELAY_MS;
        for at in 0..self.workers {
            world.workers[at].capacity = self.capacity;
            world.announce(at, true);
        }
        watched.serve(cpu * 15 / 100);
        if self.long_running {
            let step = Step {
                cpu: cpu / 50,
                memory: memory / 50,
                long_running: true,
                ..short(self.workers as u32, 0)
            };
            watched.submit_long_running(4, step);
        }
        watched
    }

    /// Crashes a random share of the workers at once, under load.
    fn crash(&self, watched: &mut WatchedWorld) {
        let mut order: Vec<usize> = (0..self.workers).collect();
        for at in (1..order.len()).rev() {
            order.swap(at, watched.rng.random_range(0..=at));
        }
        order.truncate((self.workers * self.crash_percent / 100).max(1));
        if self.holds_stops {
            for &at in &order {
                watched.world.hold(at, Held::Stop);
            }
        }
        self.load(watched, HELD_STOPS_MS);
        for &at in &order {
            if watched.world.workers[at].alive {
                watched.world.crash(at);
            }
        }
    }

    /// Submits best-effort and short jobs for `ms`.
    fn load(&self, watched: &mut WatchedWorld, ms: u64) {
        let end = watched.world.now + ms;
        let (cpu, memory) = self.capacity;
        let images = match self.only_heavy {
            true => &["heavy"][..],
            false => &["light", "thin", "heavy", "heavy"],
        };
        while watched.world.now < end {
            let checkpoints = watched.rng.random_range(0..100) < self.checkpoint_percent;
            let mut steps = Vec::new();
            for _ in 0..watched.rng.random_range(1..4) {
                let share = watched.rng.random_range(50..self.max_cpu_share);
                steps.push(Step {
                    cpu: cpu * share / 1000,
                    memory: memory * watched.rng.random_range(3..20) / 1000,
                    checkpoints,
                    gang: self.gangs && watched.rng.random_range(0..5) == 0,
                    ..watched.random_best_effort(images)
                });
            }
            let requested = steps
                .iter()
                .map(|s| s.cpu * u64::from(s.count) * s.estimate);
            let requested: u64 = requested.sum();
            let id = watched.rng.random_range(1000..u64::MAX);
            watched.submit(id, chain(steps));
            let id = watched.rng.random_range(1000..u64::MAX);
            let step = Step {
                cpu: cpu / 20,
                memory: memory / 50,
                ..short(3, 500)
            };
            watched.submit(id, chain(vec![step]));
            let interval = requested * 100 / (cpu * self.workers as u64 * self.load_percent);
            watched.run(interval.clamp(50, 2000).min(end - watched.world.now));
        }
    }
}

/// Asserts that the jobs of a day make progress, and that none is given up.
fn check(day: Day) {
    let (failed, lost) = day.play();
    let first = &lost[..lost.len().min(4)];
    assert!(failed.is_empty(), "{day:?}: failed {failed:?}");
    assert!(lost.is_empty(), "{day:?}: {} lost, {first:?}", lost.len());
}

/// A third of the workers crashes again and again, then all owners are killed. After the load ends
/// each job with a task that could run has runs.
#[test_case(Day::new(1); "seed 1")]
#[test_case(Day::new(2); "seed 2")]
#[test_case(Day::new(3); "seed 3")]
#[test_case(Day { checkpoint_percent: 0, ..Day::new(1) }; "without checkpoints")]
#[test_case(Day { only_heavy: true, heavy_weight: 20.0, max_cpu_share: 500, checkpoint_percent: 0, ..Day::new(3) }; "where all tasks interfere")]
#[test_case(Day { kill_after_ms: Some(0), ..Day::new(1) }; "with a takeover beside crashes")]
#[test_case(Day { kill_after_ms: None, ..Day::new(1) }; "without a takeover")]
#[test_case(Day { load_after_ms: 0, ..Day::new(1) }; "with a takeover at the end")]
#[test_case(Day { keeps_learned: false, ..Day::new(1) }; "where the new owner knows nothing")]
#[test_case(Day { holds_stops: true, ..Day::new(1) }; "with crashes before stops arrive")]
#[test_case(Day { lost_percent: 5, delay_percent: 50, ..Day::new(1) }; "with orders that are late")]
#[test_case(Day { gangs: true, ..Day::new(1) }; "with gangs")]
#[test_case(Day { long_running: true, ..Day::new(1) }; "with long-running tasks")]
#[test_case(Day { crash_percent: 13, ..Day::new(1) }; "where few crash")]
#[test_case(Day { crash_percent: 60, ..Day::new(1) }; "where most crash")]
#[test_case(Day { workers: 5, capacity: (64_000, 128_000), ..Day::new(1) }; "on few large workers")]
fn no_job_is_lost_after_crash_waves_and_a_takeover(day: Day) {
    check(day);
}

/// The same after more waves, so that most tasks have lost several workers.
#[test_case(Day::new(0); "seed 0")]
#[test_case(Day { workers: 16, kill_after_ms: Some(15_000), load_after_ms: 14_000, ..Day::new(1) }; "seed 1")]
#[test_case(Day { crash_percent: 60, ..Day::new(0) }; "where most crash")]
fn no_job_fails_or_stalls_after_six_crash_waves(day: Day) {
    check(Day { waves: 6, ..day });
}

/// Random days: those of two seeds, or of the seed in GORSESPUR_WAVES.
#[test]
fn random_days_of_crash_waves_lose_no_job() {
    let seed = std::env::var("GORSESPUR_WAVES");
    let seed = seed.ok().map(|s| s.parse().expect("a seed"));
    let seeds: Vec<u64> = seed.map_or((1..3).collect(), |s| vec![s]);
    for seed in seeds {
        check(Day::random(seed));
    }
}
