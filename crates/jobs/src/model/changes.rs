//! What changed of one job's tasks, as a row of the log holds it.
//!
//! Entries are absolute: of several that tell of a task, or of a step, the newest one counts.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    model::{
        ids::JobId,
        record::{DecodeSnafu, Record, RecordError, TaskRecord},
    },
    sorted_map::SortedMap,
};

/// Number of a row of the log; it only grows while one owner writes.
pub(crate) type RowNumber = u64;

/// A step in one repetition.
pub(crate) type StepAt = (u32, u32);

/// What changed of one job's tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) job: JobId,
    /// Steps that are done whole.
    pub(crate) steps: Vec<StepAt>,
    /// Tasks of other steps.
    pub(crate) tasks: Vec<TaskRecord>,
}

impl Changes {
    /// Writes the changes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Writing plain data to a vector can't fail.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Reads the changes of several jobs that follow each other in a row.
    pub(crate) fn decode_all(row: &[u8]) -> Result<Vec<Changes>, RecordError> {
        let (mut changes, mut remaining) = (Vec::new(), row);
        while !remaining.is_empty() {
            changes.push(rmp_serde::from_read(&mut remaining).context(DecodeSnafu)?);
        }
        Ok(changes)
    }
}

/// What the log tells of one job, and in which row each part of it is.
#[derive(Debug, Default)]
pub(crate) struct Replayed {
    pub(crate) steps: SortedMap<StepAt, RowNumber>,
    pub(crate) tasks: SortedMap<(u32, u32, u32), (RowNumber, TaskRecord)>,
}

impl Replayed {
    /// Takes the next changes.
    pub(crate) fn apply(&mut self, number: RowNumber, changes: Changes) {
        for step in changes.steps {
            self.steps.insert(step, number);
        }
        for task in changes.tasks {
            self.tasks.insert(task.at, (number, task));
        }
    }

    /// Brings a record up to date.
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
