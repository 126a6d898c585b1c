//! Starts that a later incarnation of a worker may have carried out.
//!
//! A worker starts again under its name and, before its new incarnation is known, carries out a
//! start that was meant for the previous one. The start names the end of its lease on a clock that
//! is far ahead, so the new incarnation cuts the lease to the longest one, counted from the arrival
//! of the order. Its run outlasts what the owner granted, and no report has included it when the
//! worker is cut off or another one takes its address.
//!
//! A run is kept until a report shows which incarnation has it, or until no lease that a later
//! incarnation may have taken can still be valid. All other runs end with the leases granted to
//! this incarnation.
//!
//! Limits: orders delayed by more than [`MAX_ORDER_DELAY_MS`] are not covered. Workers that do not
//! report a start time have a new name in each incarnation, which refuses such orders.

use crate::{
    event::Started,
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    runs::worker::Worker,
    scheduler::Scheduler,
    settings::{Settings, lease_upper_bound, min_clock_advance},
};

/// Longest delay after which an order is still carried out, in milliseconds.
pub(super) const MAX_ORDER_DELAY_MS: u64 = 3000;

impl Run {
    /// Returns whether the start was sent and it is unknown which incarnation of the worker, if
    /// any, has carried it out.
    fn is_unattributed(&self) -> bool {
        self.is_unreported() && !self.attributed
    }
}

impl Worker {
    /// Records that an order was sent that names the end of a lease.
    pub(crate) fn record_lease_order(&mut self, now: u64, settings: &Settings) {
        if self.start_time.is_some() {
            self.successor_lease_end =
                now + MAX_ORDER_DELAY_MS + lease_upper_bound(settings.max_lease);
        }
    }

    /// Returns whether a clock reading in the answer to an order sent at `sent` is at least what
    /// this incarnation's clock showed by then.
    ///
    /// If so, no lease taken with the order outlasts what was granted to this incarnation,
    /// whichever incarnation answered.
    pub(super) fn is_clock_consistent(&self, reading: u64, sent: u64) -> bool {
        self.clock.is_some_and(|(last, at)| {
            let elapsed = sent.saturating_sub(at);
            reading >= last + min_clock_advance(elapsed)
        })
    }
}

impl Scheduler {
    /// Returns whether an answer to a start shows that the run ends with the leases granted to this
    /// incarnation of its worker.
    pub(super) fn is_attributed(&self, slot: u32, id: TaskId, started: Started) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let sent = task.and_then(|t| t.run.as_ref()).and_then(|r| r.sent_at);
        match (started, sent) {
            (Started::DoneAt(reading), Some(at)) => {
                self.fleet.get(slot).is_clock_consistent(reading, at)
            }
            _ => false,
        }
    }

    /// Returns whether a run may be in progress in a later incarnation of its worker.
    ///
    /// Records don't show whether a report has included a run of an earlier owner. A long-running
    /// task does not wait longer than the leases that were granted, since users are promised that
    /// it is back by then.
    fn may_run_in_successor(&self, slot: u32, id: TaskId) -> bool {
        let worker = self.fleet.get(slot);
        let Some(state) = self.jobs.get(&id.job) else {
            return false;
        };
        let long_running = state.job.spec.steps[id.step as usize].long_running;
        let Some(run) = state.task(id).and_then(|t| t.run.as_ref()) else {
            return false;
        };
        let end = match run.stage {
            Stage::Inherited if long_running => worker.prior_leases_end,
            _ => worker.successor_lease_end,
        };
        worker.start_time.is_some() && self.now <= end && run.is_unattributed()
    }

    /// Returns the runs on a worker that end with its incarnation or its leases.
    pub(super) fn ended_runs(&self, slot: u32) -> Vec<TaskId> {
        let runs = self.fleet.get(slot).runs.iter().copied();
        let ended = runs.filter(|&id| !self.may_run_in_successor(slot, id));
        ended.collect()
    }
}
