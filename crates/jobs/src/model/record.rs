//! What is kept of a job beside what was handed in: its outcome in a row of its own, its tasks in
//! the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::model::{crash::Crashes, spec::Spec};

/// Why a record can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// It can't be read.
    #[snafu(display("malformed record"))]
    Decode {
        /// The codec's answer.
        source: rmp_serde::decode::Error,
    },
}

/// Bytes of what is kept of a task without its texts and lists, at the most.
const MAX_FIXED_BYTES: usize = 24;

/// Bytes of a crash that is kept, about.
const CRASH_BYTES: usize = 40;

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Accepted; no task has begun.
    Pending,
    /// Some task has begun.
    Active,
    /// Every task is done.
    Complete,
    /// A task has failed too often, or has crashed its workers.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl Outcome {
    /// Tells whether nothing can follow.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Outcome::Complete | Outcome::Failed | Outcome::Cancelled
        )
    }
}

/// What is kept of a task. Written as an array, to save bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// Repetition, step and index.
    pub(crate) at: (u32, u32, u32),
    /// Whether it is done.
    pub(crate) done: bool,
    /// Number of the last run.
    pub(crate) run: u32,
    /// Worker of the last run, if that may still be there.
    pub(crate) worker: Option<Arc<str>>,
    /// Numbers of the runs that failed.
    pub(crate) failed: Vec<u32>,
    /// Saved progress.
    pub(crate) saved: Arc<str>,
    /// Workers that crashed under its runs.
    #[serde(default, skip_serializing_if = "Crashes::is_empty")]
    pub(crate) crashes: Crashes,
}

impl TaskRecord {
    /// Returns about how many bytes it takes up.
    pub(crate) fn size(&self) -> usize {
        let worker = self.worker.as_ref().map_or(0, |w| w.len());
        let lists = self.failed.len() * 4 + self.crashes.count() * CRASH_BYTES;
        MAX_FIXED_BYTES + worker + self.saved.len() + lists
    }
}

/// What is kept of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What became of it.
    pub outcome: Outcome,
    /// Steps that are done whole, as repetition and step; none as it is written, since the log
    /// tells of them.
    pub(crate) steps: Vec<(u32, u32)>,
    /// Tasks of the other steps that ran; none as it is written.
    pub(crate) tasks: Vec<TaskRecord>,
}

impl Record {
    /// Makes the record of a job with this outcome, as it is written.
    pub(crate) fn new(outcome: Outcome) -> Record {
        Record {
            outcome,
            steps: Vec::new(),
            tasks: Vec::new(),
        }
    }

    /// Makes the record of a job of which nothing was written.
    pub(crate) fn pending() -> Record {
        Record::new(Outcome::Pending)
    }

    /// Writes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain data to a vector can't fail.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Tells whether it can be one of a job with this spec: somebody else may have written it.
    pub fn is_valid_for(&self, spec: &Spec) -> bool {
        let count = |repetition: u32, step: u32| {
            let step = spec.steps.get(step as usize);
            step.filter(|_| repetition < spec.repetitions())
                .map(|s| s.count)
        };
        let mut steps = self.steps.iter();
        let mut tasks = self.tasks.iter();
        steps.all(|&(repetition, step)| count(repetition, step).is_some())
            && tasks.all(|t| count(t.at.0, t.at.1).is_some_and(|c| t.at.2 < c))
    }

    /// Reads a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}
