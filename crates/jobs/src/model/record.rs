//! The stored state of a job beside its spec: the outcome in a row of its own, the tasks in the
//! log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{
    codec::decode_row,
    model::{crash::Crashes, spec::Spec},
};

/// The error for a record that can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// The record can't be decoded.
    #[snafu(display("malformed record"))]
    Decode {
        /// The error of the codec.
        source: rmp_serde::decode::Error,
    },
}

/// Largest encoded size of a task record without its texts and the entries of its lists: heads of
/// two arrays, four numbers, and heads of two lists and two texts.
const MAX_FIXED_BYTES: usize = 43;

/// Largest encoded size of a number in a list.
const NUMBER_BYTES: usize = 5;

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job was accepted and no task has begun.
    Pending,
    /// Some task has begun.
    Active,
    /// Every task is done.
    Complete,
    /// A task failed too often or crashed its workers.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Outcome {
    /// Returns whether the outcome is final.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Outcome::Complete | Outcome::Failed | Outcome::Cancelled
        )
    }
}

/// The stored state of a task. Encoded as an array, to save bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// Repetition, step and index.
    pub(crate) at: (u32, u32, u32),
    /// Whether the task is done.
    pub(crate) done: bool,
    /// Number of the last run.
    pub(crate) run: u32,
    /// Name of the incarnation that has the last run, if the run may still exist.
    pub(crate) worker: Option<Arc<str>>,
    /// Numbers of the runs that failed.
    pub(crate) failed: Vec<u32>,
    /// The last checkpoint; empty for none.
    pub(crate) saved: Arc<str>,
    /// Crashes of workers under the task's runs.
    #[serde(default, skip_serializing_if = "Crashes::is_empty")]
    pub(crate) crashes: Crashes,
}

impl TaskRecord {
    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        let worker = self.worker.as_ref().map_or(0, |w| w.len());
        let lists = self.failed.len() * NUMBER_BYTES + self.crashes.size();
        MAX_FIXED_BYTES + worker + self.saved.len() + lists
    }
}

/// The stored state of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The outcome so far.
    pub outcome: Outcome,
    /// Steps with all tasks done, as repetition and step. Written empty, since the log holds
    /// them.
    pub(crate) steps: Vec<(u32, u32)>,
    /// Tasks of the other steps that ran. Written empty, since the log holds them.
    pub(crate) tasks: Vec<TaskRecord>,
}

impl Record {
    /// Creates the record of a job with this outcome, in the form in which records are written.
    pub(crate) fn new(outcome: Outcome) -> Record {
        Record {
            outcome,
            steps: Vec::new(),
            tasks: Vec::new(),
        }
    }

    /// Creates the record of a job without a stored one.
    pub(crate) fn pending() -> Record {
        Record::new(Outcome::Pending)
    }

    /// Encodes the record as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data to a vector can't fail.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Returns whether the record fits a job with this spec. Another program may have written
    /// it.
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

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        decode_row(bytes).context(DecodeSnafu)
    }
}
