//! Workers whose process ends, and tasks that bring that about.

use gorsespur_jobs::{Action, Answer, Event, Started, Stopped, TaskId};

use super::World;

/// Milliseconds until a crashed worker's next life usually begins.
pub(super) const RESTART_MS: u64 = 3000;

/// Milliseconds until the announcement of a worker that has ended is gone.
const ROW_EXPIRY_MS: u64 = 4500;

/// A task that crashes each worker that starts it.
#[derive(Debug, Clone, Copy)]
pub struct Crasher {
    pub task: TaskId,
    /// Milliseconds from its start until the worker crashes.
    pub after_ms: u64,
}

impl World {
    /// Crashes the workers that run what crashes them, and lets others begin anew.
    pub(super) fn crash_workers(&mut self) {
        let now = self.now;
        for at in 0..self.workers.len() {
            let runs = &self.workers[at].runs;
            let culprit = runs.iter().find(|r| {
                let crasher = self.crashers.iter().find(|c| c.task == r.task);
                crasher.is_some_and(|c| now >= r.started_at + c.after_ms)
            });
            let others = runs.len().saturating_sub(1);
            if let Some(task) = culprit.map(|r| r.task) {
                self.checker.record_crash(task, others);
                self.crash(at);
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

    /// A worker's process ends, for whatever cause; it is back after some seconds.
    pub fn crash(&mut self, at: usize) {
        let now = self.now;
        self.workers[at].crash(now + self.restart_ms);
        let id = self.workers[at].id.clone();
        self.expiring_rows.push((now + ROW_EXPIRY_MS, id));
        self.delay_in_flight(at);
    }

    /// A worker's machine loses its power: nothing is heard of it until it is back.
    pub fn lose_power(&mut self, at: usize) {
        self.crash(at);
        self.workers[at].process_down = false;
    }

    /// What answers an order that is meant for a life which has ended, if anything does.
    pub(super) fn refusal(&self, at: usize, action: &Action, meant: &str) -> Option<Answer> {
        let worker = &self.workers[at];
        if worker.partitioned {
            return None;
        }
        if worker.alive && !worker.refusing {
            return (*worker.id != *meant).then_some(Answer::Dead);
        }
        if !worker.process_down && !worker.refusing {
            return None;
        }
        refusal_answer(action)
    }
}

/// What answers an order at an address where nobody listens.
pub(super) fn refusal_answer(action: &Action) -> Option<Answer> {
    match action {
        Action::Poll { .. } => Some(Answer::ConnectionRefused),
        Action::Start(_, order) => {
            let started = Started::NotSent;
            Some(Answer::Started(order.task, order.run, started))
        }
        Action::Stop { task, run, .. } => Some(Answer::Stopped(*task, *run, Stopped::Unknown)),
        Action::Pace { task, run, .. } => Some(Answer::Paced(*task, *run, false)),
        Action::Commit(_) | Action::StepDown => None,
    }
}
