//! What a replay leads to, and what is stated beside a trace.

use gorsespur_core::shard::{Action, End, Record};
use serde::{Deserialize, Serialize};

use crate::TraceError;

/// Counts over a replay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Steps.
    pub steps: u64,
    /// Jobs taken over from the inbox.
    pub submitted: u64,
    /// Attempts started.
    pub started: u64,
    /// Tasks done.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts lost with their workers.
    pub lost: u64,
    /// Attempts evicted.
    pub evicted: u64,
    /// Jobs finished.
    pub finished: u64,
    /// Times that a task had two attempts at once in the book; must be 0.
    pub doubled: u64,
    /// Times that a worker was given more than it holds; must be 0.
    pub overcommitted: u64,
}

/// Stated outcomes; those absent are not checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expected {
    /// Jobs taken over from the inbox.
    pub submitted: Option<u64>,
    /// Attempts started.
    pub started: Option<u64>,
    /// Tasks done.
    pub done: Option<u64>,
    /// Attempts that failed.
    pub failed: Option<u64>,
    /// Attempts lost with their workers.
    pub lost: Option<u64>,
    /// Attempts evicted.
    pub evicted: Option<u64>,
    /// Jobs finished.
    pub finished: Option<u64>,
}

impl Outcome {
    /// Counts the records of one step's actions.
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

    /// Compares with what was stated; the two invariants always hold.
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
