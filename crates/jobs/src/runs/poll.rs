//! When a worker is looked at, and how long a look waits for an end.

use crate::{runs::worker::Worker, settings::Settings};

/// How long an idle worker's look waits, in milliseconds; the longest it takes.
pub(crate) const IDLE_POLL_WAIT_MS: u64 = 2000;

/// An answer to a look that took longer lay unread, in milliseconds, and the worker's clock
/// has gone on: leases that count from its reading are short. So the next look does not wait
/// for an end, and the one after it renews them whole. Without both, up to 283 of 800 runs
/// lapsed where an owner stood still for 4 s and its successor read the jobs from a slow store
/// (the day earned 0.70 of its worth, 0.74 with both, ten plays each).
const LATE_ANSWER_MS: u64 = IDLE_POLL_WAIT_MS + 500;

/// A lease that a look would prolong by more than this is renewed without a pause, in
/// milliseconds: looks a second apart prolong it by a second.
const URGENT_LEASE_GAIN_MS: u64 = 1500;

impl Worker {
    /// Tells whether ends that it listed are not durable yet, so that it lists them again.
    pub(crate) fn has_pending_ends(&self) -> bool {
        self.counted_end > self.durable_end
    }

    /// Returns up to which end a look that is sent now lets it drop them; 0 if it has dropped
    /// them already.
    ///
    /// Where another life reads the look it drops ends of its own that nobody has read. So it
    /// tells of none where that may be, nor of any twice: ends that are kept are listed again.
    pub(crate) fn droppable_end(&self) -> u64 {
        let is_uncertain = self.silent_since.is_some() || self.contested;
        let are_kept = self.first_end.is_some_and(|e| e <= self.durable_end);
        match are_kept && !is_uncertain {
            true => self.durable_end,
            false => 0,
        }
    }

    /// Returns when it is to be looked at; `deadline` is the lease that this would grant.
    pub(crate) fn poll_due(&self, deadline: Option<u64>, settings: &Settings) -> u64 {
        let gained = deadline.unwrap_or(0).saturating_sub(self.granted_until);
        if self.has_pending_ends() && gained <= URGENT_LEASE_GAIN_MS {
            self.next_poll_at
                .max(self.polled_at + settings.repoll_delay)
        } else {
            self.next_poll_at
        }
    }

    /// Returns how long a look that is sent now waits for an end, in milliseconds.
    pub(crate) fn poll_wait(&self, settings: &Settings) -> u64 {
        let Some((_, at)) = self.clock else {
            return 0;
        };
        let was_late = at.saturating_sub(self.polled_at) > LATE_ANSWER_MS;
        if was_late || self.has_pending_ends() || self.silent_since.is_some() || self.contested {
            return 0;
        }
        if self.runs.is_empty() {
            return IDLE_POLL_WAIT_MS;
        }
        settings.poll_wait.min(self.stall_due.unwrap_or(u64::MAX))
    }
}
