//! Runs of earlier owners on workers that have not reported to this owner yet.
//!
//! Such a run occupies its task until its worker reports, or until every lease that an earlier
//! owner may have granted has expired. A worker without an announcement at the takeover can't even
//! be polled.

use crate::{runs::worker::Worker, scheduler::Scheduler};

impl Worker {
    /// Returns how many runs on the worker wait for its first report to this owner.
    fn unverified_runs(&self) -> usize {
        if self.clock.is_none() && !self.dead {
            self.runs.len()
        } else {
            0
        }
    }
}

impl Scheduler {
    /// Returns how many runs of earlier owners are on workers that have not reported yet.
    pub(crate) fn unverified_runs(&self) -> u64 {
        let workers = self.fleet.workers.iter();
        workers.map(|w| w.unverified_runs() as u64).sum()
    }

    /// Logs the workers that can't be polled, and how long their runs wait.
    pub fn log_unverified_runs(&self) {
        for worker in &self.fleet.workers {
            if worker.info.is_some() || worker.runs.is_empty() {
                continue;
            }
            let wait = worker.leases_end().saturating_sub(self.now);
            log::warn!(worker = &*worker.incarnation_name, runs = worker.runs.len(), wait_ms = wait; "worker: not listed, its runs wait");
        }
    }
}
