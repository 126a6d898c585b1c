//! Creation and timing of the exchanges with the shard's workers.

use super::{
    Action, Allocation, Health, JobSpec, ShardScheduler, StartOrder, StopOrder, StopReason, Task,
    Throttle, Worker, WorkerRequest,
};
use crate::{Millis, name::Name};

/// Minimum time between two exchanges with a worker.
const MIN_EXCHANGE_GAP_MS: Millis = 10;

/// Returns the object store key of the checkpoint that an attempt writes.
pub fn checkpoint_key(shard: &str, job: u32, task: u32, attempt: u32) -> Name {
    format!("checkpoint/{shard}/{job}.{task}.{attempt}").into()
}

impl ShardScheduler {
    /// Sends an exchange to each worker whose next one is due.
    ///
    /// An exchange that is unanswered for `silent_after` no longer delays the next one.
    pub(super) fn send_exchanges(&mut self, now: Millis) {
        for i in 0..self.workers.len() {
            let w = &self.workers[i];
            let wait = if w.dirty {
                MIN_EXCHANGE_GAP_MS
            } else {
                self.settings.exchange_interval
            };
            let in_flight = w.awaiting_answer && now < w.sent_at + self.settings.silent_after;
            if in_flight || now < w.sent_at + wait || w.addr.port() == 0 {
                continue;
            }
            self.send_exchange(now, i);
        }
    }

    fn send_exchange(&mut self, now: Millis, i: usize) {
        let renew = self.workers[i].health == Health::Good;
        let seq = self.workers[i].seq + 1;
        let starts = if renew {
            self.start_orders(now, i, seq)
        } else {
            Vec::new()
        };
        let lapse = self.lapsed_attempts(now, &self.workers[i]);
        let committed = self.committed;
        let w = &mut self.workers[i];
        w.seq = seq;
        w.awaiting_answer = true;
        w.dirty = false;
        w.sent_at = now;
        if renew {
            w.lease_start = w.lease_start.max(w.last_clock_at);
        }
        let mut acks = Vec::new();
        for (record, attempt) in &w.acks {
            if *record < committed {
                acks.push(*attempt);
            }
        }
        let request = WorkerRequest {
            shard: self.shard.name.clone(),
            epoch: self.epoch,
            seq,
            boot: w.boot,
            echo: w.last_clock,
            lease: self.settings.lease,
            renew,
            lapse,
            starts,
            stops: stop_orders(w, &self.state),
            throttles: throttle_orders(w),
            acks,
        };
        let (worker, addr) = (w.name.clone(), w.addr);
        self.actions.push(Action::Exchange {
            worker,
            addr,
            request,
        });
    }

    /// Returns the attempts whose hold is over; their leases are not renewed.
    fn lapsed_attempts(&self, now: Millis, w: &Worker) -> Vec<super::AttemptId> {
        let store_age = now.saturating_sub(self.store_seen_at);
        let mut out = Vec::new();
        for r in &w.allocations {
            if !r.service && store_age > r.hold.min(self.hold_cap) {
                out.push(r.attempt);
            }
        }
        out
    }

    /// Returns the orders for attempts whose start is committed and not reported as running.
    ///
    /// An order is repeated until the worker reports the attempt.
    fn start_orders(&mut self, now: Millis, i: usize, seq: u64) -> Vec<StartOrder> {
        let (committed, cap) = (self.committed, self.hold_cap);
        let store_age = now.saturating_sub(self.store_seen_at);
        let mut out = Vec::new();
        let w = &mut self.workers[i];
        for r in &mut w.allocations {
            let due = r.start_record < committed && !r.is_running && r.stop.is_none();
            if !due || (!r.service && store_age > r.hold.min(cap)) {
                continue;
            }
            let Some((job, task, _)) = self.state.active_task(r.attempt) else {
                continue;
            };
            r.sent_seq.get_or_insert(seq);
            out.push(start_order(&self.shard.name, r, &job.spec, task));
        }
        out
    }
}

fn start_order(shard: &str, r: &Allocation, spec: &JobSpec, task: &Task) -> StartOrder {
    let key = &spec.key;
    let id = r.attempt;
    let resume = (task.checkpoint_attempt > 0)
        .then(|| checkpoint_key(shard, id.job, id.task, task.checkpoint_attempt));
    let checkpoint = spec
        .checkpoint
        .then(|| checkpoint_key(shard, id.job, id.task, id.attempt));
    StartOrder {
        attempt: r.attempt,
        name: format!("{}/{}/{}", key.org, key.id, r.attempt.task).into(),
        kind: spec.kind.clone(),
        size: r.size,
        run_time: spec.run_time,
        resume,
        checkpoint,
        service: r.service,
    }
}

fn stop_orders(w: &Worker, state: &super::ShardState) -> Vec<StopOrder> {
    let mut out = Vec::new();
    for r in &w.allocations {
        let Some(reason) = r.stop else { continue };
        if r.sent_seq.is_none() {
            continue;
        }
        let can_save = state.job(r.attempt.job).is_some_and(|j| j.spec.checkpoint);
        out.push(StopOrder {
            attempt: r.attempt,
            save: can_save && reason != StopReason::Cancelled,
        });
    }
    for &attempt in &w.unknown_attempts {
        out.push(StopOrder {
            attempt,
            save: false,
        });
    }
    out
}

fn throttle_orders(w: &Worker) -> Vec<Throttle> {
    let mut out = Vec::new();
    for r in &w.allocations {
        if r.cpu_percent < 100 || r.throttle_changed_at > 0 {
            out.push(Throttle {
                attempt: r.attempt,
                cpu_percent: r.cpu_percent,
            });
        }
    }
    out
}
