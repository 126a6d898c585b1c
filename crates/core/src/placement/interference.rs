//! Interference between ordered pairs of classes, learned from samples.
//!
//! The slowdown of a task is modelled as the sum of what each of its
//! neighbours adds. Each sample moves the terms of the neighbours that ran
//! when it was measured by a share of the error (normalised least mean
//! squares). Evidence decays, so that a shift is learned within a few
//! half-lives; a term without evidence falls back to other bands and then to a
//! prior.

use super::{BAND_COUNT, Band};
use crate::Millis;

/// Half-life of evidence.
const HALF_LIFE: f64 = 30_000.0;

/// Smallest learning rate, so that shifts are followed.
const MIN_RATE: f32 = 0.08;

/// Most that one neighbour is taken to add.
const MAX_TERM: f32 = 4.0;

/// Evidence below which a term counts as unknown.
const KNOWN: f32 = 0.5;

/// What an unknown neighbour is taken to add.
const PRIOR: f32 = 0.08;

/// What a neighbour adds to a slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Added slowdown; 0.5 means half as slow again.
    pub added_slowdown: f32,
    /// Whether there is evidence.
    pub known: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    adds: f32,
    weight: f32,
    at: Millis,
}

impl Cell {
    fn weight_at(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.at) as f64;
        self.weight * (-age / HALF_LIFE * std::f64::consts::LN_2).exp() as f32
    }
}

/// The learned table; grows with the number of classes squared.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    classes: usize,
    cells: Vec<Cell>,
}

impl InterferenceModel {
    /// Makes room for `classes` classes and keeps what was learned.
    pub fn grow(&mut self, classes: usize) {
        if classes <= self.classes {
            return;
        }
        let mut cells = vec![Cell::default(); classes * classes * BAND_COUNT];
        for victim in 0..self.classes {
            for other in 0..self.classes {
                for band in 0..BAND_COUNT {
                    let old = (victim * self.classes + other) * BAND_COUNT + band;
                    cells[(victim * classes + other) * BAND_COUNT + band] = self.cells[old];
                }
            }
        }
        self.classes = classes;
        self.cells = cells;
    }

    fn index(&self, victim: u16, other: u16, band: Band) -> usize {
        (usize::from(victim) * self.classes + usize::from(other)) * BAND_COUNT + band.0
    }

    /// Returns what `other` adds to the slowdown of `victim`.
    ///
    /// The age of evidence does not count here, only when it is replaced.
    pub fn estimate(&self, victim: u16, other: u16, band: Band) -> Estimate {
        let base = self.index(victim, other, Band(0));
        let cells = &self.cells[base..base + BAND_COUNT];
        if cells[band.0].weight >= KNOWN {
            return Estimate {
                added_slowdown: cells[band.0].adds,
                known: true,
            };
        }
        for cell in cells {
            if cell.weight >= KNOWN {
                return Estimate {
                    added_slowdown: cell.adds,
                    known: true,
                };
            }
        }
        Estimate {
            added_slowdown: PRIOR,
            known: false,
        }
    }

    /// Sets a term as if it were known for certain.
    pub fn set(&mut self, victim: u16, other: u16, band: Band, adds: f32) {
        let i = self.index(victim, other, band);
        self.cells[i] = Cell {
            adds,
            weight: f32::MAX,
            at: Millis::MAX,
        };
    }

    /// Learns from one sample: `slow` is 1 for a task as fast as alone.
    pub fn learn(&mut self, victim: u16, others: &[u16], band: Band, slow: f32, now: Millis) {
        if others.is_empty() || !slow.is_finite() {
            return;
        }
        let mut expected = 0.0;
        for &other in others {
            expected += self.estimate(victim, other, band).added_slowdown;
        }
        let error = (slow - 1.0).clamp(0.0, MAX_TERM * 4.0) - expected;
        let share = error / others.len() as f32;
        for &other in others {
            let start = self.estimate(victim, other, band).added_slowdown;
            let i = self.index(victim, other, band);
            let cell = &mut self.cells[i];
            let weight = cell.weight_at(now);
            let rate = (1.0 / (1.0 + weight)).max(MIN_RATE);
            let before = if cell.weight >= KNOWN {
                cell.adds
            } else {
                start
            };
            cell.adds = (before + rate * share).clamp(0.0, MAX_TERM);
            cell.weight = weight + 1.0;
            cell.at = now;
        }
    }
}
