//! What tasks go on from: one checkpoint for all members of a gang, and none that was rejected.
//!
//! The load pattern that this answers: a text that is not the task's, however it came to be
//! kept. Each start that brings it is rejected, on every worker.
//!
//! Limits: a worker that rejects a good checkpoint costs the work that was done by then.

use crate::{
    machine::Machine,
    model::{checkpoint::shown, ids::TaskId},
};

impl Machine {
    /// Has all members of a gang go on from the newest checkpoint of any of them.
    pub(crate) fn share_checkpoint(&mut self, member: TaskId) {
        let state = self.jobs.get_mut(&member.job);
        if let Some(step) = state.and_then(|j| j.step_mut(member.time, member.step)) {
            step.share_checkpoint();
        }
    }

    /// Forgets the checkpoint that a start brought which a worker rejected as malformed, since
    /// any other worker would reject it as well; the worker is to blame if there was none.
    pub(super) fn reject_checkpoint(&mut self, slot: u32, id: TaskId) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = state.job.spec.steps[id.step as usize].gang;
        let Some(step) = state.step_mut(id.time, id.step) else {
            return;
        };
        let task = &mut step.tasks[id.index as usize];
        let run = task.last;
        let Some(rejected) = task.saved.take() else {
            return self.blame(slot);
        };
        if gang {
            step.drop_checkpoint(&rejected.text);
        }
        self.figures.rejected += 1;
        let fleet = &self.fleet;
        let worker = &*fleet.get(slot).id;
        let saved_on = rejected
            .origin
            .map_or("record", |o| &*fleet.get(o.worker).id);
        let saved_run = rejected.origin.map_or(0, |o| o.run);
        log::warn!(task = id.to_string().as_str(), run, worker, saved = shown(&rejected.text), saved_run, saved_on; "start: checkpoint rejected");
        self.mark(id.job);
    }
}
