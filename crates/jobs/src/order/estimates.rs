//! How long tasks take, against what callers guess.
//!
//! Callers' guesses are off by a factor of two to three, more in one queue than in
//! another. Ordered by such guesses, jobs that were guessed short are given up as late
//! while they could be in time, and hopeless ones are carried on. So the time that a
//! task takes is fitted to the guess by queue, as a line through logarithms: where
//! guesses tell little, all tasks are thought to take the usual time. What the tasks of
//! a step took tells more of the others than the guess.

use serde::{Deserialize, Serialize};

/// Differences that the callers' guess is worth as they are, in squared logarithms.
const PRIOR_WEIGHT: f64 = 4.0;

/// Tasks that the line is worth when tasks of the step itself have ended: the tasks of
/// a step differ by a third, steps of one guess by a half.
const ESTIMATE_WEIGHT: f64 = 0.4;

/// Older tasks count half when so many are known.
const MAX_OBSERVATIONS: f64 = 4000.0;

/// By how much the longest task of a step exceeds the usual one, for each unit of the
/// logarithm of their number: tasks of a step differ by a third.
const SPREAD_PER_LOG_COUNT: f64 = 0.26;

/// Progress in percent from which a run's pace tells its length.
const MIN_PROGRESS_PERCENT: u32 = 20;

/// What is learned of the guesses of one queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EstimateModel {
    count: f64,
    guessed: f64,
    took: f64,
    squares: f64,
    products: f64,
}

impl EstimateModel {
    /// Takes a guess and the time that the task took, both in milliseconds.
    pub(crate) fn observe(&mut self, guess: u64, took: u64) {
        if self.count >= MAX_OBSERVATIONS {
            for total in [
                &mut self.count,
                &mut self.guessed,
                &mut self.took,
                &mut self.squares,
                &mut self.products,
            ] {
                *total /= 2.0;
            }
        }
        let (x, y) = (log(guess), log(took));
        self.count += 1.0;
        self.guessed += x;
        self.took += y;
        self.squares += x * x;
        self.products += x * y;
    }

    /// Returns the logarithm of the time that a task of this guess takes.
    fn expected_log(&self, guess: u64) -> f64 {
        let x = log(guess);
        if self.count == 0.0 {
            return x;
        }
        let (mean_x, mean_y) = (self.guessed / self.count, self.took / self.count);
        let squares = self.squares - self.count * mean_x * mean_x;
        let products = self.products - self.count * mean_x * mean_y;
        let slope = (products + PRIOR_WEIGHT) / (squares + PRIOR_WEIGHT);
        let confidence = self.count / (self.count + PRIOR_WEIGHT);
        x + confidence * (mean_y - mean_x) + (slope - 1.0) * (x - mean_x)
    }
}

/// What is known of the times of a step's own tasks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedTimes {
    count: f64,
    log_sum: f64,
}

impl ObservedTimes {
    /// Takes the time that one of them took, in milliseconds.
    pub(crate) fn observe(&mut self, took: u64) {
        self.count += 1.0;
        self.log_sum += log(took);
    }

    /// Takes what a run tells that has got so far, in percent, in so long.
    pub(crate) fn observe_run(&mut self, percent: u32, ran: u64) {
        if percent >= MIN_PROGRESS_PERCENT {
            self.observe(ran * 100 / u64::from(percent));
        }
    }

    /// Returns the time that the longest of so many tasks of this guess takes, in
    /// milliseconds; 0 if there is neither a guess nor a time.
    pub(crate) fn longest_ms(&self, model: &EstimateModel, guess: u64, tasks: usize) -> u64 {
        let weight = if guess > 0 { ESTIMATE_WEIGHT } else { 0.0 };
        let total_weight = weight + self.count;
        if total_weight == 0.0 {
            return 0;
        }
        let mean_log = (weight * model.expected_log(guess) + self.log_sum) / total_weight;
        let spread = 1.0 + SPREAD_PER_LOG_COUNT * (tasks.max(1) as f64).ln();
        (mean_log.exp() * spread) as u64
    }
}

fn log(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
