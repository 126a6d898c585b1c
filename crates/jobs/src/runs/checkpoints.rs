//! Checkpoints that tasks resume from: one for all members of a gang, and none that was rejected.
//!
//! A stored checkpoint may not be the task's own, whatever the cause, so that each start that
//! carries it is rejected.
//!
//! Limits: a rejection by one worker is enough, so a worker that rejects good checkpoints costs the
//! work saved in them. Only the last rejected checkpoint of a gang is recorded, and only by this
//! owner.

use crate::{
    model::{
        checkpoint::{Checkpoint, log_excerpt},
        ids::TaskId,
    },
    scheduler::Scheduler,
};

/// Delay of a task whose start without a checkpoint was rejected, in milliseconds: other workers
/// may reject it as well, and each rejection counts as a failure of the worker.
const REJECTED_PAUSE_MS: u64 = 2000;

impl Scheduler {
    /// Makes all members of a gang resume from the newest checkpoint of any of them.
    pub(crate) fn share_checkpoint(&mut self, member: TaskId) {
        let state = self.jobs.get_mut(&member.job);
        if let Some(step) = state.and_then(|j| j.step_mut(member.repetition, member.step)) {
            step.share_checkpoint();
        }
    }

    /// Handles a start that a worker rejected as malformed. The task drops the checkpoint that the
    /// start carried, since other workers would reject it too. Without a checkpoint the rejection
    /// counts as a failure of the worker.
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
            return self.record_worker_failure(slot);
        }
        self.stats.rejected += 1;
        // The answer to another member's start may have removed the checkpoint already.
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

    /// Returns the run that made a checkpoint and the name of its worker, for log lines.
    pub(super) fn checkpoint_source(&self, checkpoint: &Checkpoint) -> (u32, &str) {
        match checkpoint.origin {
            Some(origin) => (origin.run, &self.fleet.get(origin.worker).id),
            None => (0, "record"),
        }
    }
}
