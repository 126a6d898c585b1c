//! What tasks go on from: one checkpoint for all members of a gang, and none that was rejected.
//!
//! The load pattern that this answers: a text that is not the task's, however it came to be
//! kept, so that each start that brings it is rejected.
//!
//! Limits: one worker's word is enough, so that one that rejects good checkpoints costs the work
//! that was done by then. The last rejected checkpoint of a gang is remembered, by this owner.

use crate::{
    machine::Machine,
    model::{
        checkpoint::{Checkpoint, log_excerpt},
        ids::TaskId,
    },
};

/// Pause of a task whose start was rejected without a checkpoint, in milliseconds: others may
/// reject it as well, and each of them is blamed.
const REJECTED_PAUSE_MS: u64 = 2000;

impl Machine {
    /// Has all members of a gang go on from the newest checkpoint of any of them.
    pub(crate) fn share_checkpoint(&mut self, member: TaskId) {
        let state = self.jobs.get_mut(&member.job);
        if let Some(step) = state.and_then(|j| j.step_mut(member.repetition, member.step)) {
            step.share_checkpoint();
        }
    }

    /// Takes note that a worker rejected a start as malformed: the task forgets the checkpoint
    /// that this brought, since other workers would reject it too, and the worker is to blame if
    /// it brought none.
    pub(super) fn reject_start(&mut self, slot: u32, id: TaskId) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = state.job.spec.steps[id.step as usize].gang;
        let Some(step) = state.step_mut(id.repetition, id.step) else {
            return;
        };
        let task = &mut step.tasks[id.index as usize];
        let run = task.last_run;
        if task.run.as_ref().is_none_or(|r| !r.partial) {
            task.retry_at = now + REJECTED_PAUSE_MS;
            return self.note_worker_failure(slot);
        }
        self.stats.rejected += 1;
        // The answer to another member's start may have taken it away already.
        let Some(rejected) = task.checkpoint.take() else {
            return;
        };
        if gang {
            step.reject_checkpoint(&rejected.text);
        }
        let (saved_run, saved_on) = self.checkpoint_source(&rejected);
        log::warn!(task = id.to_string().as_str(), run, worker = &*self.fleet.get(slot).id, saved = log_excerpt(&rejected.text), saved_run, saved_on; "start: checkpoint rejected");
        self.mark_dirty(id.job);
    }

    /// Returns what log lines tell of where a checkpoint was made: the run and its worker.
    pub(super) fn checkpoint_source(&self, checkpoint: &Checkpoint) -> (u32, &str) {
        match checkpoint.origin {
            Some(origin) => (origin.run, &self.fleet.get(origin.worker).id),
            None => (0, "record"),
        }
    }
}
