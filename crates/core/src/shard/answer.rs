//! Handling of workers' answers to exchanges.

use super::{
    Action, End, ExchangeRefusal, Health, ShardScheduler, StopReason, WorkerAnswer, WorkerEnd,
};
use crate::{Millis, name::Name, placement::CoRunner};

impl ShardScheduler {
    /// Handles a worker's answer to an exchange.
    ///
    /// Answers that were overtaken by a newer one of the same boot are ignored.
    pub(super) fn handle_answer(&mut self, now: Millis, worker: &Name, answer: &WorkerAnswer) {
        let Ok(i) = self.workers.binary_search_by(|w| w.name.cmp(worker)) else {
            return;
        };
        let w = &mut self.workers[i];
        if answer.seq == w.seq {
            w.awaiting_answer = false;
        }
        if let Some(reason) = answer.refused {
            if reason == ExchangeRefusal::OldEpoch && answer.epoch > self.epoch {
                self.actions.push(Action::Fenced {
                    epoch: answer.epoch,
                });
            }
            return;
        }
        if w.boot == answer.boot && answer.clock < w.last_clock {
            return;
        }
        self.record_contact(now, i, answer);
        self.record_ends(now, i, answer);
        self.record_running(now, i, answer);
        self.end_missing(now, i, answer);
        self.end_unsent(now, i);
        self.learn_from_samples(now, i, answer);
    }

    /// Handles an exchange that got no answer.
    pub(super) fn handle_no_answer(&mut self, worker: &Name, seq: u64) {
        let Ok(i) = self.workers.binary_search_by(|w| w.name.cmp(worker)) else {
            return;
        };
        let w = &mut self.workers[i];
        if w.seq == seq {
            w.awaiting_answer = false;
        }
    }

    fn record_contact(&mut self, now: Millis, i: usize, answer: &WorkerAnswer) {
        let w = &mut self.workers[i];
        if w.boot != answer.boot {
            w.history.clear();
        }
        w.boot = answer.boot;
        w.last_clock = answer.clock;
        w.last_clock_at = now;
        w.answered_at = now;
        if w.capacity != answer.size {
            w.capacity = answer.size;
            self.placement_due = true;
        }
        if w.health != Health::Good {
            w.health = Health::Good;
            w.lease_start = now;
            w.dirty = true;
            self.placement_due = true;
            self.targets_version += 1;
        }
        if answer.leaving && !w.leaving {
            w.leaving = true;
            self.targets_version += 1;
            self.drain_worker(i);
        }
    }

    fn record_ends(&mut self, now: Millis, i: usize, answer: &WorkerAnswer) {
        let w = &mut self.workers[i];
        w.acks
            .retain(|(_, id)| answer.ended.iter().any(|e| e.attempt == *id));
        for report in &answer.ended {
            let id = report.attempt;
            let w = &self.workers[i];
            if let Some(r) = w.allocation(id) {
                let end = end_from_report(report.end, r.stop);
                let number = self.end_attempt(now, i, id, end);
                self.workers[i].acks.push((number, id));
            } else if !w.acks.iter().any(|(_, k)| *k == id) {
                self.workers[i].acks.push((0, id));
            }
            self.workers[i].dirty = true;
        }
    }

    fn record_running(&mut self, now: Millis, i: usize, answer: &WorkerAnswer) {
        let w = &mut self.workers[i];
        let had_unknown = !w.unknown_attempts.is_empty();
        w.unknown_attempts.clear();
        for &id in &answer.running {
            let clock = w.last_clock;
            let Some(r) = w.allocation_mut(id) else {
                w.unknown_attempts.push(id);
                continue;
            };
            if r.is_running {
                continue;
            }
            r.is_running = true;
            let class = r.class;
            r.since = now;
            let service = r.service;
            let co_runner = CoRunner { attempt: id, class };
            w.history.begin(co_runner, clock);
            self.targets_version += u64::from(service);
        }
        w.dirty |= !w.unknown_attempts.is_empty();
        self.placement_due |= had_unknown && w.unknown_attempts.is_empty();
    }

    /// Ends the attempts that were sent to the worker but neither run there nor were reported as
    /// ended.
    fn end_missing(&mut self, now: Millis, i: usize, answer: &WorkerAnswer) {
        let mut missing = Vec::new();
        for r in &self.workers[i].allocations {
            let sent = r.sent_seq.is_some_and(|s| s <= answer.seq);
            if sent && !answer.running.contains(&r.attempt) {
                missing.push(r.attempt);
            }
        }
        for id in missing {
            self.end_attempt(now, i, id, End::Lost);
        }
    }

    /// Ends the attempts that have to stop and whose start was never sent.
    pub(super) fn end_unsent(&mut self, now: Millis, i: usize) {
        let mut unsent = Vec::new();
        for r in &self.workers[i].allocations {
            let Some(reason) = r.stop else { continue };
            if r.sent_seq.is_none() {
                unsent.push((r.attempt, reason));
            }
        }
        for (id, reason) in unsent {
            let end = match reason {
                StopReason::Cancelled => End::Stopped,
                StopReason::Preempted | StopReason::Noisy | StopReason::Leaving => End::Refused,
            };
            self.end_attempt(now, i, id, end);
        }
    }
}

fn end_from_report(end: WorkerEnd, stop: Option<StopReason>) -> End {
    match (end, stop) {
        (WorkerEnd::Done, _) => End::Done,
        (WorkerEnd::Failed, _) => End::Failed,
        (WorkerEnd::Refused, _) => End::Refused,
        (WorkerEnd::Stopped { .. }, Some(StopReason::Cancelled)) => End::Stopped,
        (WorkerEnd::Stopped { saved }, Some(_)) => End::Evicted { saved },
        (WorkerEnd::Stopped { saved: true }, None) => End::Evicted { saved: true },
        (WorkerEnd::Stopped { saved: false }, None) => End::Lost,
    }
}
