//! Changes to the tasks of a job, as the rows of the log hold them.
//!
//! Entries hold absolute state: the newest entry of a task or of a step counts.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    codec::decode_next,
    model::{
        ids::JobId,
        record::{DecodeSnafu, Record, RecordError, TaskRecord},
    },
    sorted_map::SortedMap,
};

/// Number of a row of the log, rising while one owner writes.
pub(crate) type RowNumber = u64;

/// A step in one repetition, as repetition and step.
pub(crate) type StepAt = (u32, u32);

/// Changes to the tasks of one job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) job: JobId,
    /// Steps with all tasks done.
    pub(crate) steps: Vec<StepAt>,
    /// Tasks of the other steps.
    pub(crate) tasks: Vec<TaskRecord>,
}

impl Changes {
    /// Encodes the changes as MessagePack.
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serializing plain data to a vector can't fail.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a row of the log, which holds the changes of several jobs one after the other.
    pub(crate) fn decode_all(row: &[u8]) -> Result<Vec<Changes>, RecordError> {
        let (mut changes, mut remaining) = (Vec::new(), row);
        while !remaining.is_empty() {
            changes.push(decode_next(&mut remaining).context(DecodeSnafu)?);
        }
        Ok(changes)
    }
}

/// The replayed changes of one job, with the row that holds each of them.
#[derive(Debug, Default)]
pub(crate) struct Replayed {
    pub(crate) steps: SortedMap<StepAt, RowNumber>,
    pub(crate) tasks: SortedMap<(u32, u32, u32), (RowNumber, TaskRecord)>,
}

impl Replayed {
    /// Applies the changes of the next row.
    pub(crate) fn apply(&mut self, number: RowNumber, changes: Changes) {
        for step in changes.steps {
            self.steps.insert(step, number);
        }
        for task in changes.tasks {
            self.tasks.insert(task.at, (number, task));
        }
    }

    /// Updates a record with the replayed changes.
    pub(crate) fn apply_to(&self, record: &mut Record) {
        for (&step, _) in self.steps.iter() {
            if let Err(at) = record.steps.binary_search(&step) {
                record.steps.insert(at, step);
            }
        }
        record.tasks.retain(|t| self.tasks.get(&t.at).is_none());
        let log_tasks = self.tasks.iter().map(|(_, (_, task))| task.clone());
        record.tasks.extend(log_tasks);
        let steps = &record.steps;
        let is_done = |t: &TaskRecord| steps.binary_search(&(t.at.0, t.at.1)).is_ok();
        record.tasks.retain(|t| !is_done(t));
    }
}
