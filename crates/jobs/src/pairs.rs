//! How much tasks that fill lengthen the tails of tasks that serve.
//!
//! Measured on the users' bench (weldcert quiet-1, 5,000 answers): most pairs of
//! images don't disturb each other at all, some lengthen the tail by a tenth to
//! a fifth for each core in use, and the tail of an undisturbed task moves by a
//! factor of three with its own load. So there is an estimate for each pair, and
//! a baseline for each serving run; both follow the rough figures as they come.

use std::sync::Arc;

use crate::sorted::Sorted;

/// Share of an error that a run's baseline takes up: it follows loads that swing
/// within some twenty seconds.
const BASE_RATE: f64 = 0.15;

/// Share of an error that the pairs take up.
const PAIR_RATE: f64 = 0.25;

/// Added to the squared cores, so that little use teaches little.
const NOISE: f64 = 1.0;

/// Largest error that is learned from: a figure may be far off.
const MAX_ERROR: f64 = 1.2;

/// Largest estimate, as a logarithm for each core.
const MAX_WEIGHT: f64 = 1.5;

/// Tail of a serving task that was never seen, in milliseconds.
const FIRST_TAIL: f64 = 50.0;

/// What a filling task uses.
#[derive(Debug, Clone)]
pub(crate) struct Press {
    /// Its image.
    pub(crate) image: Arc<str>,
    /// Cores in use.
    pub(crate) cores: f64,
}

/// Estimates by pair: the logarithm by which one core of the first image lengthens
/// the tail of the second.
#[derive(Debug, Default)]
pub(crate) struct Pairs {
    weights: Sorted<(Arc<str>, Arc<str>), f64>,
}

impl Pairs {
    /// Returns the estimate for a pair; none is taken as harmless.
    pub(crate) fn weight(&self, fill: &Arc<str>, serve: &Arc<str>) -> f64 {
        let key = (fill.clone(), serve.clone());
        self.weights.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns the logarithm by which filling tasks lengthen a tail.
    pub(crate) fn pressure(&self, serve: &Arc<str>, press: &[Press]) -> f64 {
        let each = press.iter().map(|p| self.weight(&p.image, serve) * p.cores);
        each.sum()
    }

    /// Returns the baseline of a run that was never measured.
    pub(crate) fn first_base() -> f64 {
        FIRST_TAIL.ln()
    }

    /// Learns from a tail in milliseconds, and moves the run's baseline.
    pub(crate) fn learn(&mut self, serve: &Arc<str>, base: &mut f64, tail: u64, press: &[Press]) {
        if tail == 0 {
            return;
        }
        let expected = *base + self.pressure(serve, press);
        let error = ((tail as f64).ln() - expected).clamp(-MAX_ERROR, MAX_ERROR);
        *base += BASE_RATE * error;
        let norm = NOISE + press.iter().map(|p| p.cores * p.cores).sum::<f64>();
        for p in press {
            let weight = self.weight(&p.image, serve) + PAIR_RATE * error * p.cores / norm;
            let key = (p.image.clone(), serve.clone());
            self.weights.insert(key, weight.clamp(0.0, MAX_WEIGHT));
        }
    }
}
