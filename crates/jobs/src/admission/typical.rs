//! The typical job of a queue, learned from its last jobs.

use crate::{model::job::JobState, runs::worker::Capacity};

/// Number of jobs over which the averages are taken, so that they follow a change of what a queue
/// is used for within some seconds.
const JOBS: f64 = 30.0;

/// Averages over the jobs of a queue, weighted to the last ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TypicalJob {
    count: f64,
    cpu: f64,
    memory: f64,
    gpu: f64,
    /// Length of the critical path, in milliseconds.
    path: f64,
}

impl TypicalJob {
    /// Adds a job with a critical path of `path` milliseconds.
    pub(crate) fn observe(&mut self, state: &JobState, path: u64) {
        let Some(first) = state.job.spec.steps.first() else {
            return;
        };
        let size = Capacity {
            cpu: first.cpu,
            memory: first.memory,
            gpu: first.gpu,
        };
        self.add(size, path);
    }

    fn add(&mut self, size: Capacity, path: u64) {
        self.count = (self.count + 1.0).min(JOBS);
        let weight = 1.0 / self.count;
        self.cpu += (size.cpu as f64 - self.cpu) * weight;
        self.memory += (size.memory as f64 - self.memory) * weight;
        self.gpu += (size.gpu as f64 - self.gpu) * weight;
        self.path += (path as f64 - self.path) * weight;
    }

    /// Returns whether any job was seen.
    pub(crate) fn is_known(&self) -> bool {
        self.count > 0.0
    }

    /// Returns the size of a task of the first step.
    pub(crate) fn task_size(&self) -> Capacity {
        Capacity {
            cpu: self.cpu as u64,
            memory: self.memory as u64,
            gpu: self.gpu as u64,
        }
    }

    /// Returns the length of the critical path in milliseconds.
    pub(crate) fn path_ms(&self) -> u64 {
        self.path as u64
    }
}

#[cfg(test)]
mod tests {
    use super::TypicalJob;
    use crate::runs::worker::Capacity;

    /// The callers of a queue begin to send jobs ten times as long.
    #[test]
    fn the_typical_job_follows_a_change() {
        let size = Capacity::default();
        let mut typical = TypicalJob::default();
        assert!(!typical.is_known());
        for _ in 0..200 {
            typical.add(size, 1000);
        }
        assert_eq!(typical.path_ms(), 1000);
        for _ in 0..100 {
            typical.add(size, 10_000);
        }
        assert!(typical.path_ms() > 9000, "{} ms", typical.path_ms());
    }
}
