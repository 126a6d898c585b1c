//! Headroom of the serving tasks on a worker that is left for more best-effort tasks.

use crate::{
    model::ids::TaskId,
    scheduler::Scheduler,
    share::{
        fit::INITIAL_WEIGHT,
        headroom::{Headroom, MIN_HEADROOM},
        interference::is_interfering,
        sample::Image,
    },
};

/// Excess on a worker without any interference, as good as a target of five times the tail latency.
const MIN_EXCESS: f64 = -4.0;

/// Excess that a pair without interference may have, because many such tasks together do interfere
/// at the peak of a load. With 0.6, best-effort jobs earn 0.774 of their value and serving jobs
/// 0.797, with 0.8 0.785 and 0.784, with 0.2 0.677 and 0.835.
const HARMLESS_MARGIN: f64 = 0.8;

/// A serving run on a worker, as seen by placement and pace control.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServingRun {
    pub(crate) image: Image,
    /// Headroom of its step without best-effort runs.
    pub(crate) headroom: Headroom,
    /// For how long the tail latency has been over its target, in milliseconds; 0 if it is not.
    pub(crate) over_ms: u64,
    /// Whether the tail latency is over its target by its own load and best-effort tasks may run
    /// for now.
    pub(crate) is_own_overload: bool,
}

/// A best-effort run on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BestEffortRun {
    pub(crate) task: TaskId,
    pub(crate) image: Image,
    /// Share of the worker's CPUs that it uses at full pace.
    pub(crate) cpu_share: f64,
    /// Wanted pace in percent.
    pub(crate) pace: u32,
}

/// Headroom that the serving tasks on a worker have left besides the present best-effort runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slack {
    /// Serving images and their remaining headroom.
    rows: Vec<(Image, f64)>,
    /// Whether a tail latency is over its target. No best-effort run may start then.
    pub(crate) is_over_target: bool,
}

impl Slack {
    /// Returns by how much the headroom taken by a new best-effort task exceeds the rest. If it
    /// is 0 or less there is enough headroom, and lower is better.
    ///
    /// `costs` are the weights of its image against each serving image, and `share` is the share of
    /// the worker's CPUs that it uses.
    pub(crate) fn excess(&self, costs: &[f64], share: f64) -> f64 {
        let mut max_excess = f64::NEG_INFINITY;
        for &(serving, left) in &self.rows {
            let weight = costs
                .get(serving as usize)
                .copied()
                .unwrap_or(INITIAL_WEIGHT);
            let excess = weight * share - left;
            if is_interfering(weight) {
                max_excess = max_excess.max(excess);
            } else if excess > HARMLESS_MARGIN {
                max_excess = max_excess.max(excess - HARMLESS_MARGIN);
            }
        }
        max_excess.max(MIN_EXCESS)
    }
}

impl Scheduler {
    /// Returns the serving and the best-effort runs on a worker.
    pub(crate) fn colocated_runs(&self, slot: u32) -> (Vec<ServingRun>, Vec<BestEffortRun>) {
        let (mut serving_runs, mut best_effort_runs) = (Vec::new(), Vec::new());
        let worker = self.fleet.get(slot);
        for &task in &worker.runs {
            let Some(state) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &state.job.spec.steps[task.step as usize];
            let Some(run) = state.task(task).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let image = state.images[task.step as usize];
            if step.latency_target > 0 {
                let runs = &state.repetitions[task.repetition as usize][task.step as usize];
                serving_runs.push(ServingRun {
                    image,
                    headroom: runs.headroom,
                    over_ms: run.over_since.map_or(0, |since| (self.now - since).max(1)),
                    is_own_overload: run.over_since.is_some()
                        && worker.own_load.may_run_best_effort(self.now),
                });
            } else if step.best_effort {
                best_effort_runs.push(BestEffortRun {
                    task,
                    image,
                    cpu_share: worker.cpu_share(step.cpu),
                    pace: run.wanted_pace,
                });
            }
        }
        (serving_runs, best_effort_runs)
    }

    /// Returns the slack of a worker. It is cached until something on the worker changes.
    pub(crate) fn slack(&mut self, slot: u32) -> &Slack {
        let known = self.fleet.workers[slot as usize].slack.take();
        let slack = known.unwrap_or_else(|| self.compute_slack(slot));
        self.fleet.workers[slot as usize].slack.insert(slack)
    }

    fn compute_slack(&self, slot: u32) -> Slack {
        if self.fleet.get(slot).serving_tasks == 0 {
            return Slack::default();
        }
        let (serving_runs, best_effort_runs) = self.colocated_runs(slot);
        let mut slack = Slack::default();
        for run in &serving_runs {
            slack.is_over_target |= run.over_ms > 0;
            // A recent high load may come back while the task runs.
            let left = run.headroom.min_for_run()
                - MIN_HEADROOM
                - self.headroom_taken_by(&best_effort_runs, run.image);
            match slack.rows.iter_mut().find(|r| r.0 == run.image) {
                Some(row) => row.1 = row.1.min(left),
                None => slack.rows.push((run.image, left)),
            }
        }
        slack
    }

    /// Returns the headroom that the best-effort runs on a worker would take from a serving task.
    pub(crate) fn headroom_taken_on(&self, slot: u32, serving: Image) -> f64 {
        if self.fleet.get(slot).best_effort_cpu == 0 {
            return 0.0;
        }
        let (_, best_effort_runs) = self.colocated_runs(slot);
        self.headroom_taken_by(&best_effort_runs, serving)
    }

    /// Returns the headroom that best-effort runs take from a serving task at their present paces.
    fn headroom_taken_by(&self, best_effort_runs: &[BestEffortRun], serving: Image) -> f64 {
        let mut taken = 0.0;
        for run in best_effort_runs {
            let pace = f64::from(run.pace) / 100.0;
            taken += self.interference.weight(run.image, serving) * run.cpu_share * pace;
        }
        taken
    }
}
