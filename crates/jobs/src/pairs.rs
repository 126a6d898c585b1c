//! How much tasks that fill disturb tasks that serve.
//!
//! Measured on the users' bench (tmdro quiet-1, 13,000 pairs of figures): a core
//! of one image lengthens the tail of another by a factor, between 1.1 and 1.4 for
//! some pairs and 1.0 for most, and factors multiply. A tail without disturbance
//! moves by a factor of four with its own load within ten to twenty seconds, so
//! that only differences from one half second to the next tell something (they
//! explain 0.38 of the variance; levels explain 0.05 to 0.25, and loads computed
//! from tails as in a queue explain less in both ways).
//!
//! For each serving image the factors are fitted to all differences by least
//! squares, with older ones fading. A gradient step for each figure was tried
//! first; it came out at twice the factors that the fit gives.

use crate::sorted::Sorted;

/// Weight of the first guess, in squared cores.
const PRIOR: f64 = 25.0;

/// Factor of one core of an image that was never seen beside the other, as a
/// logarithm: below the mean over all pairs, so that unknown pairs are tried.
const FIRST_WEIGHT: f64 = 0.03;

/// What older differences keep of their weight at each fit, one a half second:
/// half is gone after some 15 seconds.
const FADE: f64 = 0.977;

/// Rounds of the fit; each starts from the last one's result.
const ROUNDS: usize = 3;

/// Largest difference from what was expected that is learned from, as a
/// logarithm: a figure may be far off.
const MAX_ERROR: f64 = 1.2;

/// Largest factor of one core, as a logarithm.
const MAX_WEIGHT: f64 = 0.6;

/// Target over tail of a serving task before its first figure.
const FIRST_FACTOR: f64 = 2.5;

/// Share of the newest figure in a baseline.
const BASE_RATE: f64 = 0.5;

/// What a peak of the baseline loses each half second, as a logarithm.
const PEAK_DECAY: f64 = 0.04;

/// Number of an image; 0 for none.
pub(crate) type Image = u16;

/// What filling tasks of one image use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Press {
    /// Their image.
    pub(crate) image: Image,
    /// Cores in use.
    pub(crate) cores: f64,
}

/// What is known of one serving run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tail {
    /// Logarithm of its tail without what fills; 0 before the first figure.
    base: f64,
    /// Recent peak of that.
    peak: f64,
    /// Logarithm of the last tail and what filled then.
    last: Option<(f64, Vec<Press>)>,
}

impl Tail {
    /// Returns the baseline, or what is taken for it before the first figure.
    pub(crate) fn base_or(&self, target: u64) -> f64 {
        match self.last {
            Some(_) => self.base,
            None => (target as f64 / FIRST_FACTOR).ln(),
        }
    }

    /// Returns the recent peak of the baseline.
    pub(crate) fn peak_or(&self, target: u64) -> f64 {
        self.peak.max(self.base_or(target))
    }
}

/// The factors on the tails of one serving image.
#[derive(Debug, Default)]
struct Fit {
    /// Sums of products of differences, by pairs of filling images.
    squares: Vec<Vec<f64>>,
    /// Sums of products of differences in use and in tail.
    products: Vec<f64>,
    /// The logarithms of the factors, by filling image.
    weights: Vec<f64>,
}

impl Fit {
    fn grow(&mut self, images: usize) {
        if self.weights.len() >= images {
            return;
        }
        self.weights.resize(images, FIRST_WEIGHT);
        self.products.resize(images, 0.0);
        self.squares.resize(images, Vec::new());
        for row in &mut self.squares {
            row.resize(images, 0.0);
        }
    }

    fn add(&mut self, change: &[Press], moved: f64) {
        let most = change.iter().map(|c| c.image as usize + 1).max();
        self.grow(most.unwrap_or(0));
        let expected: f64 = change
            .iter()
            .map(|c| self.weights[c.image as usize] * c.cores)
            .sum();
        let moved = moved.clamp(expected - MAX_ERROR, expected + MAX_ERROR);
        for a in change {
            for b in change {
                self.squares[a.image as usize][b.image as usize] += a.cores * b.cores;
            }
            self.products[a.image as usize] += a.cores * moved;
        }
    }

    /// Solves for the weights, none of them negative.
    fn solve(&mut self) {
        for _ in 0..ROUNDS {
            for at in 0..self.weights.len() {
                let row = &self.squares[at];
                let others: f64 = row.iter().zip(&self.weights).map(|(s, w)| s * w).sum();
                let others = others - row[at] * self.weights[at];
                let own = self.products[at] + PRIOR * FIRST_WEIGHT - others;
                self.weights[at] = (own / (row[at] + PRIOR)).clamp(0.0, MAX_WEIGHT);
            }
        }
        for row in &mut self.squares {
            for sum in row {
                *sum *= FADE;
            }
        }
        for sum in &mut self.products {
            *sum *= FADE;
        }
    }
}

/// The logarithms of the factors, by pair.
#[derive(Debug, Default)]
pub(crate) struct Pairs {
    fits: Sorted<Image, Fit>,
}

impl Pairs {
    /// Returns the logarithm by which a core of a filling image lengthens the tail
    /// of a serving one.
    pub(crate) fn weight(&self, fill: Image, serve: Image) -> f64 {
        let fit = self.fits.get(&serve);
        let weight = fit.and_then(|f| f.weights.get(fill as usize));
        weight.copied().unwrap_or(FIRST_WEIGHT)
    }

    /// Returns the logarithm by which filling tasks lengthen a tail.
    pub(crate) fn pressure(&self, serve: Image, press: &[Press]) -> f64 {
        let each = press.iter().map(|p| self.weight(p.image, serve) * p.cores);
        each.sum()
    }

    /// Learns from a tail in milliseconds, and from what filled at that time.
    pub(crate) fn learn(&mut self, serve: Image, tail: &mut Tail, ms: u64, press: &[Press]) {
        let level = (ms.max(1) as f64).ln();
        if let Some((before, old)) = tail.last.take() {
            let change = change(&old, press);
            if self.fits.get(&serve).is_none() {
                self.fits.insert(serve, Fit::default());
            }
            if let Some(fit) = self.fits.get_mut(&serve).filter(|_| !change.is_empty()) {
                fit.add(&change, level - before);
            }
        }
        let base = level - self.pressure(serve, press);
        tail.base = match tail.base {
            0.0 => base,
            old => old + BASE_RATE * (base - old),
        };
        tail.peak = (tail.peak - PEAK_DECAY).max(tail.base);
        tail.last = Some((level, press.to_vec()));
    }

    /// Fits the factors to what was learned; once each half second.
    pub(crate) fn fit(&mut self) {
        for (_, fit) in self.fits.iter_mut() {
            fit.solve();
        }
    }
}

/// Returns the changes from one time to the next.
fn change(old: &[Press], new: &[Press]) -> Vec<Press> {
    let mut out = new.to_vec();
    for p in old {
        match out.iter_mut().find(|o| o.image == p.image) {
            Some(o) => o.cores -= p.cores,
            None => out.push(Press {
                cores: -p.cores,
                ..*p
            }),
        }
    }
    out.retain(|p| p.cores != 0.0);
    out
}
