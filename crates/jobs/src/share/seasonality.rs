//! What the loads of steps have in common: their period, and whether curves foresee them.
//!
//! The load pattern that this answers: loads swing in periods of 10 to 20 s on one deployment
//! and of others on the next, or not at all. The period is the one by which the histories of
//! some steps are missed least; and curves are used only while they foresaw headrooms better
//! than what was seen last did.

use std::cmp::Reverse;

use crate::share::{
    forecast::{Curve, History, Prior},
    headroom::INITIAL_HEADROOM,
    sample::StepKey,
};

/// Shortest period that is tried, in milliseconds: eight points of a step.
const MIN_PERIOD_MS: f64 = 4_000.0;

/// Longest period that is tried, in milliseconds: a history holds two thirds of it.
const MAX_PERIOD_MS: f64 = 60_000.0;

/// Factor from one period to the next: over two of them the phase is off by a twentieth of one
/// at most.
const PERIOD_FACTOR: f64 = 1.05;

/// Period before one was chosen, in milliseconds: of 10 to 20 s that were seen.
const INITIAL_PERIOD_MS: f64 = 15_000.0;

/// Share of a period for which a step has to be seen to tell its mean and its swing.
const MIN_SPAN_SHARE: f64 = 0.7;

/// Steps of which that has to be known before it is usual.
const MIN_CURVES: usize = 3;

/// Least variance of steps' means that is thought usual: none is known better than that.
const MIN_MEAN_VARIANCE: f64 = 0.02;

/// Least mean square of half of the swing that is thought usual.
const MIN_SQUARED_AMPLITUDE: f64 = 0.05;

/// Milliseconds from one choice of the period to the next.
const CHOICE_INTERVAL_MS: u64 = 3_000;

/// Steps whose histories are looked at for it at most, so that it costs the same with 70 and
/// with 10,000 of them.
const MAX_HISTORIES: usize = 16;

/// Points that a history needs for that.
const MIN_POINTS: usize = 12;

/// Milliseconds from a forecast to the time when it is judged: as long as a task runs.
const FORECAST_HORIZON_MS: u64 = 2_000;

/// What older errors keep of their weight at each judgement, one a half second.
const DECAY: f64 = 0.96;

/// Curves are used while their errors are at most this share of those of what was seen last.
const MAX_ERROR_RATIO: f64 = 0.7;

/// Forecasts that were judged at least before curves are used.
const MIN_SCORED: f64 = 30.0;

/// Forecasts that wait for what comes at most, four a step: to judge some of them tells enough,
/// and costs the same with 70 and with 10,000 steps.
const MAX_PENDING: usize = 256;

/// A forecast that is to be judged.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    due: u64,
    step_key: StepKey,
    /// By the curve.
    curve: f64,
    /// As it was when the forecast was made.
    persistence: f64,
}

/// What is known of the loads of all steps.
#[derive(Debug)]
pub(crate) struct Seasonality {
    /// What is usual for steps.
    pub(crate) prior: Prior,
    chosen_at: u64,
    pending: Vec<Forecast>,
    errors: Errors,
    /// How many forecasts were judged, faded as errors are.
    scored: f64,
}

/// Sums of squares of forecasts' errors, faded.
#[derive(Debug, Clone, Copy, Default)]
struct Errors {
    /// Of curves.
    curve: f64,
    /// Of what was seen last.
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
    /// Tells whether curves foresee headrooms.
    pub(crate) fn is_reliable(&self) -> bool {
        self.scored >= MIN_SCORED && self.errors.curve < MAX_ERROR_RATIO * self.errors.persistence
    }

    /// Returns what is usual, if curves foresee headrooms.
    pub(crate) fn reliable_prior(&self) -> Option<Prior> {
        Some(self.prior).filter(|_| self.is_reliable())
    }

    /// Takes over what an earlier owner found usual.
    pub(crate) fn restore(&mut self, prior: Prior) {
        self.prior = prior;
        self.scored = 2.0 * MIN_SCORED;
        self.errors = Errors {
            curve: 0.0,
            persistence: self.scored * MAX_ERROR_RATIO,
        };
    }

    /// Tells whether no more forecasts are taken for now.
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Takes note of what is expected of a step.
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

    /// Judges the forecasts for a step by what came.
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

    /// Forgets forecasts that nothing came of, and lets errors fade.
    pub(crate) fn decay(&mut self, now: u64) {
        self.pending.retain(|f| f.due + FORECAST_HORIZON_MS > now);
        self.errors.curve *= DECAY;
        self.errors.persistence *= DECAY;
        self.scored *= DECAY;
    }

    /// Tells whether it is time to choose the period anew.
    pub(crate) fn is_due(&self, now: u64) -> bool {
        now >= self.chosen_at + CHOICE_INTERVAL_MS
    }

    /// Chooses the period, and what is usual, by the longest of these histories.
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

    /// Returns the period by which histories are missed least.
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

    /// Takes over means and swings of steps that were seen for most of a period.
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

/// Returns a square, as far as it tells of a forecast: a worker that hangs is not foreseen.
fn bounded_square(error: f64) -> f64 {
    (error * error).min(1.0)
}
