//! Least squares fit of the headroom that best-effort images take from one serving image.

use crate::share::{
    learned::PairWeight,
    sample::{Image, Pressure, Sample},
    sums::Row,
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

/// Below this evidence the weight of an image is that of an unknown one, within a thousandth.
const MIN_EVIDENCE: f64 = PRIOR_PRECISION / 1000.0;

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

/// What is known of one best-effort image.
#[derive(Debug)]
struct Estimate {
    image: Image,
    /// Weighted sums of products of the deviations in CPU share, by other best-effort image and
    /// with itself.
    squares: Row,
    /// Weighted sum of products of the deviations in CPU share and the lost headroom.
    product: f64,
    /// Headroom taken at the full CPU of a worker.
    weight: f64,
}

impl Estimate {
    fn new(image: Image) -> Estimate {
        Estimate {
            image,
            squares: Row::default(),
            product: 0.0,
            weight: INITIAL_WEIGHT,
        }
    }

    /// Returns the weighted sum of the squared deviations.
    fn evidence(&self) -> f64 {
        self.squares.get(self.image)
    }

    /// Returns the number of entries.
    fn size(&self) -> usize {
        1 + self.squares.len()
    }
}

/// Headroom that best-effort images take from one serving image, and the sums that it is fitted
/// from.
#[derive(Debug, Default)]
pub(crate) struct Fit {
    /// Sorted by image.
    estimates: Vec<Estimate>,
}

impl Fit {
    fn find(&self, image: Image) -> Result<usize, usize> {
        self.estimates.binary_search_by_key(&image, |e| e.image)
    }

    /// Returns the estimate of an image, adding one if there is room for it.
    fn estimate(&mut self, image: Image, room: &mut usize) -> Option<&mut Estimate> {
        if self.find(image).is_err() {
            *room = room.checked_sub(1)?;
        }
        let at = self.find_or_insert(image);
        Some(&mut self.estimates[at])
    }

    /// Returns the position of the estimate of an image, adding one if there is none.
    fn find_or_insert(&mut self, image: Image) -> usize {
        let found = self.find(image);
        if let Err(at) = found {
            self.estimates.insert(at, Estimate::new(image));
        }
        found.unwrap_or_else(|at| at)
    }

    /// Returns the number of entries.
    pub(crate) fn size(&self) -> usize {
        let sizes = self.estimates.iter().map(Estimate::size);
        sizes.sum()
    }

    /// Returns the evidence for each image.
    pub(crate) fn evidence(&self) -> impl Iterator<Item = (Image, f64)> {
        self.estimates.iter().map(|e| (e.image, e.evidence()))
    }

    /// Forgets everything about a best-effort image; returns the number of entries removed.
    pub(crate) fn forget(&mut self, image: Image) -> usize {
        let before = self.size();
        if let Ok(at) = self.find(image) {
            self.estimates.remove(at);
        }
        for estimate in &mut self.estimates {
            estimate.squares.remove(image);
        }
        before - self.size()
    }

    /// Returns the headroom that a best-effort image takes if it uses all CPUs of a worker.
    pub(crate) fn weight(&self, image: Image) -> f64 {
        self.find(image)
            .map_or(INITIAL_WEIGHT, |at| self.estimates[at].weight)
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

    /// Adds samples of one step as deviations from the step's forecast headroom `base`. At most
    /// `room` entries are added.
    pub(crate) fn add_with_forecast(&mut self, samples: &[Sample], base: f64, room: &mut usize) {
        for sample in samples {
            self.accumulate(sample, base, room);
        }
    }

    /// Adds samples of one step as deviations from their own mean, for a step without a forecast.
    /// At most `room` entries are added.
    pub(crate) fn add(&mut self, samples: &[Sample], base: f64, room: &mut usize) {
        let (mut shares, mut taken, mut total) = (Row::default(), 0.0, 0.0);
        for sample in samples {
            let precision = sample.precision();
            total += precision;
            taken += self.accumulate(sample, base, room) * precision;
            for pressure in sample.pressures.iter() {
                let before = shares.get(pressure.image);
                shares.set(pressure.image, before + pressure.share * precision);
            }
        }
        for (a, share) in shares.iter().filter(|(_, share)| *share != 0.0) {
            let Some(estimate) = self.estimate(a, room) else {
                continue;
            };
            estimate.product -= share * taken / total;
            for (b, other) in shares.iter() {
                estimate.squares.add(b, -share * other / total, room);
            }
        }
    }

    /// Adds a sample to the sums and returns the headroom that it has lost against `base`.
    fn accumulate(&mut self, sample: &Sample, base: f64, room: &mut usize) -> f64 {
        let lost = base - self.plausible_headroom(sample, base);
        let precision = sample.precision();
        for a in sample.pressures.iter() {
            let Some(estimate) = self.estimate(a.image, room) else {
                continue;
            };
            estimate.product += a.share * lost * precision;
            for b in sample.pressures.iter() {
                let product = a.share * b.share * precision;
                estimate.squares.add(b.image, product, room);
            }
        }
        lost
    }

    /// Returns the weights of the best-effort images with at least one sample.
    pub(crate) fn known_weights(&self, serving: Image) -> Vec<PairWeight> {
        let pairs = self.estimates.iter().map(|e| PairWeight {
            best_effort_image: e.image,
            serving_image: serving,
            weight: e.weight as f32,
            seen: e.evidence() as f32,
        });
        pairs.filter(|p| p.seen > 0.0).collect()
    }

    /// Restores the weight of a best-effort image from an earlier owner, as if the image had been
    /// observed alone.
    pub(crate) fn restore(&mut self, pair: &PairWeight) {
        let image = pair.best_effort_image;
        let at = self.find_or_insert(image);
        let estimate = &mut self.estimates[at];
        let (weight, seen) = (f64::from(pair.weight), f64::from(pair.seen));
        estimate.weight = weight;
        estimate.squares.set(image, seen);
        estimate.product = weight * (seen + PRIOR_PRECISION) - PRIOR_PRECISION * INITIAL_WEIGHT;
    }

    /// Solves for the weights by coordinate descent, keeps them non-negative, decays the sums, and
    /// forgets the images whose evidence has decayed.
    pub(crate) fn solve(&mut self) {
        for _ in 0..ITERATIONS {
            for at in 0..self.estimates.len() {
                let weight = self.solved_weight(&self.estimates[at]);
                self.estimates[at].weight = weight;
            }
        }
        for estimate in &mut self.estimates {
            estimate.squares.scale(DECAY);
            estimate.product *= DECAY;
        }
        let images: Vec<Image> = self
            .evidence()
            .filter(|(_, evidence)| *evidence < MIN_EVIDENCE)
            .map(|(image, _)| image)
            .collect();
        for image in images {
            self.forget(image);
        }
    }

    /// Returns the weight of an image that fits its sums best while those of all others stay.
    fn solved_weight(&self, estimate: &Estimate) -> f64 {
        let products = estimate.squares.iter().map(|(b, s)| s * self.weight(b));
        let evidence = estimate.evidence();
        let others = products.sum::<f64>() - evidence * estimate.weight;
        let own = estimate.product + PRIOR_PRECISION * INITIAL_WEIGHT - others;
        (own / (evidence + PRIOR_PRECISION)).clamp(0.0, MAX_WEIGHT)
    }
}
