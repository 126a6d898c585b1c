//! Starts that got no answer and whose runs were given up since.
//!
//! The load pattern that this answers: an order that is held up for seconds and carried out
//! after its worker has started again. The life that it was meant for would refuse it, by a
//! stop or since its lease is over; the next one knows of neither.
//!
//! Limits: so many are kept for a worker, for so long.

use crate::{
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    runs::worker::Worker,
};

/// A start is carried out within this time or not at all, in milliseconds.
const RETENTION_MS: u64 = 30_000;

/// Most such starts that are kept for a worker.
const MAX_LATE_STARTS: usize = 64;

/// A start that may still be carried out, though its run was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LateStart {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// When it was sent.
    pub(crate) sent_at: u64,
}

impl Worker {
    /// Takes note of a run that is given up, if its start may still be carried out.
    pub(super) fn note_late_start(&mut self, task: TaskId, run: u32, given_up: &Run, now: u64) {
        let sent = given_up.unreported_since().filter(|_| !given_up.answered);
        let Some(sent) = sent.filter(|_| given_up.stage != Stage::Planned) else {
            return;
        };
        self.keep_late_start(
            LateStart {
                task,
                run,
                sent_at: sent,
            },
            now,
        );
    }

    /// Keeps such a start, and of those that are kept only what may still be carried out.
    pub(super) fn keep_late_start(&mut self, start: LateStart, now: u64) {
        self.late_starts
            .retain(|l| now <= l.sent_at + RETENTION_MS && *l != start);
        if self.late_starts.len() >= MAX_LATE_STARTS {
            self.late_starts.remove(0);
        }
        self.late_starts.push(start);
    }

    /// Takes the starts that may still be carried out by its next life.
    pub(super) fn take_late_starts(&mut self, now: u64) -> Vec<LateStart> {
        let mut out = std::mem::take(&mut self.late_starts);
        out.retain(|l| now <= l.sent_at + RETENTION_MS);
        out
    }
}
