//! Interference between ordered pairs of classes, learned from samples.
//!
//! The slowdown of a task is modelled as the sum of the slowdowns that its neighbours add. Each
//! sample moves the terms of the neighbours that ran when it was measured by a share of the error
//! (normalised least mean squares). Evidence decays exponentially, so that a change of behaviour is
//! learned within a few half-lives. A term without evidence falls back to other bands and then to a
//! prior.

use super::{BAND_COUNT, Band};
use crate::Millis;

/// Half-life of evidence.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Minimum learning rate, so that changes of behaviour are followed.
const MIN_LEARNING_RATE: f32 = 0.08;

/// Maximum slowdown that one neighbour adds.
const MAX_ADDED_SLOWDOWN: f32 = 4.0;

/// Evidence below which a term is unknown.
const MIN_EVIDENCE: f32 = 0.5;

/// Slowdown that an unknown neighbour is assumed to add.
const PRIOR_ADDED_SLOWDOWN: f32 = 0.08;

/// Estimate of the slowdown that a neighbour adds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Added slowdown; 0.5 means that the task takes 50% longer.
    pub added_slowdown: f32,
    /// Whether the estimate is based on samples instead of the prior.
    pub known: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    added_slowdown: f32,
    evidence: f32,
    updated_at: Millis,
}

impl Cell {
    fn evidence_at(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.evidence * (-age / HALF_LIFE_MS * std::f64::consts::LN_2).exp() as f32
    }
}

/// Learned table of added slowdowns; its size is quadratic in the number of classes.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    classes: usize,
    cells: Vec<Cell>,
}

impl InterferenceModel {
    /// Grows the table to `classes` classes and keeps learned terms.
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

    /// Returns the estimated slowdown that `other` adds to `victim`.
    ///
    /// Evidence decays only when a sample updates its term, so old evidence still counts here.
    pub fn estimate(&self, victim: u16, other: u16, band: Band) -> Estimate {
        let base = self.index(victim, other, Band(0));
        let cells = &self.cells[base..base + BAND_COUNT];
        if cells[band.0].evidence >= MIN_EVIDENCE {
            return Estimate {
                added_slowdown: cells[band.0].added_slowdown,
                known: true,
            };
        }
        for cell in cells {
            if cell.evidence >= MIN_EVIDENCE {
                return Estimate {
                    added_slowdown: cell.added_slowdown,
                    known: true,
                };
            }
        }
        Estimate {
            added_slowdown: PRIOR_ADDED_SLOWDOWN,
            known: false,
        }
    }

    /// Sets a term with maximum evidence.
    pub fn set(&mut self, victim: u16, other: u16, band: Band, added_slowdown: f32) {
        let i = self.index(victim, other, band);
        self.cells[i] = Cell {
            added_slowdown,
            evidence: f32::MAX,
            updated_at: Millis::MAX,
        };
    }

    /// Learns from one sample; a `slowdown` of 1 means that the task is as fast as when it runs
    /// alone.
    pub fn learn(&mut self, victim: u16, others: &[u16], band: Band, slowdown: f32, now: Millis) {
        if others.is_empty() || !slowdown.is_finite() {
            return;
        }
        let mut expected = 0.0;
        for &other in others {
            expected += self.estimate(victim, other, band).added_slowdown;
        }
        let error = (slowdown - 1.0).clamp(0.0, MAX_ADDED_SLOWDOWN * 4.0) - expected;
        let share = error / others.len() as f32;
        for &other in others {
            let initial = self.estimate(victim, other, band).added_slowdown;
            let i = self.index(victim, other, band);
            let cell = &mut self.cells[i];
            let evidence = cell.evidence_at(now);
            let rate = (1.0 / (1.0 + evidence)).max(MIN_LEARNING_RATE);
            let previous = if cell.evidence >= MIN_EVIDENCE {
                cell.added_slowdown
            } else {
                initial
            };
            cell.added_slowdown = (previous + rate * share).clamp(0.0, MAX_ADDED_SLOWDOWN);
            cell.evidence = evidence + 1.0;
            cell.updated_at = now;
        }
    }
}
