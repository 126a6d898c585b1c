//! Keeps a late poll from dropping the end of a late start.
//!
//! A start and a poll without an answer may both be carried out seconds later, by an incarnation
//! that has seen no fencing token. If the start comes first and its run ends before the poll, then
//! the poll drops an end that nobody has read, and the task starts again after it was done. So at
//! no time may both be under way: a start waits for the answer to a poll that lets ends go, and no
//! poll lets ends go while a start has no answer. A start that stays without one is fenced off in
//! the incarnations that report without it, but not in the next one, so that the ends are kept for
//! some time after.
//!
//! A poll that lets ends go and gets no answer raises the generation before any start is sent. An
//! incarnation that has carried out a later start refuses such a poll.
//!
//! Limits: orders that are carried out more than [`LATE_START_MS`] after their run was given up
//! are not covered. A worker that lists [`MAX_KEPT_ENDS`] lets them go all the same. Workers that do not report a start time refuse the orders for others.

use std::sync::Arc;

use crate::{
    model::task::{Run, Stage},
    runs::{fleet::Fleet, report::MAX_REPORTED_ENDS, worker::Worker},
    scheduler::Scheduler,
};

/// As many ends are kept at most: a report holds twice as many, and ends behind those would be missed.
const MAX_KEPT_ENDS: u64 = MAX_REPORTED_ENDS as u64 / 2;

/// Time for which a start may still be carried out after its run was given up, in milliseconds.
/// Users say that orders are carried out seconds later.
const LATE_START_MS: u64 = 15_000;

impl Run {
    /// Returns whether the start was sent and may still be carried out.
    fn is_open_start(&self) -> bool {
        self.stage != Stage::Planned && self.may_start_later()
    }
}

impl Worker {
    /// Returns the number of ends that the worker lists.
    fn listed_ends(&self) -> u64 {
        let first = self.first_end.unwrap_or(u64::MAX);
        (self.counted_end + 1).saturating_sub(first)
    }
}

impl Fleet {
    /// Keeps the ends of all incarnations of a name for as long as a start for one of them may be
    /// carried out, whose run is given up at `now`.
    pub(super) fn keep_ends_after(&mut self, slot: u32, run: &Run, now: u64) {
        let worker = self.get(slot);
        if worker.start_time.is_none() || !run.is_open_start() {
            return;
        }
        let id = worker.id.clone();
        let until = now + LATE_START_MS;
        let incarnations = self.incarnations.or_default(&id);
        incarnations.ends_kept_until = incarnations.ends_kept_until.max(until);
    }

    fn ends_kept_until(&self, id: &Arc<str>) -> u64 {
        let incarnations = self.incarnations.get(id);
        incarnations.map_or(0, |i| i.ends_kept_until)
    }
}

impl Scheduler {
    /// Returns whether a poll of a worker may let no end go, since a start may yet be carried out
    /// there or in a later incarnation.
    pub(crate) fn must_keep_ends(&self, slot: u32) -> bool {
        let worker = self.fleet.get(slot);
        if worker.listed_ends() > MAX_KEPT_ENDS {
            return false;
        }
        if self.now <= self.fleet.ends_kept_until(&worker.id) {
            return true;
        }
        let runs = worker.runs.iter().filter_map(|id| {
            let task = self.jobs.get(&id.job).and_then(|j| j.task(*id));
            task.and_then(|t| t.run.as_ref())
        });
        worker.start_time.is_some() && runs.into_iter().any(|r| r.is_open_start())
    }

    /// Sends the starts that waited for the end of a poll.
    pub(crate) fn send_waiting_starts(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        if worker.poll_drops_ends {
            return;
        }
        for (id, run) in std::mem::take(&mut worker.waiting_starts) {
            self.send_start(id, run);
        }
    }
}
