//! What serving tasks on a worker bear besides what fills there.

use crate::{
    machine::Machine,
    model::ids::TaskId,
    share::{
        fit::INITIAL_WEIGHT,
        headroom::{Headroom, MIN_HEADROOM},
        interference::is_interfering,
        sample::Image,
    },
};

/// What stands for the excess on a worker on which nothing is disturbed: as good as a
/// target of five times the tail.
const CALM: f64 = -4.0;

/// What hardly disturbs may take so much more than there is: many such tasks together do
/// disturb at the peak of a load. With 0.6 filling jobs earned 0.774 of their worth and serving
/// ones 0.797, with 0.8 0.785 and 0.784, with 0.2 0.677 and 0.835 (10 days with trouble on 350
/// full workers).
const LIGHT_MARGIN: f64 = 0.8;

/// A serving run on a worker, as placement and pacing see it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServingRun {
    pub(crate) image: Image,
    /// Target over tail without what fills.
    pub(crate) headroom: Headroom,
    /// For how long it is over its target, in milliseconds.
    pub(crate) over_ms: u64,
    /// Whether that is by its own load, and something may fill for now.
    pub(crate) is_own_overload: bool,
}

/// A filling run on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BestEffortRun {
    pub(crate) task: TaskId,
    pub(crate) image: Image,
    /// Share of the worker's processors that it uses at full pace.
    pub(crate) cpu_share: f64,
    /// Its pace in percent.
    pub(crate) pace: u32,
}

/// What serving tasks on a worker bear besides what fills there already.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slack {
    /// Image and the headroom that is left to it.
    rows: Vec<(Image, f64)>,
    /// Whether a tail is over its target; nothing may begin to fill then.
    pub(crate) is_over_target: bool,
}

impl Slack {
    /// Returns by how much more headroom a filling task would take than there is; 0 or
    /// less if there is enough, and the less the better.
    ///
    /// `takes` is the headroom that its image takes from each serving one.
    pub(crate) fn excess(&self, takes: &[f64], share: f64) -> f64 {
        let mut most = f64::NEG_INFINITY;
        for &(serve, left) in &self.rows {
            let weight = takes.get(serve as usize).copied().unwrap_or(INITIAL_WEIGHT);
            let excess = weight * share - left;
            if is_interfering(weight) {
                most = most.max(excess);
            } else if excess > LIGHT_MARGIN {
                most = most.max(excess - LIGHT_MARGIN);
            }
        }
        most.max(CALM)
    }
}

impl Machine {
    /// Returns what serves and what fills on a worker.
    pub(crate) fn colocated_runs(&self, slot: u32) -> (Vec<ServingRun>, Vec<BestEffortRun>) {
        let (mut served, mut fillers) = (Vec::new(), Vec::new());
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
                served.push(ServingRun {
                    image,
                    headroom: runs.headroom,
                    over_ms: run.over_since.map_or(0, |since| (self.now - since).max(1)),
                    is_own_overload: run.over_since.is_some()
                        && worker.own_load.may_run_best_effort(self.now),
                });
            } else if step.best_effort {
                fillers.push(BestEffortRun {
                    task,
                    image,
                    cpu_share: worker.cpu_share(step.cpu),
                    pace: run.wanted_pace,
                });
            }
        }
        (served, fillers)
    }

    /// Returns what a worker's serving tasks bear besides what fills there, worked out
    /// anew only after something there changed.
    pub(crate) fn slack(&mut self, slot: u32) -> &Slack {
        let known = self.fleet.workers[slot as usize].slack.take();
        let slack = known.unwrap_or_else(|| self.work_out(slot));
        self.fleet.workers[slot as usize].slack.insert(slack)
    }

    fn work_out(&self, slot: u32) -> Slack {
        if self.fleet.get(slot).serving_tasks == 0 {
            return Slack::default();
        }
        let (served, fillers) = self.colocated_runs(slot);
        let mut slack = Slack::default();
        for s in &served {
            slack.is_over_target |= s.over_ms > 0;
            // A load that was high a while ago comes back while the task runs.
            let left = s.headroom.later() - MIN_HEADROOM - self.taken(&fillers, s.image);
            match slack.rows.iter_mut().find(|r| r.0 == s.image) {
                Some(row) => row.1 = row.1.min(left),
                None => slack.rows.push((s.image, left)),
            }
        }
        slack
    }

    /// Returns the headroom that what fills on a worker would take from a serving task.
    pub(crate) fn headroom_taken_on(&self, slot: u32, serve: Image) -> f64 {
        if self.fleet.get(slot).best_effort_cpu == 0 {
            return 0.0;
        }
        let (_, fillers) = self.colocated_runs(slot);
        self.taken(&fillers, serve)
    }

    /// Returns the headroom that filling runs at their paces take from a serving task.
    fn taken(&self, fillers: &[BestEffortRun], serve: Image) -> f64 {
        let mut taken = 0.0;
        for filler in fillers {
            let pace = f64::from(filler.pace) / 100.0;
            taken += self.interference.weight(filler.image, serve) * filler.cpu_share * pace;
        }
        taken
    }
}
