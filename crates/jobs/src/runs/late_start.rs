//! Starts without an answer whose runs were given up.
//!
//! An order may be delayed for seconds and carried out after its worker has started again. The
//! incarnation that it was meant for would refuse it, because of a stop or an expired lease; the
//! next incarnation knows of neither.
//!
//! Limits: [`MAX_LATE_STARTS`] starts are kept for each worker, each for [`RETENTION_MS`].

use crate::{
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    runs::worker::Worker,
};

/// A start is carried out within this time or not at all, in milliseconds.
const RETENTION_MS: u64 = 30_000;

/// Late starts that are kept for each worker.
const MAX_LATE_STARTS: usize = 64;

/// A start that may still be carried out although its run was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LateStart {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) sent_at: u64,
}

impl Worker {
    /// Keeps the start of a run that is given up, if it may still be carried out.
    pub(super) fn record_late_start(&mut self, task: TaskId, run: u32, given_up: &Run, now: u64) {
        let sent = given_up.unreported_since().filter(|_| !given_up.answered);
        let Some(sent) = sent.filter(|_| given_up.stage != Stage::Planned) else {
            return;
        };
        self.add_late_start(
            LateStart {
                task,
                run,
                sent_at: sent,
            },
            now,
        );
    }

    /// Adds a late start, and drops those that can no longer be carried out.
    pub(super) fn add_late_start(&mut self, start: LateStart, now: u64) {
        self.late_starts
            .retain(|l| now <= l.sent_at + RETENTION_MS && *l != start);
        if self.late_starts.len() >= MAX_LATE_STARTS {
            self.late_starts.remove(0);
        }
        self.late_starts.push(start);
    }

    /// Removes and returns the starts that the worker's next incarnation may still carry out.
    pub(super) fn take_late_starts(&mut self, now: u64) -> Vec<LateStart> {
        let mut out = std::mem::take(&mut self.late_starts);
        out.retain(|l| now <= l.sent_at + RETENTION_MS);
        out
    }
}
