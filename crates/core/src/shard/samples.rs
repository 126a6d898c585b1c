//! Learning of interference and peak usage from workers' samples, which arrive late.

use super::{Sample, ShardScheduler, WorkerAnswer};
use crate::{Millis, name::Name, placement::Band};

/// Weight of a new sample in the running mean of a slowdown.
const SMOOTHING_FACTOR: f32 = 0.3;

/// Slowdown of 1 in the unit of samples.
const PERMILLE: f32 = 1000.0;

impl ShardScheduler {
    /// Learns from the samples in an answer.
    pub(super) fn learn_from_samples(&mut self, now: Millis, i: usize, answer: &WorkerAnswer) {
        for sample in &answer.samples {
            self.learn_from_sample(now, i, sample);
        }
    }

    /// Sets the slowdown that class `other` adds to class `victim`, each given by organisation and
    /// kind.
    ///
    /// Measurements use it to compare the learned interference with the real one.
    pub fn set_interference(
        &mut self,
        victim: (&Name, &Name),
        other: (&Name, &Name),
        band: usize,
        added_slowdown: f32,
    ) {
        let find = |m: &ShardScheduler, (org, kind): (&Name, &Name)| {
            m.classes
                .iter()
                .position(|c| c.org == *org && c.kind == *kind)
        };
        let (Some(v), Some(o)) = (find(self, victim), find(self, other)) else {
            return;
        };
        self.interference
            .set(v as u16, o as u16, Band(band), added_slowdown);
    }

    /// Learns from a sample and the attempts that ran when it was measured.
    fn learn_from_sample(&mut self, now: Millis, i: usize, sample: &Sample) {
        let slowdown = sample.slowdown_permille as f32 / PERMILLE;
        let w = &mut self.workers[i];
        let band = Band::of(w.reserved.load(&w.capacity));
        let ran = w.history.running_at(sample.at);
        if let Some(r) = w.allocation_mut(sample.attempt) {
            r.slowdown += SMOOTHING_FACTOR * (slowdown - r.slowdown);
        }
        let Some(measured) = ran.iter().find(|c| c.attempt == sample.attempt) else {
            return;
        };
        let mut others = Vec::with_capacity(ran.len());
        for c in &ran {
            if c.attempt != sample.attempt {
                others.push(c.class);
            }
        }
        let class = &mut self.classes[usize::from(measured.class)];
        class.peak_usage = class.peak_usage.max(&sample.used);
        self.interference
            .learn(measured.class, &others, band, slowdown, now);
    }
}
