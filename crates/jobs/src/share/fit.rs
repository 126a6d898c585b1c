//! The least squares fit of what filling images take from one serving image.

use crate::share::{
    learned::PairWeight,
    sample::{Image, Pressure, Sample},
};

/// Weight of the first guess, in squared shares of a worker at a headroom of one: as
/// much as a second beside one task on a twentieth of the processors.
const PRIOR_PRECISION: f64 = 0.002;

/// Headroom that an image takes that was never seen beside the other, if it uses all
/// processors: the mean over all pairs.
pub(crate) const INITIAL_WEIGHT: f64 = 3.5;

/// What older differences keep of their weight at each fit, one a half second:
/// half is gone after some 15 seconds.
const DECAY: f64 = 0.977;

/// Error of a figure, as a share of it.
const MEASUREMENT_ERROR: f64 = 0.1;

/// Error of what fills takes, as a share of it.
const INTERFERENCE_ERROR: f64 = 0.4;

/// Rounds of the fit; each starts from the last one's result.
const ITERATIONS: usize = 3;

/// Largest difference from what was expected that is learned from, as a share of it:
/// a figure may be far off.
const MAX_DEVIATION: f64 = 0.7;

/// Below this headroom a worker is overloaded, and the figure tells no more than that.
const OVERLOAD_HEADROOM: f64 = 0.4;

/// Largest headroom that an image takes if it uses all processors.
const MAX_WEIGHT: f64 = 64.0;

/// What filling images take from one serving image.
#[derive(Debug, Default)]
pub(crate) struct Fit {
    /// Sums of products of differences, by pairs of filling images.
    squares: Vec<Vec<f64>>,
    /// Sums of products of differences in use and in headroom.
    products: Vec<f64>,
    /// Headroom that a whole worker takes, by filling image.
    weights: Vec<f64>,
}

impl Fit {
    fn grow(&mut self, image_count: usize) {
        if self.weights.len() >= image_count {
            return;
        }
        self.weights.resize(image_count, INITIAL_WEIGHT);
        self.products.resize(image_count, 0.0);
        self.squares.resize(image_count, Vec::new());
        for row in &mut self.squares {
            row.resize(image_count, 0.0);
        }
    }

    /// Returns the headroom that a whole worker of a filling image takes.
    pub(crate) fn weight(&self, image: Image) -> f64 {
        let weight = self.weights.get(image as usize);
        weight.copied().unwrap_or(INITIAL_WEIGHT)
    }

    /// Returns the headroom that what fills takes.
    pub(crate) fn headroom_taken(&self, pressures: &[Pressure]) -> f64 {
        let each = pressures.iter().map(|p| self.weight(p.image) * p.share);
        each.sum()
    }

    /// Returns the middle of the headrooms without what fills.
    pub(crate) fn base(&self, samples: &[Sample]) -> f64 {
        let bases = samples
            .iter()
            .map(|s| s.headroom + self.headroom_taken(&s.pressures));
        let mut bases: Vec<f64> = bases.collect();
        bases.sort_unstable_by(f64::total_cmp);
        bases[bases.len() / 2]
    }

    /// Returns one over the square of the error of [`Fit::base`].
    pub(crate) fn precision(&self, samples: &[Sample]) -> f64 {
        let each = samples.iter().map(|s| {
            let error = MEASUREMENT_ERROR * s.headroom.max(1.0)
                + INTERFERENCE_ERROR * self.headroom_taken(&s.pressures);
            1.0 / (error * error)
        });
        each.sum()
    }

    /// Returns a headroom as far as it can be believed.
    fn plausible_headroom(&self, sample: &Sample, base: f64) -> f64 {
        let expected = base - self.headroom_taken(&sample.pressures);
        if sample.headroom < OVERLOAD_HEADROOM && expected < OVERLOAD_HEADROOM {
            return expected;
        }
        let max_deviation = MAX_DEVIATION * expected.max(1.0);
        sample
            .headroom
            .clamp(expected - max_deviation, expected + max_deviation)
    }

    /// Learns from how headrooms differ from the one that is foreseen of their step.
    pub(crate) fn add_with_forecast(&mut self, samples: &[Sample], base: f64) {
        self.grow(image_count(samples));
        for sample in samples {
            self.accumulate(sample, base);
        }
    }

    /// Learns from how headrooms of one step differ from each other.
    pub(crate) fn add(&mut self, samples: &[Sample], base: f64) {
        let images = image_count(samples);
        self.grow(images);
        let (mut shares, mut taken, mut total) = (vec![0.0; images], 0.0, 0.0);
        for sample in samples {
            let precision = sample.precision();
            total += precision;
            taken += self.accumulate(sample, base) * precision;
            for pressure in sample.pressures.iter() {
                shares[pressure.image as usize] += pressure.share * precision;
            }
        }
        for a in 0..images {
            if shares[a] == 0.0 {
                continue;
            }
            self.products[a] -= shares[a] * taken / total;
            for b in 0..images {
                self.squares[a][b] -= shares[a] * shares[b] / total;
            }
        }
    }

    /// Adds a sample to the sums, and returns the headroom that it has lost.
    fn accumulate(&mut self, sample: &Sample, base: f64) -> f64 {
        let lost = base - self.plausible_headroom(sample, base);
        let precision = sample.precision();
        for a in sample.pressures.iter() {
            self.products[a.image as usize] += a.share * lost * precision;
            for b in sample.pressures.iter() {
                self.squares[a.image as usize][b.image as usize] += a.share * b.share * precision;
            }
        }
        lost
    }

    /// Returns what is known of each filling image.
    pub(crate) fn known_weights(&self, serving: Image) -> Vec<PairWeight> {
        let all = (0..).zip(&self.weights);
        let pairs = all.map(|(best_effort, weight)| PairWeight {
            best_effort_image: best_effort,
            serving_image: serving,
            weight: *weight as f32,
            seen: self.squares[best_effort as usize][best_effort as usize] as f32,
        });
        pairs.filter(|p| p.seen > 0.0).collect()
    }

    /// Takes over what was known of a filling image, as if it had been seen alone.
    pub(crate) fn restore(&mut self, pair: &PairWeight) {
        let at = pair.best_effort_image as usize;
        self.grow(at + 1);
        let (weight, seen) = (f64::from(pair.weight), f64::from(pair.seen));
        self.weights[at] = weight;
        self.squares[at][at] = seen;
        self.products[at] = weight * (seen + PRIOR_PRECISION) - PRIOR_PRECISION * INITIAL_WEIGHT;
    }

    /// Solves for the weights, none of them negative.
    pub(crate) fn solve(&mut self) {
        for _ in 0..ITERATIONS {
            for at in 0..self.weights.len() {
                let row = &self.squares[at];
                let others: f64 = row.iter().zip(&self.weights).map(|(s, w)| s * w).sum();
                let others = others - row[at] * self.weights[at];
                let own = self.products[at] + PRIOR_PRECISION * INITIAL_WEIGHT - others;
                self.weights[at] = (own / (row[at] + PRIOR_PRECISION)).clamp(0.0, MAX_WEIGHT);
            }
        }
        for row in &mut self.squares {
            for sum in row {
                *sum *= DECAY;
            }
        }
        for sum in &mut self.products {
            *sum *= DECAY;
        }
    }
}

/// Returns how many images these samples name, counted from the first.
fn image_count(samples: &[Sample]) -> usize {
    let all = samples.iter().flat_map(|s| s.pressures.iter());
    all.map(|p| p.image as usize + 1).max().unwrap_or(0)
}
