//! Loss of workers and of the runs on them.
//!
//! A worker is lost if another incarnation answers at its address or under its name, or if all
//! leases on it have expired and it did not answer. Its machine may have lost power, it may be cut
//! off, or its process may have ended; only in the last case does its address refuse connections.

use crate::{model::ids::TaskId, scheduler::Scheduler};

impl Scheduler {
    /// Handles the end of a worker's incarnation, and of the runs there.
    pub(crate) fn worker_lost(&mut self, slot: u32) {
        let worker = self.fleet.get(slot);
        if worker.dead {
            return;
        }
        let silent = worker.silent_since.map_or(0, |at| self.now - at);
        log::warn!(worker = &*worker.id, born:? = worker.start_time, runs = worker.runs.len(), silent_ms = silent, absent = worker.process_ended; "worker: its life has ended");
        let now = self.now;
        let worker = self.fleet.get_mut(slot);
        worker.dead = true;
        worker.silent_since.get_or_insert(now);
        worker.end_poll();
        self.record_crash(slot);
        self.confirm_end(slot);
        let ended = self.ended_runs(slot);
        self.drop_runs(slot, &ended);
    }

    /// Drops the runs of silent workers whose leases have expired.
    pub(crate) fn expire_leases(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            let idle = worker.runs.is_empty() && worker.orphans.is_empty();
            if idle || !worker.dead && !worker.is_lost(self.now) {
                continue;
            }
            let ended = self.ended_runs(slot);
            if ended.is_empty() && worker.orphans.is_empty() {
                continue;
            }
            let (runs, held) = (ended.len(), worker.runs.len() - ended.len());
            log::warn!(worker = &*worker.id, runs, held, absent = worker.process_ended; "worker: its leases are over");
            self.stats.lapsed += runs as u64;
            if !worker.dead {
                self.record_crash(slot);
            }
            self.drop_runs(slot, &ended);
        }
    }

    /// Clears the given runs, and all orphans, on a lost worker.
    pub(super) fn drop_runs(&mut self, slot: u32, runs: &[TaskId]) {
        self.log_lost_runs(slot, runs);
        let worker = self.fleet.get_mut(slot);
        worker.drop_orphans(|_| true);
        for &id in runs {
            self.clear_run(id);
            self.mark_dirty(id.job);
        }
    }

    /// Logs the runs that are lost with a worker, with the age of each when the worker fell silent.
    fn log_lost_runs(&mut self, slot: u32, runs: &[TaskId]) {
        let worker = self.fleet.get(slot);
        self.stats.lost += runs.len() as u64;
        let end = worker.silent_since.unwrap_or(self.now);
        for &id in runs {
            let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else {
                continue;
            };
            let sent = task.run.as_ref().and_then(|r| r.sent_at);
            let age = sent.map_or(0, |at| end.saturating_sub(at));
            log::info!(task = id.to_string().as_str(), run = task.last_run, worker = &*worker.id, age_ms = age, crashes = task.crashes.count(); "run: lost with its worker");
        }
    }
}
