//! Seasonality of the load: the period that all steps share, and whether curves with this period
//! forecast headrooms reliably.
//!
//! Loads vary with a period of 10 to 20 s on one deployment, with another one on the next, or
//! without any. The chosen period is the one with the smallest residual over the histories of some
//! steps. Curves are used only while their forecasts are better than persistence forecasts, which
//! repeat the last value.

use std::cmp::Reverse;

use crate::share::{
    forecast::{Curve, History, Prior},
    headroom::INITIAL_HEADROOM,
    sample::StepKey,
};

/// Shortest period tried: eight points of a step.
const MIN_PERIOD_MS: f64 = 4_000.0;

/// Longest period tried: a history covers two thirds of it.
const MAX_PERIOD_MS: f64 = 60_000.0;

/// Factor between two periods tried. Over two periods, the phase is off by a twentieth of a period
/// at most.
const PERIOD_FACTOR: f64 = 1.05;

/// Period before the first choice: the middle of the typical 10 to 20 s.
const INITIAL_PERIOD_MS: f64 = 15_000.0;

/// Share of a period that a step's history has to span to give the step's mean and amplitude.
const MIN_SPAN_SHARE: f64 = 0.7;

/// Minimum number of steps with a mean and an amplitude that update the prior.
const MIN_CURVES: usize = 3;

/// Lower bound of the variance of the steps' means: no mean is estimated more precisely.
const MIN_MEAN_VARIANCE: f64 = 0.02;

/// Lower bound of the mean squared amplitude.
const MIN_SQUARED_AMPLITUDE: f64 = 0.05;

/// Interval between choices of the period.
const CHOICE_INTERVAL_MS: u64 = 3_000;

/// Maximum number of histories that the period is fitted to, so that a choice costs the same with
/// 70 and with 10,000 steps.
const MAX_HISTORIES: usize = 16;

/// Minimum number of points of a history that the period is fitted to.
const MIN_POINTS: usize = 12;

/// Time from a forecast to its score, about the duration of a run.
const FORECAST_HORIZON_MS: u64 = 2_000;

/// Factor by which the weight of older errors decays each half second.
const DECAY: f64 = 0.96;

/// Curves are reliable while the sum of their squared errors is below this share of that of
/// persistence forecasts.
const MAX_ERROR_RATIO: f64 = 0.7;

/// Minimum number of scored forecasts before curves count as reliable.
const MIN_SCORED: f64 = 30.0;

/// Maximum number of pending forecasts of all steps; a step has up to four. Scoring the forecasts
/// of some steps is enough, and costs the same with 70 and with 10,000 steps.
const MAX_PENDING: usize = 256;

/// A forecast that is scored when it is due.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    due: u64,
    step_key: StepKey,
    /// Headroom forecast by the curve.
    curve: f64,
    /// Headroom when the forecast was made.
    persistence: f64,
}

/// State of the seasonality of all steps.
#[derive(Debug)]
pub(crate) struct Seasonality {
    /// Prior for fits of curves.
    pub(crate) prior: Prior,
    chosen_at: u64,
    pending: Vec<Forecast>,
    errors: Errors,
    /// Number of scored forecasts, decayed like the errors.
    scored: f64,
}

/// Decayed sums of the squared errors of forecasts.
#[derive(Debug, Clone, Copy, Default)]
struct Errors {
    /// Errors of curves.
    curve: f64,
    /// Errors of persistence forecasts.
    persistence: f64,
}

impl Default for Seasonality {
    fn default() -> Seasonality {
        Seasonality {
            prior: Prior {
                period: INITIAL_PERIOD_MS,
                mean: INITIAL_HEADROOM,
                mean_variance: 1.0,
                squared_amplitude: 2.0,
            },
            chosen_at: 0,
            pending: Vec::new(),
            errors: Errors::default(),
            scored: 0.0,
        }
    }
}

impl Seasonality {
    /// Returns whether curves forecast headrooms reliably.
    pub(crate) fn is_reliable(&self) -> bool {
        self.scored >= MIN_SCORED && self.errors.curve < MAX_ERROR_RATIO * self.errors.persistence
    }

    /// Returns the prior if curves are reliable.
    pub(crate) fn reliable_prior(&self) -> Option<Prior> {
        Some(self.prior).filter(|_| self.is_reliable())
    }

    /// Restores the prior of an earlier owner and counts curves as reliable.
    pub(crate) fn restore(&mut self, prior: Prior) {
        self.prior = prior;
        self.scored = 2.0 * MIN_SCORED;
        self.errors = Errors {
            curve: 0.0,
            persistence: self.scored * MAX_ERROR_RATIO,
        };
    }

    /// Returns whether no more forecasts are accepted for now.
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Records a forecast for a step, unless too many are pending.
    pub(crate) fn add_forecast(
        &mut self,
        step_key: StepKey,
        curve: &Curve,
        persistence: f64,
        now: u64,
    ) {
        if self.is_full() {
            return;
        }
        let due = now + FORECAST_HORIZON_MS;
        self.pending.push(Forecast {
            due,
            step_key,
            curve: curve.expected(due),
            persistence,
        });
    }

    /// Scores a due forecast for a step by the actual headroom.
    pub(crate) fn score(&mut self, step_key: StepKey, headroom: f64, now: u64) {
        let mut pending = self.pending.iter();
        let due = pending.position(|f| f.step_key == step_key && f.due <= now);
        let Some(at) = due else {
            return;
        };
        let forecast = self.pending.swap_remove(at);
        self.errors.curve += bounded_square(forecast.curve - headroom);
        self.errors.persistence += bounded_square(forecast.persistence - headroom);
        self.scored += 1.0;
    }

    /// Drops forecasts that could not be scored in time, and decays the errors.
    pub(crate) fn decay(&mut self, now: u64) {
        self.pending.retain(|f| f.due + FORECAST_HORIZON_MS > now);
        self.errors.curve *= DECAY;
        self.errors.persistence *= DECAY;
        self.scored *= DECAY;
    }

    /// Returns whether the next choice of the period is due.
    pub(crate) fn is_due(&self, now: u64) -> bool {
        now >= self.chosen_at + CHOICE_INTERVAL_MS
    }

    /// Chooses the period and updates the prior, both from the longest of the histories.
    pub(crate) fn choose_period(&mut self, histories: &[&History], now: u64) {
        self.chosen_at = now;
        let mut known = histories.to_vec();
        known.retain(|h| h.len() >= MIN_POINTS);
        known.sort_by_key(|h| Reverse(h.span()));
        known.truncate(MAX_HISTORIES);
        if known.is_empty() {
            return;
        }
        self.prior.period = self.best_period(&known, now);
        self.update_prior(&known, now);
        self.log_choice(known.len());
    }

    /// Returns the period with the smallest residual over the histories.
    fn best_period(&self, known: &[&History], now: u64) -> f64 {
        let mut best = (f64::INFINITY, self.prior.period);
        let mut period = MIN_PERIOD_MS;
        while period <= MAX_PERIOD_MS {
            let prior = Prior {
                period,
                ..self.prior
            };
            let residual = known.iter().map(|h| h.fit(&prior, now).residual);
            let residual: f64 = residual.sum();
            if residual < best.0 {
                best = (residual, period);
            }
            period *= PERIOD_FACTOR;
        }
        best.1
    }

    fn log_choice(&self, steps: usize) {
        let count = self.scored.max(1.0);
        let curve = (self.errors.curve / count).sqrt();
        let still = (self.errors.persistence / count).sqrt();
        let (period, used) = (self.prior.period as u64, self.is_reliable());
        log::info!(period_ms = period, steps, curve_error = curve, still_error = still, used; "season: chosen");
    }

    /// Updates the means and amplitudes of the prior from histories that span most of a period.
    fn update_prior(&mut self, known: &[&History], now: u64) {
        let min_span = self.prior.period * MIN_SPAN_SHARE;
        let long_histories = known.iter().filter(|h| h.span() as f64 >= min_span);
        let curves: Vec<Curve> = long_histories
            .map(|h| h.fit(&self.prior, now).curve)
            .collect();
        if curves.len() < MIN_CURVES {
            return;
        }
        let count = curves.len() as f64;
        let mean = curves.iter().map(|c| c.mean).sum::<f64>() / count;
        let squares = curves.iter().map(|c| (c.mean - mean).powi(2)).sum::<f64>();
        self.prior.mean = mean;
        self.prior.mean_variance = (squares / count).max(MIN_MEAN_VARIANCE);
        self.prior.squared_amplitude = (curves.iter().map(Curve::squared_amplitude).sum::<f64>()
            / count)
            .max(MIN_SQUARED_AMPLITUDE);
    }
}

/// Returns the squared error, at most 1: a hanging worker can't be forecast.
fn bounded_square(error: f64) -> f64 {
    (error * error).min(1.0)
}
