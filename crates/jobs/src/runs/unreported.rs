//! Starts that a later life of a worker's name may have taken.
//!
//! The load pattern that this answers: a worker starts again under its name and, before
//! anybody has heard the new life, takes a start that was meant for the one before. The end of
//! the lease that the start names is on a clock that is far ahead, so the new life cuts it to
//! the longest lease, counted from when the order arrived. Its run outlasts whatever the owner
//! promised, and no list has shown it when the worker is cut off or its address is taken by
//! another one.
//!
//! A run is held until a list says which life has it, or until no lease that a later life may
//! have taken can still be valid. All other runs end with the leases that this life was given.
//!
//! Limits: orders that were held up for longer than [`MAX_ORDER_DELAY_MS`] are not foreseen. Workers that
//! do not say when they began have a new name in each life, which refuses such orders.

use crate::{
    event::Started,
    machine::Machine,
    model::{ids::TaskId, task::Run},
    runs::worker::Worker,
    settings::{Settings, lease_upper_bound, min_clock_advance},
};

/// An order is carried out within this time or not at all, in milliseconds.
pub(super) const MAX_ORDER_DELAY_MS: u64 = 3000;

impl Run {
    /// Tells whether its start was sent and it is not known which life of the worker's name, if
    /// any, has carried it out.
    fn is_unattributed(&self) -> bool {
        self.unreported_since().is_some() && !self.attributed
    }
}

impl Worker {
    /// Takes note that an order which names the end of a lease is sent.
    pub(crate) fn note_lease_order(&mut self, now: u64, settings: &Settings) {
        if self.start_time.is_some() {
            self.successor_lease_end =
                now + MAX_ORDER_DELAY_MS + lease_upper_bound(settings.max_lease);
        }
    }

    /// Tells whether a clock reading in answer to an order that was sent at `sent` is no less
    /// than what this life's clock showed by then.
    ///
    /// Then no lease that was taken with the order outlasts what this life was promised,
    /// whichever life answered.
    pub(super) fn is_clock_consistent(&self, reading: u64, sent: u64) -> bool {
        self.clock.is_some_and(|(last, at)| {
            let elapsed = sent.saturating_sub(at);
            reading >= last + min_clock_advance(elapsed)
        })
    }
}

impl Machine {
    /// Tells whether an answer to a start shows that its run is over with the leases that its
    /// worker's life was promised.
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

    /// Tells whether a run may be under way in a later life of its worker's name.
    fn may_run_in_successor(&self, slot: u32, id: TaskId) -> bool {
        let worker = self.fleet.get(slot);
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let run = task.and_then(|t| t.run.as_ref());
        self.now <= worker.successor_lease_end && run.is_some_and(|r| r.is_unattributed())
    }

    /// Returns the runs on a worker that are over when its life is, or its leases are.
    pub(super) fn ended_runs(&self, slot: u32) -> Vec<TaskId> {
        let runs = self.fleet.get(slot).runs.iter().copied();
        let ended = runs.filter(|&id| !self.may_run_in_successor(slot, id));
        ended.collect()
    }
}
