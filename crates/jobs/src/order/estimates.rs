//! Predicts how long tasks take, from the callers' estimates and from observed durations.
//!
//! Callers' estimates are off by a factor of two to three, more in some queues than in others. In
//! an order by such estimates, jobs whose estimates are too short are given up as late although
//! they could be on time, and jobs that can't be on time are continued. A linear regression per
//! queue therefore maps the logarithm of the estimate to the logarithm of the duration: in queues
//! whose estimates correlate little with the durations, all tasks are expected to take the typical
//! time. The observed durations of a step's own tasks predict its other tasks better than the
//! estimate.

use serde::{Deserialize, Serialize};

use crate::model::bounds::MAX_DURATION_MS;

/// Weight of the prior that a task takes as long as estimated: a number of tasks for the
/// mean, a sum of squared logarithms for the slope.
const PRIOR_WEIGHT: f64 = 4.0;

/// Weight of the regression's prediction as a number of observed tasks of the step. Durations
/// differ by a third within a step, and by a half between steps with the same estimate.
const REGRESSION_WEIGHT: f64 = 0.4;

/// Number of observations at which the weight of all of them is halved.
const MAX_OBSERVATIONS: f64 = 4000.0;

/// Excess of a step's longest task over its typical one, per unit of the logarithm of the
/// number of tasks: durations differ by a third within a step.
const SPREAD_PER_LOG_COUNT: f64 = 0.26;

/// Progress from which a run's total duration is extrapolated.
const MIN_PROGRESS_PERCENT: u32 = 20;

/// Regression of the durations on the estimates of one queue, as sums over logarithms of
/// milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EstimateModel {
    count: f64,
    #[serde(rename = "guessed")]
    estimated: f64,
    took: f64,
    squares: f64,
    products: f64,
}

impl EstimateModel {
    /// Adds a task's estimate and duration, both in milliseconds.
    pub(crate) fn observe(&mut self, estimate: u64, took: u64) {
        if self.count >= MAX_OBSERVATIONS {
            for total in [
                &mut self.count,
                &mut self.estimated,
                &mut self.took,
                &mut self.squares,
                &mut self.products,
            ] {
                *total /= 2.0;
            }
        }
        let (x, y) = (log(estimate), log(took));
        self.count += 1.0;
        self.estimated += x;
        self.took += y;
        self.squares += x * x;
        self.products += x * y;
    }

    /// Returns the weight of all observations.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Returns the logarithm of the expected duration of a task with this estimate.
    fn expected_log(&self, estimate: u64) -> f64 {
        let x = log(estimate);
        if self.count == 0.0 {
            return x;
        }
        let (mean_x, mean_y) = (self.estimated / self.count, self.took / self.count);
        let squares = self.squares - self.count * mean_x * mean_x;
        let products = self.products - self.count * mean_x * mean_y;
        let slope = (products + PRIOR_WEIGHT) / (squares + PRIOR_WEIGHT);
        let confidence = self.count / (self.count + PRIOR_WEIGHT);
        x + confidence * (mean_y - mean_x) + (slope - 1.0) * (x - mean_x)
    }
}

/// Durations of a step's own tasks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedTimes {
    count: f64,
    log_sum: f64,
}

impl ObservedTimes {
    /// Adds the duration of a task, in milliseconds.
    pub(crate) fn observe(&mut self, took: u64) {
        self.count += 1.0;
        self.log_sum += log(took);
    }

    /// Adds the extrapolated duration of a run that is at `percent` after `ran`
    /// milliseconds, if it is far enough.
    pub(crate) fn observe_run(&mut self, percent: u32, ran: u64) {
        if percent >= MIN_PROGRESS_PERCENT {
            self.observe(ran * 100 / u64::from(percent));
        }
    }

    /// Returns the expected duration of the longest of `tasks` tasks with this estimate,
    /// in milliseconds; 0 if there is neither an estimate nor an observation.
    pub(crate) fn longest_ms(&self, model: &EstimateModel, estimate: u64, tasks: usize) -> u64 {
        let weight = if estimate > 0 { REGRESSION_WEIGHT } else { 0.0 };
        let total_weight = weight + self.count;
        if total_weight == 0.0 {
            return 0;
        }
        let mean_log = (weight * model.expected_log(estimate) + self.log_sum) / total_weight;
        let spread = 1.0 + SPREAD_PER_LOG_COUNT * (tasks.max(1) as f64).ln();
        // An extrapolated logarithm may be of any size.
        ((mean_log.exp() * spread) as u64).min(MAX_DURATION_MS)
    }
}

fn log(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
