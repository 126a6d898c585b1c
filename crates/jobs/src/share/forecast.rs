//! Forecasts the headroom of a step by fitting a sinusoid to its recent values.
//!
//! The load of a service rises and falls periodically. All steps share the period, with a phase of
//! their own. A best-effort run lasts for seconds, so the headroom that matters is the one during
//! the run, not the one at its start.
//!
//! Limits: the last 40 s of each step are kept, which covers at least two periods of 10 to 20 s. A
//! step without samples is assumed to behave like the others.

use std::{collections::VecDeque, f64::consts::TAU};

use serde::{Deserialize, Serialize};

/// Points kept per step, two per second.
const MAX_POINTS: usize = 80;

/// Age at which the weight of a point is halved.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Error of a step's mean headroom that doesn't shrink with more samples, because the headroom that
/// best-effort runs take is only a rough estimate.
const SYSTEMATIC_ERROR: f64 = 0.15;

/// Smoothing factor of the drift: the share of a point's deviation from the curve that counts as
/// permanent.
const DRIFT_SMOOTHING: f64 = 0.2;

/// Interval at which a curve is evaluated for its minimum and its mean.
const STRIDE_MS: u64 = 250;

/// Headroom of a step in one half second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Point {
    /// Time in milliseconds.
    pub(crate) at: u64,
    /// Headroom without best-effort runs.
    pub(crate) headroom: f64,
    /// Inverse of the squared error of `headroom`.
    pub(crate) precision: f64,
}

/// Recent headrooms of a step, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    points: VecDeque<Point>,
}

impl History {
    /// Appends the newest point and drops the oldest one if the history is full.
    pub(crate) fn push(&mut self, point: Point) {
        if self.points.len() == MAX_POINTS {
            self.points.pop_front();
        }
        self.points.push_back(point);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Returns the number of points.
    pub(crate) fn len(&self) -> usize {
        self.points.len()
    }

    /// Returns the time from the first to the last point in milliseconds.
    pub(crate) fn span(&self) -> u64 {
        match (self.points.front(), self.points.back()) {
            (Some(first), Some(last)) => last.at - first.at,
            _ => 0,
        }
    }

    /// Fits a curve to the points, regularised by the prior.
    pub(crate) fn fit(&self, prior: &Prior, now: u64) -> CurveFit {
        let points = self
            .points
            .iter()
            .map(|p| WeightedPoint::new(p, prior, now));
        let points: Vec<WeightedPoint> = points.collect();
        let mut sums = NormalEquations::new(prior);
        for point in &points {
            sums.add(point);
        }
        let mut curve = sums.solve(prior, now);
        let mut residual = 0.0;
        for point in &points {
            let deviation = point.headroom - curve.value(point.sin, point.cos);
            residual += point.weight * deviation * deviation;
            curve.drift += DRIFT_SMOOTHING * (deviation - curve.drift);
        }
        CurveFit { curve, residual }
    }
}

/// Result of fitting a curve to a history.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurveFit {
    pub(crate) curve: Curve,
    /// Sum of the squared residuals, each weighted by its age and inverse squared error.
    pub(crate) residual: f64,
}

/// A point as one fit uses it, first for the normal equations and then for the residual.
struct WeightedPoint {
    headroom: f64,
    weight: f64,
    sin: f64,
    cos: f64,
}

impl WeightedPoint {
    fn new(point: &Point, prior: &Prior, now: u64) -> WeightedPoint {
        let age = now.saturating_sub(point.at) as f64;
        let error = 1.0 / point.precision + SYSTEMATIC_ERROR * SYSTEMATIC_ERROR;
        let (sin, cos) = phase(prior.period, now, point.at).sin_cos();
        WeightedPoint {
            headroom: point.headroom,
            weight: 0.5_f64.powf(age / HALF_LIFE_MS) / error,
            sin,
            cos,
        }
    }
}

/// Typical behaviour of steps, and the assumed behaviour of a step without points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Prior {
    /// Period of the load in milliseconds.
    pub(crate) period: f64,
    /// Mean headroom.
    pub(crate) mean: f64,
    /// Variance of the steps' mean headrooms.
    #[serde(rename = "spread")]
    pub(crate) mean_variance: f64,
    /// Mean of the squared amplitude.
    #[serde(rename = "swing")]
    pub(crate) squared_amplitude: f64,
}

/// Normal equations of the least squares fit of a constant, a cosine and a sine.
struct NormalEquations {
    squares: [[f64; 3]; 3],
    products: [f64; 3],
}

impl NormalEquations {
    fn new(prior: &Prior) -> NormalEquations {
        let amplitude_precision = 2.0 / prior.squared_amplitude;
        let mean_precision = 1.0 / prior.mean_variance;
        NormalEquations {
            squares: [
                [mean_precision, 0.0, 0.0],
                [0.0, amplitude_precision, 0.0],
                [0.0, 0.0, amplitude_precision],
            ],
            products: [mean_precision * prior.mean, 0.0, 0.0],
        }
    }

    fn add(&mut self, point: &WeightedPoint) {
        let row = [1.0, point.cos, point.sin];
        for a in 0..3 {
            for b in 0..3 {
                self.squares[a][b] += point.weight * row[a] * row[b];
            }
            self.products[a] += point.weight * row[a] * point.headroom;
        }
    }

    /// Solves by Gaussian elimination. The prior keeps the matrix regular.
    fn solve(mut self, prior: &Prior, now: u64) -> Curve {
        let (m, p) = (&mut self.squares, &mut self.products);
        for at in 0..3 {
            for row in at + 1..3 {
                let pivot = m[at];
                let share = m[row][at] / pivot[at];
                for (value, above) in m[row].iter_mut().zip(pivot).skip(at) {
                    *value -= share * above;
                }
                p[row] -= share * p[at];
            }
        }
        let sin = p[2] / m[2][2];
        let cos = (p[1] - m[1][2] * sin) / m[1][1];
        let mean = (p[0] - m[0][1] * cos - m[0][2] * sin) / m[0][0];
        Curve {
            period: prior.period,
            origin: now,
            mean,
            cos,
            sin,
            drift: 0.0,
        }
    }
}

fn phase(period: f64, origin: u64, at: u64) -> f64 {
    TAU * (at as f64 - origin as f64) / period
}

/// A sinusoidal headroom with a drift.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Curve {
    period: f64,
    origin: u64,
    pub(crate) mean: f64,
    cos: f64,
    sin: f64,
    /// Smoothed deviation of the last points from the sinusoid.
    drift: f64,
}

impl Curve {
    /// Returns the headroom at a time, without the drift.
    fn value_at(&self, at: u64) -> f64 {
        let (sin, cos) = phase(self.period, self.origin, at).sin_cos();
        self.value(sin, cos)
    }

    fn value(&self, sin: f64, cos: f64) -> f64 {
        self.mean + self.cos * cos + self.sin * sin
    }

    /// Returns the expected headroom at a time.
    pub(crate) fn expected(&self, at: u64) -> f64 {
        self.value_at(at) + self.drift
    }

    /// Returns the lowest expected headroom in the `span` milliseconds after `from`.
    pub(crate) fn minimum(&self, from: u64, span: u64) -> f64 {
        let values = (0..=span / STRIDE_MS).map(|n| self.expected(from + n * STRIDE_MS));
        values.fold(f64::INFINITY, f64::min)
    }

    /// Returns the mean expected headroom in the `span` milliseconds after `from`.
    pub(crate) fn average(&self, from: u64, span: u64) -> f64 {
        let count = span / STRIDE_MS + 1;
        let values = (0..count).map(|n| self.expected(from + n * STRIDE_MS));
        values.sum::<f64>() / count as f64
    }

    /// Returns the squared amplitude.
    pub(crate) fn squared_amplitude(&self) -> f64 {
        self.cos * self.cos + self.sin * self.sin
    }
}
