//! Model of how much best-effort tasks lengthen the tail latencies of serving tasks.
//!
//! A tail latency grows as in a queue, with the inverse of the remaining capacity. The headroom
//! (target divided by tail latency) therefore falls linearly with the load and with the CPU that
//! best-effort runs use. Tasks of one step share their load, which varies by a factor of three
//! within five seconds. In about one of four pairs of images, a core used by the best-effort image
//! constantly takes 0.2 to 0.7 of headroom from the serving image; in the others it takes nothing.
//! About a tenth of the headroom remains unexplained.
//!
//! The headroom that each best-effort image takes is fitted by least squares. Where a step's
//! headroom is forecast, the fit uses the deviations of its tasks' headrooms from the forecast.
//! Else it uses their deviations from the step's mean, against the deviations of the best-effort
//! use beside them from its mean. The second way underestimates the weights by a third, because the
//! best-effort use is measured only roughly and is similar beside all tasks of a step. Older
//! samples decay.
//!
//! Differences of logarithms from one half second to the next don't work: the variation of the load
//! hides the interference, and harmless pairs appear harmful.

use std::sync::Arc;

use crate::{
    share::{
        fit::{Fit, INITIAL_WEIGHT},
        learned::PairWeight,
        sample::{Image, Pressure, Sample, StepKey},
    },
    sorted_map::SortedMap,
};

/// Up to this weight a pair of images doesn't interfere. Pairs have weights of 0 to 1.5 or of 6 to
/// 14, and an unknown pair counts as interfering (see [`INITIAL_WEIGHT`]).
const MAX_HARMLESS_WEIGHT: f64 = 2.8;

/// Fewest headrooms of one step that are compared with each other.
const MIN_SAMPLES: usize = 3;

/// Entries of all fits together at most; an entry takes 16 bytes, or 64 with the head of its row.
/// The bench's deployments need some hundred.
pub(super) const MAX_ENTRIES: usize = 50_000;

/// Fits that a sample waits for others of its step. The load has changed by then.
const MAX_SAMPLE_AGE: u8 = 4;

/// Headroom of a step without best-effort runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BaseHeadroom {
    pub(crate) step_key: StepKey,
    /// Median over the step's tasks.
    pub(crate) headroom: f64,
    /// Inverse of the squared error of `headroom`.
    pub(crate) precision: f64,
}

/// Headroom that best-effort images take from serving ones, by pair.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    fits: SortedMap<Image, Fit>,
    /// Samples that are not part of a fit yet.
    samples: Vec<Sample>,
}

impl Interference {
    /// Returns the headroom that a best-effort image takes from a serving one if it uses all CPUs
    /// of a worker.
    pub(crate) fn weight(&self, best_effort: Image, serving: Image) -> f64 {
        let weight = self.fits.get(&serving).map(|f| f.weight(best_effort));
        weight.unwrap_or(INITIAL_WEIGHT)
    }

    /// Returns the weight of a best-effort image against each serving image below `images`, indexed
    /// by image number.
    pub(crate) fn headroom_costs(&self, best_effort: Image, images: usize) -> Vec<f64> {
        let mut costs = vec![INITIAL_WEIGHT; images];
        for (&serving, fit) in self.fits.iter() {
            if let Some(weight) = costs.get_mut(serving as usize) {
                *weight = fit.weight(best_effort);
            }
        }
        costs
    }

    /// Returns the weights of all pairs with samples.
    pub(crate) fn known_weights(&self) -> Vec<PairWeight> {
        let mut known = Vec::new();
        for (&serving, fit) in self.fits.iter() {
            known.extend(fit.known_weights(serving));
        }
        known
    }

    /// Restores the weight of a pair from an earlier owner.
    pub(crate) fn restore(&mut self, pair: &PairWeight) {
        self.fits.or_default(&pair.serving_image).restore(pair);
    }

    /// Forgets everything about an image.
    pub(crate) fn forget(&mut self, image: Image) {
        self.fits.remove(&image);
        for (_, fit) in self.fits.iter_mut() {
            fit.forget(image);
        }
        let uses =
            |s: &Sample| s.serving_image == image || s.pressures.iter().any(|p| p.image == image);
        self.samples.retain(|s| !uses(s));
    }

    /// Returns the headroom that best-effort runs with these CPU shares take from a serving image.
    pub(crate) fn headroom_taken(&self, serving: Image, pressures: &[Pressure]) -> f64 {
        match self.fits.get(&serving) {
            Some(fit) => fit.headroom_taken(pressures),
            None => Fit::default().headroom_taken(pressures),
        }
    }

    /// Returns whether a best-effort image interferes with a serving one.
    pub(crate) fn interferes(&self, best_effort: Image, serving: Image) -> bool {
        is_interfering(self.weight(best_effort, serving))
    }

    /// Records the headroom of a serving task and the CPU shares of the best-effort runs beside it.
    pub(crate) fn add_sample(
        &mut self,
        step_key: StepKey,
        serving: Image,
        headroom: f64,
        pressures: &Arc<[Pressure]>,
    ) {
        self.samples.push(Sample {
            step_key,
            serving_image: serving,
            headroom,
            pressures: pressures.clone(),
            age: 0,
        });
    }

    /// Fits the weights to the recorded samples, once each half second, and returns the newest
    /// headrooms of the steps. `forecast` returns the headroom that was forecast for a step, if
    /// any.
    pub(crate) fn fit(&mut self, forecast: impl Fn(StepKey) -> Option<f64>) -> Vec<BaseHeadroom> {
        let mut bases = Vec::new();
        let mut kept = Vec::new();
        let mut room = MAX_ENTRIES.saturating_sub(self.size());
        self.samples.sort_by_key(|s| s.step_key);
        for samples in self.samples.chunk_by(|a, b| a.step_key == b.step_key) {
            let serving = samples[0].serving_image;
            let fit = self.fits.or_default(&serving);
            let base = fit.base(samples);
            bases.push(BaseHeadroom {
                step_key: samples[0].step_key,
                headroom: base,
                precision: fit.precision(samples),
            });
            if let Some(expected) = forecast(samples[0].step_key) {
                fit.add_with_forecast(samples, expected, &mut room);
                continue;
            }
            if samples.len() >= MIN_SAMPLES {
                fit.add(samples, base, &mut room);
                continue;
            }
            let recent = samples.iter().filter(|s| s.age < MAX_SAMPLE_AGE);
            kept.extend(recent.cloned());
        }
        for sample in &mut kept {
            sample.age += 1;
        }
        self.samples = kept;
        for (_, fit) in self.fits.iter_mut() {
            fit.solve();
        }
        self.make_room();
        bases
    }

    /// Returns the number of entries of all fits.
    pub(crate) fn size(&self) -> usize {
        self.fits.iter().map(|(_, f)| f.size()).sum()
    }

    /// Forgets the pairs with the least evidence while the entries take more than three quarters of
    /// what they may, so that there is room for new pairs.
    fn make_room(&mut self) {
        let mut size = self.size();
        if size <= MAX_ENTRIES / 4 * 3 {
            return;
        }
        let mut pairs = Vec::new();
        for (&serving, fit) in self.fits.iter() {
            pairs.extend(fit.evidence().map(|(image, e)| (e, serving, image)));
        }
        pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let known = pairs.len();
        for (_, serving, image) in pairs {
            if size <= MAX_ENTRIES / 2 {
                break;
            }
            if let Some(fit) = self.fits.get_mut(&serving) {
                size -= fit.forget(image);
            }
        }
        log::info!(known, size; "interference: forgot the pairs with the least evidence");
    }
}

/// Returns whether an image with this weight interferes.
pub(crate) fn is_interfering(weight: f64) -> bool {
    weight > MAX_HARMLESS_WEIGHT
}
