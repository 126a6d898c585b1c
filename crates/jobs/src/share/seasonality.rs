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
const SHORTEST: f64 = 4_000.0;

/// Longest period that is tried, in milliseconds: a history holds two thirds of it.
const LONGEST: f64 = 60_000.0;

/// Factor from one period to the next: over two of them the phase is off by a twentieth of one
/// at most.
const FACTOR: f64 = 1.05;

/// Period before one was chosen, in milliseconds: of 10 to 20 s that were seen.
const FIRST_PERIOD: f64 = 15_000.0;

/// Share of a period for which a step has to be seen to tell its mean and its swing.
const MOST_OF_IT: f64 = 0.7;

/// Steps of which that has to be known before it is usual.
const FEW: usize = 3;

/// Least variance of steps' means that is thought usual: none is known better than that.
const LEAST_SPREAD: f64 = 0.02;

/// Least mean square of half of the swing that is thought usual.
const LEAST_SWING: f64 = 0.05;

/// Milliseconds from one choice of the period to the next.
const PERIOD: u64 = 3_000;

/// Steps whose histories are looked at for it at most, so that it costs the same with 70 and
/// with 10,000 of them.
const STEPS: usize = 16;

/// Points that a history needs for that.
const ENOUGH: usize = 12;

/// Milliseconds from a forecast to the time when it is judged: as long as a task runs.
const AHEAD: u64 = 2_000;

/// What older errors keep of their weight at each judgement, one a half second.
const FADE: f64 = 0.96;

/// Curves are used while their errors are at most this share of those of what was seen last.
const BETTER: f64 = 0.7;

/// Forecasts that were judged at least before curves are used.
const JUDGED: f64 = 30.0;

/// Forecasts that wait for what comes at most, four a step: to judge some of them tells enough,
/// and costs the same with 70 and with 10,000 steps.
const WAITING: usize = 256;

/// A forecast that is to be judged.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    due: u64,
    group: StepKey,
    /// By the curve.
    curve: f64,
    /// As it was when the forecast was made.
    still: f64,
}

/// What is known of the loads of all steps.
#[derive(Debug)]
pub(crate) struct Seasonality {
    /// What is usual for steps.
    pub(crate) prior: Prior,
    chosen: u64,
    waiting: Vec<Forecast>,
    errors: Errors,
    /// How many forecasts were judged, faded as errors are.
    judged: f64,
}

/// Sums of squares of forecasts' errors, faded.
#[derive(Debug, Clone, Copy, Default)]
struct Errors {
    /// Of curves.
    curve: f64,
    /// Of what was seen last.
    still: f64,
}

impl Default for Seasonality {
    fn default() -> Seasonality {
        Seasonality {
            prior: Prior {
                period: FIRST_PERIOD,
                mean: INITIAL_HEADROOM,
                spread: 1.0,
                swing: 2.0,
            },
            chosen: 0,
            waiting: Vec::new(),
            errors: Errors::default(),
            judged: 0.0,
        }
    }
}

impl Seasonality {
    /// Tells whether curves foresee headrooms.
    pub(crate) fn is_known(&self) -> bool {
        self.judged >= JUDGED && self.errors.curve < BETTER * self.errors.still
    }

    /// Returns what is usual, if curves foresee headrooms.
    pub(crate) fn known(&self) -> Option<Prior> {
        Some(self.prior).filter(|_| self.is_known())
    }

    /// Takes over what an earlier owner found usual.
    pub(crate) fn restore(&mut self, usual: Prior) {
        self.prior = usual;
        self.judged = 2.0 * JUDGED;
        self.errors = Errors {
            curve: 0.0,
            still: self.judged * BETTER,
        };
    }

    /// Tells whether no more forecasts are taken for now.
    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= WAITING
    }

    /// Takes note of what is expected of a step.
    pub(crate) fn add_forecast(&mut self, group: StepKey, curve: &Curve, still: f64, now: u64) {
        if self.is_full() {
            return;
        }
        let due = now + AHEAD;
        self.waiting.push(Forecast {
            due,
            group,
            curve: curve.expected(due),
            still,
        });
    }

    /// Judges the forecasts for a step by what came.
    pub(crate) fn score(&mut self, group: StepKey, headroom: f64, now: u64) {
        let mut waiting = self.waiting.iter();
        let due = waiting.position(|f| f.group == group && f.due <= now);
        let Some(at) = due else {
            return;
        };
        let forecast = self.waiting.swap_remove(at);
        self.errors.curve += bounded_square(forecast.curve - headroom);
        self.errors.still += bounded_square(forecast.still - headroom);
        self.judged += 1.0;
    }

    /// Forgets forecasts that nothing came of, and lets errors fade.
    pub(crate) fn fade(&mut self, now: u64) {
        self.waiting.retain(|f| f.due + AHEAD > now);
        self.errors.curve *= FADE;
        self.errors.still *= FADE;
        self.judged *= FADE;
    }

    /// Tells whether it is time to choose the period anew.
    pub(crate) fn is_due(&self, now: u64) -> bool {
        now >= self.chosen + PERIOD
    }

    /// Chooses the period, and what is usual, by the longest of these histories.
    pub(crate) fn choose_period(&mut self, histories: &[&History], now: u64) {
        self.chosen = now;
        let mut known = histories.to_vec();
        known.retain(|h| h.len() >= ENOUGH);
        known.sort_by_key(|h| Reverse(h.span()));
        known.truncate(STEPS);
        if known.is_empty() {
            return;
        }
        self.prior.period = self.best_period(&known, now);
        self.note_usual(&known, now);
        self.log_choice(known.len());
    }

    /// Returns the period by which histories are missed least.
    fn best_period(&self, known: &[&History], now: u64) -> f64 {
        let mut best = (f64::INFINITY, self.prior.period);
        let mut period = SHORTEST;
        while period <= LONGEST {
            let usual = Prior {
                period,
                ..self.prior
            };
            let missed = known.iter().map(|h| h.fit(&usual, now).residual);
            let missed: f64 = missed.sum();
            if missed < best.0 {
                best = (missed, period);
            }
            period *= FACTOR;
        }
        best.1
    }

    fn log_choice(&self, steps: usize) {
        let count = self.judged.max(1.0);
        let curve = (self.errors.curve / count).sqrt();
        let still = (self.errors.still / count).sqrt();
        let (period, used) = (self.prior.period as u64, self.is_known());
        log::info!(period_ms = period, steps, curve_error = curve, still_error = still, used; "season: chosen");
    }

    /// Takes over means and swings of steps that were seen for most of a period.
    fn note_usual(&mut self, known: &[&History], now: u64) {
        let most = self.prior.period * MOST_OF_IT;
        let long = known.iter().filter(|h| h.span() as f64 >= most);
        let curves: Vec<Curve> = long.map(|h| h.fit(&self.prior, now).curve).collect();
        if curves.len() < FEW {
            return;
        }
        let count = curves.len() as f64;
        let mean = curves.iter().map(|c| c.mean).sum::<f64>() / count;
        let squares = curves.iter().map(|c| (c.mean - mean).powi(2)).sum::<f64>();
        self.prior.mean = mean;
        self.prior.spread = (squares / count).max(LEAST_SPREAD);
        self.prior.swing = (curves.iter().map(Curve::swing).sum::<f64>() / count).max(LEAST_SWING);
    }
}

/// Returns a square, as far as it tells of a forecast: a worker that hangs is not foreseen.
fn bounded_square(error: f64) -> f64 {
    (error * error).min(1.0)
}
