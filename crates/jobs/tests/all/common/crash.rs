//! Workers whose process ends, and tasks that crash them.

use gorsespur_jobs::{Action, Answer, Event, Paced, Started, Stopped, TaskId};

use super::World;

/// Default time until a crashed worker restarts, in milliseconds.
pub(super) const RESTART_MS: u64 = 3000;

/// Milliseconds until the row of an ended incarnation expires.
const ROW_EXPIRY_MS: u64 = 4500;

/// A task that crashes each worker that starts it.
#[derive(Debug, Clone, Copy)]
pub struct Crasher {
    pub task: TaskId,
    /// Milliseconds from the start of the task until its worker crashes.
    pub after_ms: u64,
}

impl World {
    /// Crashes the workers whose runs are due to crash them, and restarts workers that are due.
    pub(super) fn crash_workers(&mut self) {
        let now = self.now;
        for at in 0..self.workers.len() {
            let runs = &self.workers[at].runs;
            let crashing = runs.iter().find(|r| {
                let crasher = self.crashers.iter().find(|c| c.task == r.task);
                crasher.is_some_and(|c| now >= r.started_at + c.after_ms)
            });
            let other_runs = runs.len().saturating_sub(1);
            if let Some(task) = crashing.map(|r| r.task) {
                self.checker.record_crash(task, other_runs);
                match self.silent_crashes {
                    true => self.lose_power(at),
                    false => self.crash(at),
                }
            }
            if self.workers[at].restarts_at.is_some_and(|t| t <= now) {
                self.restart_worker(at);
            }
        }
        while let Some(at) = self.expiring_rows.iter().position(|(t, _)| *t <= now) {
            let (_, id) = self.expiring_rows.remove(at);
            let at = self.workers.iter().position(|w| w.id == id);
            match at.filter(|_| self.settings.reuse_names) {
                Some(at) => self.expire_row(at),
                None => self.notify(Event::WorkerRemoved(id)),
            }
        }
        self.publish_due_rows();
    }

    /// Ends a worker's process. The worker restarts after `restart_ms`.
    pub fn crash(&mut self, at: usize) {
        let now = self.now;
        self.workers[at].crash(now + self.restart_ms);
        let id = self.workers[at].id.clone();
        self.expiring_rows.push((now + ROW_EXPIRY_MS, id));
        self.delay_in_flight(at);
    }

    /// Cuts the power of a worker's machine: the worker sends nothing until it restarts, not even
    /// refused connections.
    pub fn lose_power(&mut self, at: usize) {
        self.crash(at);
        self.workers[at].process_down = false;
    }

    /// Returns the answer to an order that is addressed to an ended incarnation, if there is any.
    pub(super) fn refusal(&self, at: usize, action: &Action, addressee: &str) -> Option<Answer> {
        let worker = &self.workers[at];
        if worker.partitioned {
            return None;
        }
        if worker.alive && !worker.refusing {
            return (*worker.id != *addressee).then_some(Answer::Dead);
        }
        if !worker.process_down && !worker.refusing {
            return None;
        }
        refusal_answer(action)
    }
}

/// Returns the answer to an order at an address without a listener.
pub(super) fn refusal_answer(action: &Action) -> Option<Answer> {
    match action {
        Action::Poll { .. } => Some(Answer::ConnectionRefused),
        Action::Start(_, order) => {
            let started = Started::NotSent;
            Some(Answer::Started(order.task, order.run, started))
        }
        Action::Stop { task, run, .. } => Some(Answer::Stopped(*task, *run, Stopped::Unknown)),
        Action::Pace { task, run, .. } => Some(Answer::Paced(*task, *run, Paced::Refused)),
        Action::Commit(_) | Action::StepDown => None,
    }
}
