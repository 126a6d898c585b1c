//! Long-running tasks that pause for short jobs.

use std::collections::{BTreeMap, BTreeSet};

use gorsespur_jobs::{JobId, Lending, Outcome, Step, TaskId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

use crate::common::{Held, World, WorldSettings, chain, check_invariants, long_running, short};

/// Milliseconds between two samples of the runs.
const SAMPLE_MS: u64 = 50;

/// Milliseconds after its last run for which a long-running task may be away.
const MAX_AWAY_MS: u64 = 6000;

/// Milliseconds for which a run works before it may be stopped for others.
const SETTLED_MS: u64 = 8000;

/// Milliseconds in which an owner that took over stops no run for others.
const TAKEOVER_MS: u64 = 5000;

/// Estimate of the short tasks in milliseconds; their objective is 1.5 times that and 250 ms.
const SHORT_MS: u64 = 1500;

const STEPS: u64 = 4;

/// Number of random series, unless `GORSESPUR_LENDING` sets another one.
const SERIES: u64 = 40;

/// A world whose capacity is held by long-running tasks, as callers and workers see it.
struct Crowd {
    world: World,
    /// When each long-running task worked last.
    worked_at: BTreeMap<TaskId, u64>,
    /// Runs of long-running tasks that were ordered to stop.
    stopped: BTreeSet<(TaskId, u32)>,
    longest_away: u64,
    /// Most tasks of a step that were away at a time.
    most_away: u32,
    /// When a fault last ended, from which on absences count.
    calm_since: u64,
    /// When each short job is due.
    due: BTreeMap<JobId, u64>,
    on_time: BTreeSet<JobId>,
}

impl Crowd {
    /// Returns a world with a step of eight tasks of each job on four full workers.
    fn new(seed: u64, lends: bool, budget: Option<u32>) -> Crowd {
        let lending = Lending::new(25, 3500, 900).expect("valid bounds");
        let mut world = World::new(WorldSettings {
            workers: 4,
            seed,
            lending: lends.then_some(lending),
            ..WorldSettings::default()
        });
        world.run(100);
        let mut worked_at = BTreeMap::new();
        for id in 1..=STEPS {
            let step = Step {
                disruption_budget: budget,
                ..long_running(8)
            };
            let job = world.submit(id, chain(vec![step]));
            let tasks = (0..8).map(|index| TaskId {
                job,
                repetition: 0,
                step: 0,
                index,
            });
            worked_at.extend(tasks.map(|t| (t, world.now)));
        }
        let mut crowd = Crowd {
            calm_since: world.now,
            world,
            worked_at,
            stopped: BTreeSet::new(),
            longest_away: 0,
            most_away: 0,
            due: BTreeMap::new(),
            on_time: BTreeSet::new(),
        };
        crowd.run(1000);
        crowd.most_away = 0;
        crowd.run(SETTLED_MS);
        assert_eq!(crowd.working(), 8 * STEPS as usize);
        crowd
    }

    fn run(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run(SAMPLE_MS);
            self.sample();
        }
    }

    fn sample(&mut self) {
        let now = self.world.now;
        for run in self.world.workers.iter().flat_map(|w| &w.runs) {
            if !run.long_running {
                continue;
            }
            match run.stops_at {
                Some(_) => {
                    self.stopped.insert((run.task, run.run));
                }
                None => {
                    self.worked_at.insert(run.task, now);
                }
            }
        }
        let mut away: BTreeMap<JobId, u32> = BTreeMap::new();
        for (task, &at) in &self.worked_at {
            if at == now {
                continue;
            }
            *away.entry(task.job).or_default() += 1;
            self.longest_away = self.longest_away.max(now - at.max(self.calm_since));
        }
        let most = away.into_values().max().unwrap_or(0);
        self.most_away = self.most_away.max(most);
        for (&id, &due) in &self.due {
            if now <= due && self.world.outcome(id) == Outcome::Complete {
                self.on_time.insert(id);
            }
        }
    }

    /// Returns the number of long-running tasks that work.
    fn working(&self) -> usize {
        let now = self.world.now;
        self.worked_at.values().filter(|&&at| at == now).count()
    }

    /// Submits a short job of one task.
    fn submit_short(&mut self) {
        let id = 1000 + self.due.len() as u64;
        let id = self.world.submit(id, chain(vec![short(1, SHORT_MS)]));
        self.due.insert(id, self.world.now + SHORT_MS * 3 / 2 + 250);
    }

    /// Submits a short job every 700 ms, for `ms`.
    fn burst(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.submit_short();
            self.run(700);
        }
    }

    /// Runs until a long-running task is stopped.
    fn run_until_lent(&mut self) {
        let before = self.stopped.len();
        self.submit_short();
        for _ in 0..40 {
            self.run(SAMPLE_MS);
            if self.stopped.len() > before {
                return;
            }
        }
        panic!("nothing is lent");
    }

    /// Replaces the owner.
    fn take_over(&mut self) {
        self.world.pause(true);
        let end = self.world.lease_end();
        self.world.take_over(end);
        self.calm_since = self.world.now;
    }

    /// Asserts the laws of lending.
    fn check(&self, seed: u64, max_tasks: u32) {
        check_invariants(&self.world, seed);
        let longest = self.longest_away;
        assert!(longest < MAX_AWAY_MS, "seed {seed}: away for {longest} ms");
        assert!(
            self.most_away <= max_tasks,
            "seed {seed}: {} tasks of a step are away",
            self.most_away
        );
        for task in self.worked_at.keys() {
            let stops = self.stopped.iter().filter(|(t, _)| t == task).count();
            assert!(stops < 5, "seed {seed}: {task} is stopped {stops} times");
        }
    }
}

#[test_case(false, 0, 0; "without lending")]
#[test_case(true, 24, 29; "with lending")]
fn urgent_jobs_are_on_time_while_long_running_tasks_pause(lends: bool, least: usize, most: usize) {
    let mut crowd = Crowd::new(1, lends, None);
    crowd.burst(20_000);
    crowd.run(5000);
    let on_time = crowd.on_time.len();
    assert!((least..=most).contains(&on_time), "{on_time} of 29");
    assert_eq!(crowd.stopped.is_empty(), !lends);
    crowd.check(1, 2);
    assert_eq!(crowd.working(), 8 * STEPS as usize);
}

#[test]
fn a_step_without_disruption_budget_lends_nothing() {
    let mut crowd = Crowd::new(1, true, Some(0));
    crowd.burst(6000);
    assert!(crowd.stopped.is_empty());
}

/// They would hold it until their callers cancel them, while the tasks that lent it wait.
#[test]
fn tasks_that_wait_for_a_first_run_take_no_lent_capacity() {
    let mut crowd = Crowd::new(1, true, None);
    let id = crowd.world.submit(STEPS + 1, chain(vec![long_running(8)]));
    crowd.run(3000);
    crowd.burst(20_000);
    let mut runs = crowd.world.workers.iter().flat_map(|w| &w.runs);
    assert!(runs.all(|r| r.task.job != id));
    assert!(!crowd.stopped.is_empty(), "nothing is lent");
    crowd.run(5000);
    crowd.check(1, 2);
}

/// Tasks that are back stay for longer than they were away.
#[test]
fn a_task_that_was_lent_rests() {
    let mut crowd = Crowd::new(1, true, None);
    let mut last_stops: BTreeMap<TaskId, u64> = BTreeMap::new();
    for _ in 0..60 {
        let before = crowd.stopped.clone();
        crowd.burst(500);
        for (task, _) in crowd.stopped.difference(&before) {
            let last = last_stops.insert(*task, crowd.world.now);
            let rest = last.map_or(u64::MAX, |at| crowd.world.now - at);
            assert!(rest >= SETTLED_MS, "{task} is stopped after {rest} ms");
        }
    }
    crowd.check(1, 2);
}

#[test]
fn a_new_owner_returns_what_is_lent_and_lends_nothing_at_first() {
    let mut crowd = Crowd::new(1, true, None);
    crowd.run_until_lent();
    crowd.take_over();
    let lent = crowd.stopped.len();
    crowd.burst(TAKEOVER_MS - 1000);
    assert_eq!(crowd.stopped.len(), lent);
    crowd.run(MAX_AWAY_MS);
    assert_eq!(crowd.working(), 8 * STEPS as usize);
    crowd.check(1, 2);
}

/// What would be freed could not be used, since no start can be recorded.
#[test]
fn nothing_is_lent_while_the_store_is_away() {
    let mut crowd = Crowd::new(1, true, None);
    crowd.world.store_down = true;
    crowd.run(1500);
    crowd.burst(3000);
    assert!(crowd.stopped.is_empty());
    crowd.world.store_down = false;
    crowd.run(MAX_AWAY_MS);
    assert_eq!(crowd.working(), 8 * STEPS as usize);
}

#[test]
fn lent_tasks_return_after_the_store_was_away() {
    let mut crowd = Crowd::new(1, true, None);
    crowd.run_until_lent();
    crowd.world.store_down = true;
    crowd.run(3000);
    crowd.world.store_down = false;
    crowd.run(MAX_AWAY_MS);
    assert_eq!(crowd.working(), 8 * STEPS as usize);
    crowd.check(1, 2);
}

/// What one task can't have back, since its worker is silent, keeps no other from its own.
#[test_case(0)]
#[test_case(1)]
fn a_task_returns_whatever_others_wait_for(silent: usize) {
    let mut crowd = Crowd::new(1, true, None);
    let places: BTreeMap<TaskId, usize> = (0..)
        .zip(&crowd.world.workers)
        .flat_map(|(worker, w)| w.runs.iter().map(move |r| (r.task, worker)))
        .collect();
    for _ in 0..4 {
        crowd.submit_short();
    }
    crowd.run(1300);
    let lent: Vec<TaskId> = crowd.stopped.iter().map(|&(task, _)| task).collect();
    let first = lent[0];
    let other = lent
        .iter()
        .find(|t| t.job != first.job && places[t] != places[&first]);
    let pair = [
        first,
        *other.expect("lent by another step on another worker"),
    ];
    crowd.world.workers[places[&pair[silent]]].partitioned = true;
    let returning = pair[1 - silent];
    let mut longest = 0;
    for sample in 0..70 {
        if sample % 10 == 0 {
            crowd.submit_short();
        }
        crowd.run(SAMPLE_MS);
        longest = longest.max(crowd.world.now - crowd.worked_at[&returning]);
    }
    assert!(longest < 4200, "away for {longest} ms");
}

/// The tasks of a lost worker count as away: two of each step, as many as may be lent.
#[test]
fn nothing_is_lent_of_steps_that_lost_a_worker() {
    let mut crowd = Crowd::new(1, true, None);
    crowd.run_until_lent();
    crowd.world.workers[0].partitioned = true;
    crowd.run(2500);
    let lent = crowd.stopped.len();
    crowd.burst(2000);
    assert_eq!(crowd.stopped.len(), lent);
}

/// The run goes on until a stop reaches its worker, and the task counts as away all the while.
#[test]
fn a_stop_without_an_answer_is_repeated() {
    let mut crowd = Crowd::new(1, true, None);
    for worker in 0..4 {
        crowd.world.hold(worker, Held::Stop);
    }
    crowd.submit_short();
    crowd.run(1200);
    assert!(crowd.world.held(Held::Stop) > 0, "no stop is held back");
    crowd.run(9000);
    crowd.world.release(Held::Stop);
    crowd.run(MAX_AWAY_MS);
    assert_eq!(crowd.working(), 8 * STEPS as usize);
    crowd.check(1, 2);
}

/// The laws hold whatever the load, and over takeovers.
#[test]
fn random_series_keep_the_laws() {
    let series = std::env::var("GORSESPUR_LENDING").ok();
    let series = series.and_then(|s| s.parse().ok()).unwrap_or(SERIES);
    for seed in 0..series {
        random_series(seed);
    }
}

fn random_series(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let budget = [None, Some(1), Some(2)][rng.random_range(0..3)];
    let mut crowd = Crowd::new(seed, true, budget);
    for _ in 0..rng.random_range(4..12) {
        for _ in 0..rng.random_range(0..6) {
            crowd.submit_short();
        }
        crowd.run(rng.random_range(1..40) * SAMPLE_MS);
        if rng.random_range(0..8) == 0 {
            crowd.take_over();
        }
    }
    crowd.run(MAX_AWAY_MS + 2000);
    assert_eq!(crowd.working(), 8 * STEPS as usize, "seed {seed}");
    crowd.check(seed, budget.unwrap_or(2));
}
