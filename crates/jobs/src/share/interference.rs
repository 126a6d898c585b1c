//! How much tasks that fill disturb tasks that serve.
//!
//! Measured on the users' bench (tmdro-grown quiet-1, 116,000 figures): a tail grows
//! as in a queue, with one over what is left of the server, so that target over
//! tail, here called headroom, falls in proportion to the load and to what fills.
//! Tasks of one step share their load, which swings by a factor of three within five
//! seconds. A core of a filling image takes 0.2 to 0.7 of headroom from a serving
//! image in about one pair of four, and nothing in the others, steadily. What is
//! left unexplained is a tenth of the headroom.
//!
//! So what each filling image takes is fitted, by least squares, to how headrooms differ from
//! the one that is foreseen of their step; where none is, to how those of one step differ from
//! their mean and how what fills beside them differs from its mean. Older differences fade.
//! Weights are too low by a third in the second way (fitted to the 51,000 figures of a day):
//! what fills is known roughly, and alike beside the tasks of a step. Differences of logarithms
//! from one half second to the next were used first: the swing of the load drowned them, and
//! harmless pairs were taken for harmful ones.

use std::sync::Arc;

use crate::{
    share::{
        fit::{Fit, INITIAL_WEIGHT},
        learned::PairWeight,
        sample::{Image, Pressure, Sample, StepKey},
    },
    sorted_map::SortedMap,
};

/// What takes less than this of headroom with all processors of a worker does not
/// disturb: pairs take 0 to 1.5 or 6 to 14 (fitted to the 17,000 figures of a day), and
/// one that is not known yet is taken to disturb.
const MAX_HARMLESS_WEIGHT: f64 = 2.8;

/// Headrooms of one step that are compared at least.
const MIN_SAMPLES: usize = 3;

/// A headroom that waits for others of its step to be compared with is too old after
/// so many fits: the load has moved by then.
const MAX_SAMPLE_AGE: u8 = 4;

/// Headroom of a step without what fills.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BaseHeadroom {
    /// The step.
    pub(crate) step_key: StepKey,
    /// The middle of its tasks' headrooms.
    pub(crate) headroom: f64,
    /// One over the square of its error.
    pub(crate) precision: f64,
}

/// What filling images take from serving ones, by pair.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    fits: SortedMap<Image, Fit>,
    /// What was not learned from yet.
    samples: Vec<Sample>,
}

impl Interference {
    /// Returns the headroom that a whole worker of a filling image takes from a serving one.
    pub(crate) fn weight(&self, best_effort: Image, serving: Image) -> f64 {
        let weight = self.fits.get(&serving).map(|f| f.weight(best_effort));
        weight.unwrap_or(INITIAL_WEIGHT)
    }

    /// Returns the headroom that a whole worker of a filling image takes from each of so
    /// many serving ones.
    pub(crate) fn headroom_costs(&self, best_effort: Image, images: usize) -> Vec<f64> {
        let mut costs = vec![INITIAL_WEIGHT; images];
        for (&serving, fit) in self.fits.iter() {
            if let Some(weight) = costs.get_mut(serving as usize) {
                *weight = fit.weight(best_effort);
            }
        }
        costs
    }

    /// Returns what is known of all pairs.
    pub(crate) fn known_weights(&self) -> Vec<PairWeight> {
        let mut known = Vec::new();
        for (&serving, fit) in self.fits.iter() {
            known.extend(fit.known_weights(serving));
        }
        known
    }

    /// Takes over what an earlier owner knew of a pair.
    pub(crate) fn restore(&mut self, pair: &PairWeight) {
        self.fits.or_default(&pair.serving_image).restore(pair);
    }

    /// Returns the headroom that what fills takes from a serving image.
    pub(crate) fn headroom_taken(&self, serving: Image, pressures: &[Pressure]) -> f64 {
        match self.fits.get(&serving) {
            Some(fit) => fit.headroom_taken(pressures),
            None => Fit::default().headroom_taken(pressures),
        }
    }

    /// Tells whether a filling image disturbs a serving one.
    pub(crate) fn interferes(&self, best_effort: Image, serving: Image) -> bool {
        is_interfering(self.weight(best_effort, serving))
    }

    /// Takes a headroom, and what filled beside it.
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

    /// Fits to what was noted, once each half second, and returns the newest headrooms
    /// of the steps; `forecast` tells which one was foreseen of a step, if any was.
    pub(crate) fn fit(&mut self, forecast: impl Fn(StepKey) -> Option<f64>) -> Vec<BaseHeadroom> {
        let mut bases = Vec::new();
        let mut kept = Vec::new();
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
                fit.add_with_forecast(samples, expected);
                continue;
            }
            if samples.len() >= MIN_SAMPLES {
                fit.add(samples, base);
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
        bases
    }
}

/// Tells whether what takes so much headroom with all processors of a worker disturbs.
pub(crate) fn is_interfering(weight: f64) -> bool {
    weight > MAX_HARMLESS_WEIGHT
}
