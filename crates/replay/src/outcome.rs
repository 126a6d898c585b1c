//! Outcome of a replay, and the expected outcome of a trace.

use gorsespur_core::shard::{Action, End, Record};
use serde::{Deserialize, Serialize};

use crate::TraceError;

/// Counters of a replay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Steps replayed.
    pub steps: u64,
    /// Jobs taken from the inbox; service jobs are not counted.
    pub submitted: u64,
    /// Attempts started.
    pub started: u64,
    /// Attempts that completed their task.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts lost with their worker.
    pub lost: u64,
    /// Attempts evicted.
    pub evicted: u64,
    /// Jobs finished.
    pub finished: u64,
    /// Attempts on workers that are not the current attempt of their task, summed over all
    /// steps; must be 0, since otherwise a task can run twice at once.
    pub doubled: u64,
    /// Workers whose attempts exceed their capacity, summed over all steps; must be 0.
    pub overcommitted: u64,
}

/// Expected counters of a replay; absent ones are not checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expected {
    /// Jobs taken from the inbox; service jobs are not counted.
    pub submitted: Option<u64>,
    /// Attempts started.
    pub started: Option<u64>,
    /// Attempts that completed their task.
    pub done: Option<u64>,
    /// Attempts that failed.
    pub failed: Option<u64>,
    /// Attempts lost with their worker.
    pub lost: Option<u64>,
    /// Attempts evicted.
    pub evicted: Option<u64>,
    /// Jobs finished.
    pub finished: Option<u64>,
}

impl Outcome {
    /// Counts one step and the journal records among its actions.
    pub(crate) fn count(&mut self, actions: &[Action]) {
        self.steps += 1;
        for action in actions {
            let Action::Append {
                records, finished, ..
            } = action
            else {
                continue;
            };
            self.finished += finished.len() as u64;
            for record in records {
                self.count_record(record);
            }
        }
    }

    fn count_record(&mut self, record: &Record) {
        match record {
            Record::Submitted(spec) if !spec.service => self.submitted += 1,
            Record::Started { .. } => self.started += 1,
            Record::Ended { end, .. } => match end {
                End::Done => self.done += 1,
                End::Failed => self.failed += 1,
                End::Lost => self.lost += 1,
                End::Evicted { .. } => self.evicted += 1,
                End::Refused | End::Stopped => {}
            },
            Record::Submitted(_)
            | Record::Rejected { .. }
            | Record::Cancelled { .. }
            | Record::Resized { .. }
            | Record::Closed { .. } => {}
        }
    }

    /// Compares the counters with the expected ones. The invariants `doubled` and
    /// `overcommitted` are always checked.
    ///
    /// # Errors
    ///
    /// Returns the first counter that differs.
    pub fn check(&self, expected: &Expected) -> Result<(), TraceError> {
        let checks = [
            ("submitted", self.submitted, expected.submitted),
            ("started", self.started, expected.started),
            ("done", self.done, expected.done),
            ("failed", self.failed, expected.failed),
            ("lost", self.lost, expected.lost),
            ("evicted", self.evicted, expected.evicted),
            ("finished", self.finished, expected.finished),
            ("doubled", self.doubled, Some(0)),
            ("overcommitted", self.overcommitted, Some(0)),
        ];
        for (name, actual, expected) in checks {
            let Some(expected) = expected else { continue };
            if actual != expected {
                return Err(TraceError::OutcomeDiffers {
                    name,
                    actual,
                    expected,
                });
            }
        }
        Ok(())
    }
}
