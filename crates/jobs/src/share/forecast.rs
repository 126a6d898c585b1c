//! Where the headroom of a step goes: what it was, and a curve through that.
//!
//! The load pattern that this answers: loads that rise and fall in a period of their own, the
//! same for all steps and at other times for each. A filling task runs for seconds, so that
//! what counts is the headroom while it runs, not the one when it begins.
//!
//! Limits: of each step the last 40 s are kept, two and more periods of the loads that were
//! seen (10 to 20 s); a step without figures is thought to be as the others are.

use std::{collections::VecDeque, f64::consts::TAU};

use serde::{Deserialize, Serialize};

/// Points that are kept of a step, one for each half second.
const MAX_POINTS: usize = 80;

/// Milliseconds after which a point counts half.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Error of the mean of a step's figures that more of them don't lower, in headroom: what
/// fills is known roughly.
const SYSTEMATIC_ERROR: f64 = 0.15;

/// Share of a point's deviation from the curve that counts as a lasting one.
const DRIFT_SMOOTHING: f64 = 0.2;

/// Milliseconds from one value of a curve to the next where it is searched.
const STRIDE_MS: u64 = 250;

/// Headroom of a step in one half second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Point {
    /// When it was, in milliseconds.
    pub(crate) at: u64,
    /// Headroom without what fills.
    pub(crate) headroom: f64,
    /// Weight of the figures that it comes from, one over the square of their error.
    pub(crate) precision: f64,
}

/// What the headroom of a step was of late.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    points: VecDeque<Point>,
}

impl History {
    /// Takes the newest point.
    pub(crate) fn push(&mut self, point: Point) {
        if self.points.len() == MAX_POINTS {
            self.points.pop_front();
        }
        self.points.push_back(point);
    }

    /// Tells whether nothing was seen of it.
    pub(crate) fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Returns how many points there are.
    pub(crate) fn len(&self) -> usize {
        self.points.len()
    }

    /// Returns the time from the first point to the last, in milliseconds.
    pub(crate) fn span(&self) -> u64 {
        match (self.points.front(), self.points.back()) {
            (Some(first), Some(last)) => last.at - first.at,
            _ => 0,
        }
    }

    /// Returns the curve through the points, given what is usual.
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

/// What a fit gives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurveFit {
    /// The curve.
    pub(crate) curve: Curve,
    /// By how much the points miss it: the sum of squares, each by its error.
    pub(crate) residual: f64,
}

/// A point as one fit uses it, twice: for the sums, and for what the curve misses.
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

/// What is usual for steps: what a curve is thought to be without any point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Prior {
    /// Milliseconds from one peak of the load to the next.
    pub(crate) period: f64,
    /// Mean headroom.
    pub(crate) mean: f64,
    /// Variance of steps' means.
    #[serde(rename = "spread")]
    pub(crate) mean_variance: f64,
    /// Mean square of half of the swing.
    #[serde(rename = "swing")]
    pub(crate) squared_amplitude: f64,
}

/// Sums of a least squares fit of a constant, a cosine and a sine.
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

    /// Solves by elimination; what is usual keeps the matrix regular.
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

/// A headroom that rises and falls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Curve {
    period: f64,
    origin: u64,
    pub(crate) mean: f64,
    cos: f64,
    sin: f64,
    /// By how much the last points were above it.
    drift: f64,
}

impl Curve {
    /// Returns the headroom at a time.
    fn value_at(&self, at: u64) -> f64 {
        let (sin, cos) = phase(self.period, self.origin, at).sin_cos();
        self.value(sin, cos)
    }

    fn value(&self, sin: f64, cos: f64) -> f64 {
        self.mean + self.cos * cos + self.sin * sin
    }

    /// Returns the headroom that is expected at a time to come.
    pub(crate) fn expected(&self, at: u64) -> f64 {
        self.value_at(at) + self.drift
    }

    /// Returns the least headroom that is expected from a time on for so long.
    pub(crate) fn minimum(&self, from: u64, span: u64) -> f64 {
        let values = (0..=span / STRIDE_MS).map(|n| self.expected(from + n * STRIDE_MS));
        values.fold(f64::INFINITY, f64::min)
    }

    /// Returns the mean headroom that is expected from a time on for so long.
    pub(crate) fn average(&self, from: u64, span: u64) -> f64 {
        let count = span / STRIDE_MS + 1;
        let values = (0..count).map(|n| self.expected(from + n * STRIDE_MS));
        values.sum::<f64>() / count as f64
    }

    /// Returns the square of half of its swing.
    pub(crate) fn squared_amplitude(&self) -> f64 {
        self.cos * self.cos + self.sin * self.sin
    }
}
