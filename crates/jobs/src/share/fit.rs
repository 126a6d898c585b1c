//! Least squares fit of the headroom that best-effort images take from one serving image.

use crate::share::{
    learned::PairWeight,
    sample::{Image, Pressure, Sample},
};

/// Weight of [`INITIAL_WEIGHT`] in the fit, in squared CPU shares at a headroom of one: as much as
/// one second of samples beside a task that uses a twentieth of the worker's CPU.
const PRIOR_PRECISION: f64 = 0.002;

/// Headroom taken by a best-effort image that uses all CPUs and was never observed beside the
/// serving image: the mean over all pairs.
pub(crate) const INITIAL_WEIGHT: f64 = 3.5;

/// Factor by which the weight of older samples decays at each fit. With two fits per second, half
/// of it is gone after some 15 seconds.
const DECAY: f64 = 0.977;

/// Relative error of a measured headroom.
const MEASUREMENT_ERROR: f64 = 0.1;

/// Relative error of the estimated headroom that best-effort runs take.
const INTERFERENCE_ERROR: f64 = 0.4;

/// Iterations of the solver. Each fit starts from the result of the previous one.
const ITERATIONS: usize = 3;

/// Largest deviation from the expected headroom that a sample counts with, as a share of the
/// expected headroom. Single measurements may be far off.
const MAX_DEVIATION: f64 = 0.7;

/// Below this headroom a worker is overloaded, and the measured value carries no further
/// information.
const OVERLOAD_HEADROOM: f64 = 0.4;

/// Upper bound of the headroom that an image takes if it uses all CPUs.
const MAX_WEIGHT: f64 = 64.0;

/// Headroom that best-effort images take from one serving image, and the sums that it is fitted
/// from.
#[derive(Debug, Default)]
pub(crate) struct Fit {
    /// Weighted sums of products of the deviations in CPU share, by pair of best-effort images.
    squares: Vec<Vec<f64>>,
    /// Weighted sums of products of the deviations in CPU share and the lost headroom, by
    /// best-effort image.
    products: Vec<f64>,
    /// Headroom taken at the full CPU of a worker, by best-effort image.
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

    /// Forgets everything about a best-effort image.
    pub(crate) fn forget(&mut self, image: Image) {
        let at = usize::from(image);
        if at >= self.weights.len() {
            return;
        }
        self.weights[at] = INITIAL_WEIGHT;
        self.products[at] = 0.0;
        for row in &mut self.squares {
            row[at] = 0.0;
        }
        self.squares[at].fill(0.0);
    }

    /// Returns the headroom that a best-effort image takes if it uses all CPUs of a worker.
    pub(crate) fn weight(&self, image: Image) -> f64 {
        let weight = self.weights.get(image as usize);
        weight.copied().unwrap_or(INITIAL_WEIGHT)
    }

    /// Returns the headroom that best-effort runs with these CPU shares take.
    pub(crate) fn headroom_taken(&self, pressures: &[Pressure]) -> f64 {
        let each = pressures.iter().map(|p| self.weight(p.image) * p.share);
        each.sum()
    }

    /// Returns the median of the headrooms without best-effort runs.
    pub(crate) fn base(&self, samples: &[Sample]) -> f64 {
        let bases = samples
            .iter()
            .map(|s| s.headroom + self.headroom_taken(&s.pressures));
        let mut bases: Vec<f64> = bases.collect();
        bases.sort_unstable_by(f64::total_cmp);
        bases[bases.len() / 2]
    }

    /// Returns the inverse of the squared error of [`Fit::base`].
    pub(crate) fn precision(&self, samples: &[Sample]) -> f64 {
        let each = samples.iter().map(|s| {
            let error = MEASUREMENT_ERROR * s.headroom.max(1.0)
                + INTERFERENCE_ERROR * self.headroom_taken(&s.pressures);
            1.0 / (error * error)
        });
        each.sum()
    }

    /// Returns the measured headroom, limited to a plausible range around the expected one.
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

    /// Adds samples of one step as deviations from the step's forecast headroom `base`.
    pub(crate) fn add_with_forecast(&mut self, samples: &[Sample], base: f64) {
        self.grow(image_count(samples));
        for sample in samples {
            self.accumulate(sample, base);
        }
    }

    /// Adds samples of one step as deviations from their own mean, for a step without a forecast.
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

    /// Adds a sample to the sums and returns the headroom that it has lost against `base`.
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

    /// Returns the weights of the best-effort images with at least one sample.
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

    /// Restores the weight of a best-effort image from an earlier owner, as if the image had been
    /// observed alone.
    pub(crate) fn restore(&mut self, pair: &PairWeight) {
        let at = pair.best_effort_image as usize;
        self.grow(at + 1);
        let (weight, seen) = (f64::from(pair.weight), f64::from(pair.seen));
        self.weights[at] = weight;
        self.squares[at][at] = seen;
        self.products[at] = weight * (seen + PRIOR_PRECISION) - PRIOR_PRECISION * INITIAL_WEIGHT;
    }

    /// Solves for the weights by coordinate descent, keeps them non-negative, and decays the sums.
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

/// Returns one more than the highest image number in the samples.
fn image_count(samples: &[Sample]) -> usize {
    let all = samples.iter().flat_map(|s| s.pressures.iter());
    all.map(|p| p.image as usize + 1).max().unwrap_or(0)
}
