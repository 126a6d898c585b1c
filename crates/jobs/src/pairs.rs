//! How much tasks that fill disturb tasks that serve.
//!
//! Measured on the users' bench (tmdro quiet-1, 13,000 pairs of figures): a core
//! of one image lengthens the tail of another by a factor, between 1.1 and 1.4 for
//! some pairs and 1.0 for most, and factors multiply. A tail without disturbance
//! moves by a factor of four with its own load within ten to twenty seconds, so
//! that only differences from one half second to the next tell something (they
//! explain 0.38 of the variance; levels explain 0.05 to 0.25, and loads computed
//! from tails as in a queue explain less in both ways).

use crate::sorted::Sorted;

/// Share of an error that the pairs take up.
const RATE: f64 = 0.3;

/// Added to the squared cores, so that small changes teach little.
const NOISE: f64 = 8.0;

/// Largest error that is learned from, as a logarithm: a figure may be far off.
const MAX_ERROR: f64 = 1.5;

/// Largest factor of one core, as a logarithm.
const MAX_WEIGHT: f64 = 0.6;

/// Factor of one core of an image that was never seen beside the other, as a
/// logarithm: below the mean over all pairs, so that unknown pairs are tried.
const FIRST_WEIGHT: f64 = 0.03;

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
    pub(crate) base: f64,
    /// Recent peak of that.
    pub(crate) peak: f64,
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

/// The logarithms of the factors, by pair.
#[derive(Debug, Default)]
pub(crate) struct Pairs {
    weights: Sorted<(Image, Image), f64>,
}

impl Pairs {
    /// Returns the logarithm by which a core of a filling image lengthens the tail
    /// of a serving one.
    pub(crate) fn weight(&self, fill: Image, serve: Image) -> f64 {
        let weight = self.weights.get(&(fill, serve));
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
            self.learn_change(serve, level - before, &change(&old, press));
        }
        let base = level - self.pressure(serve, press);
        tail.base = match tail.base {
            0.0 => base,
            old => old + BASE_RATE * (base - old),
        };
        tail.peak = (tail.peak - PEAK_DECAY).max(tail.base);
        tail.last = Some((level, press.to_vec()));
    }

    fn learn_change(&mut self, serve: Image, moved: f64, change: &[Press]) {
        let expected = self.pressure(serve, change);
        let error = (moved - expected).clamp(-MAX_ERROR, MAX_ERROR);
        let norm = NOISE + change.iter().map(|c| c.cores * c.cores).sum::<f64>();
        for c in change {
            let weight = self.weight(c.image, serve) + RATE * error * c.cores / norm;
            let key = (c.image, serve);
            self.weights.insert(key, weight.clamp(0.0, MAX_WEIGHT));
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
