//! History of the attempts on a worker, by the worker's clock.

use crate::{Millis, shard::AttemptId};

/// How long an interval is kept after its end, since samples arrive late.
const RETENTION_MS: Millis = 60_000;

/// An attempt that ran on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoRunner {
    /// The attempt.
    pub attempt: AttemptId,
    /// Index of the class of its job.
    pub class: u16,
}

#[derive(Debug, Clone)]
struct Interval {
    co_runner: CoRunner,
    from: Millis,
    to: Option<Millis>,
}

/// Intervals in which attempts ran, to match late samples with the attempts of that time.
#[derive(Debug, Clone, Default)]
pub struct History {
    intervals: Vec<Interval>,
}

impl History {
    /// Records that an attempt runs from `at` on; has no effect if the attempt is already recorded.
    pub fn begin(&mut self, co_runner: CoRunner, at: Millis) {
        let known = self
            .intervals
            .iter()
            .any(|i| i.co_runner.attempt == co_runner.attempt);
        if !known {
            self.intervals.push(Interval {
                co_runner,
                from: at,
                to: None,
            });
        }
    }

    /// Records that an attempt ended at `at`, and removes old intervals.
    pub fn end(&mut self, attempt: AttemptId, at: Millis) {
        for i in &mut self.intervals {
            if i.co_runner.attempt == attempt && i.to.is_none() {
                i.to = Some(at);
            }
        }
        let start = at.saturating_sub(RETENTION_MS);
        self.intervals.retain(|i| i.to.is_none_or(|t| t >= start));
    }

    /// Removes all intervals; needed when the worker's clock restarts.
    pub fn clear(&mut self) {
        self.intervals.clear();
    }

    /// Returns the attempts that ran at `at`.
    pub fn running_at(&self, at: Millis) -> Vec<CoRunner> {
        let mut out = Vec::new();
        for i in &self.intervals {
            if i.from <= at && i.to.is_none_or(|t| at < t) {
                out.push(i.co_runner);
            }
        }
        out
    }
}
