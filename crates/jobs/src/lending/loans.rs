//! Lent capacity is kept for short work, and then for the tasks that return.
//!
//! Limits: a long-running task that waits for its first run is refused lent capacity. One that lost
//! its run otherwise is refused it for a moment only.

use crate::{
    lending::{Lent, Phase},
    model::{ids::TaskId, task::Task},
    place::request::{LoanAccess, Request},
    runs::worker::Capacity,
    scheduler::Scheduler,
};

/// Time after which a long-running task that lost its run, or should be back, may take any lent
/// capacity, in milliseconds: users count it as lost 6 s after its last run.
const MAX_REFUSAL_MS: u64 = 2000;

impl Scheduler {
    /// Returns whether the worker has room for a lent task whose run has ended.
    pub(super) fn has_room_for_return(&self, lent: &Lent) -> bool {
        let task = self.jobs.get(&lent.task.job);
        let task = task.and_then(|j| j.task(lent.task));
        let worker = self.fleet.get(lent.slot);
        let is_free = worker.capacity().has_room(worker.used, lent.size);
        is_free && task.is_some_and(|t| t.run.is_none())
    }

    /// Returns whether capacity is kept for a task of a step that returns.
    pub(crate) fn has_loan_to_return(&self, first: TaskId) -> bool {
        let mut loans = self.lender.lent.iter();
        loans.any(|l| l.returns_to_step(first) && self.fleet.get(l.slot).accepts_runs(self.now))
    }

    /// Returns whether a task of a step returns to a worker.
    pub(crate) fn returns_to(&self, slot: u32, first: TaskId) -> bool {
        let mut loans = self.lender.lent.iter();
        loans.any(|l| l.slot == slot && l.returns_to_step(first))
    }

    /// Returns the most that any waiting task of a step may take of lent capacity.
    pub(crate) fn loan_access(&self, first: TaskId) -> LoanAccess {
        let Some(state) = self.jobs.get(&first.job) else {
            return LoanAccess::Denied;
        };
        if !state.job.spec.steps[first.step as usize].long_running {
            return LoanAccess::Full;
        }
        let tasks = &state.repetitions[first.repetition as usize][first.step as usize].tasks;
        let waiting = tasks.iter().filter(|t| t.is_waiting(self.now));
        let accesses = waiting.map(|t| t.loan_access(self.now));
        accesses.max().unwrap_or(LoanAccess::Denied)
    }

    /// Returns which lent capacity a waiting task may take.
    pub(crate) fn task_loan_access(&self, id: TaskId) -> LoanAccess {
        let Some(state) = self.jobs.get(&id.job) else {
            return LoanAccess::Denied;
        };
        match (
            state.job.spec.steps[id.step as usize].long_running,
            state.task(id),
        ) {
            (false, _) => LoanAccess::Full,
            (true, Some(task)) => task.loan_access(self.now),
            (true, None) => LoanAccess::Denied,
        }
    }

    /// Returns whether a long-running task fits into what is neither used nor lent by others.
    pub(crate) fn has_room_beside_loans(&self, slot: u32, request: &Request<'_>) -> bool {
        let worker = self.fleet.get(slot);
        if worker.lent == Capacity::default() || request.access == LoanAccess::Full {
            return true;
        }
        let mut own = Capacity::default();
        for lent in self.lender.lent.iter().filter(|l| l.slot == slot) {
            if lent.returns_to_step(request.first_task) {
                own.add(lent.size);
            }
        }
        worker.has_room_beside_lent(request.step, own)
    }
}

impl Task {
    /// Returns which lent capacity a long-running task that waits may take.
    pub(crate) fn loan_access(&self, now: u64) -> LoanAccess {
        let since = self.idle_since.max(self.retry_at).max(self.lent_until);
        if self.last_run > 0 && now > since + MAX_REFUSAL_MS {
            return LoanAccess::Full;
        }
        match self.lent_until > 0 {
            true => LoanAccess::Own,
            false => LoanAccess::Denied,
        }
    }
}

impl Lent {
    /// Returns whether the task may be placed again and belongs to a step.
    fn returns_to_step(&self, first: TaskId) -> bool {
        let own = TaskId {
            index: 0,
            ..self.task
        };
        own == first && self.phase == Phase::Returning
    }
}
