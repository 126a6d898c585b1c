//! Decides when a worker is polled, and how long a poll waits for the end of a run.

use crate::{runs::worker::Worker, settings::Settings};

/// How long a poll of an idle worker waits, in milliseconds; the longest wait of any poll.
pub(crate) const IDLE_POLL_WAIT_MS: u64 = 2000;

/// A poll that was answered later than this was read late, in milliseconds, and the worker's clock
/// has moved on: leases that count from its reading are short. So the next poll does not wait for
/// an end, and the one after it renews the leases in full. Without either of these, up to 283 of
/// 800 runs lapse when an owner stalls for 4 s and its successor reads the jobs from a slow store.
const LATE_ANSWER_MS: u64 = IDLE_POLL_WAIT_MS + 500;

/// A lease that a poll would extend by more than this is renewed without delay, in milliseconds.
/// Polls a second apart extend it by a second.
const URGENT_LEASE_GAIN_MS: u64 = 1500;

/// Delay between polls of a worker that keeps its ends, in milliseconds. Such a poll can't wait for
/// the next end.
const KEPT_ENDS_DELAY_MS: u64 = 100;

impl Worker {
    /// Returns the number up to which all ends are counted, and none is held.
    pub(crate) fn settled_end(&self) -> u64 {
        let first_held = self.held_ends.first();
        first_held.map_or(self.counted_end, |e| e.number - 1)
    }

    /// Returns whether the worker reported ends that it may not drop yet, so that it reports them
    /// again.
    pub(crate) fn has_pending_ends(&self) -> bool {
        self.counted_end > self.durable_end
    }

    /// Returns up to which number a poll that is sent now lets the worker drop its ends, or 0 for
    /// none.
    ///
    /// Another incarnation that reads the poll would drop ends of its own that nobody has read. So
    /// a poll names no end where that may happen, and none that the worker has dropped already.
    /// Ends that are kept are reported again.
    pub(crate) fn droppable_end(&self) -> u64 {
        let is_uncertain = self.silent_since.is_some() || self.contested;
        let are_kept = self.first_end.is_some_and(|e| e <= self.durable_end);
        match are_kept && !is_uncertain {
            true => self.durable_end,
            false => 0,
        }
    }

    /// Returns when the worker is to be polled; `deadline` is the lease that the poll would grant.
    /// Where the poll would let no end go although there are some, the worker answers at once.
    pub(crate) fn poll_due(
        &self,
        deadline: Option<u64>,
        keeps_ends: bool,
        settings: &Settings,
    ) -> u64 {
        let gained = deadline.unwrap_or(0).saturating_sub(self.granted_until);
        let delay = match (self.has_pending_ends(), keeps_ends) {
            _ if gained > URGENT_LEASE_GAIN_MS => 0,
            (true, _) => settings.repoll_delay,
            (false, true) => KEPT_ENDS_DELAY_MS,
            (false, false) => 0,
        };
        self.next_poll_at.max(self.polled_at + delay)
    }

    /// Returns how long a poll that is sent now waits for an end, in milliseconds. One that lets
    /// ends go up to `observed` does not wait, since starts wait for its answer.
    pub(crate) fn poll_wait(&self, observed: u64, settings: &Settings) -> u64 {
        let Some((_, at)) = self.clock else {
            return 0;
        };
        let was_late = at.saturating_sub(self.polled_at) > LATE_ANSWER_MS;
        // The report settles which of the orders that were fenced off have been carried out.
        let is_fencing = self.answered_generation < self.generation;
        let is_uncertain = self.silent_since.is_some() || self.contested || is_fencing;
        let delays_starts = observed > 0 && self.start_time.is_some();
        if was_late || delays_starts || self.has_pending_ends() || is_uncertain {
            return 0;
        }
        if self.runs.is_empty() {
            return IDLE_POLL_WAIT_MS;
        }
        settings.poll_wait.min(self.stall_due.unwrap_or(u64::MAX))
    }
}
