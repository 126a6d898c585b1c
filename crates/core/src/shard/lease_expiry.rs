//! Detection of silent workers and expiry of their leases.

use super::{AttemptId, End, Health, ShardScheduler};
use crate::Millis;

/// A lease is presumed longer by one part in this many, since clock rates differ.
const CLOCK_DRIFT_DIVISOR: Millis = 100;

impl ShardScheduler {
    /// Marks silent workers and ends the attempts on them whose leases have lapsed.
    pub(super) fn check_workers(&mut self, now: Millis) {
        for i in 0..self.workers.len() {
            let w = &mut self.workers[i];
            let is_silent = now.saturating_sub(w.answered_at) > self.settings.silent_after;
            if w.health == Health::Good && is_silent {
                w.health = Health::Silent;
                self.targets_version += 1;
            }
            if w.health != Health::Good && is_silent {
                self.end_replicas(now, i);
                self.end_lapsed(now, i);
            }
            self.end_unsent(now, i);
        }
    }

    /// Ends the replicas on a silent worker without waiting for their leases, since a replica may
    /// run twice.
    fn end_replicas(&mut self, now: Millis, i: usize) {
        let ids = self.attempts_on(i, true);
        for id in ids {
            self.end_attempt(now, i, id, End::Lost);
        }
    }

    /// Ends the other attempts once every lease that any owner may have renewed has lapsed.
    fn end_lapsed(&mut self, now: Millis, i: usize) {
        let lease = self.settings.lease;
        let lease_end = self.workers[i].lease_start
            + lease
            + lease / CLOCK_DRIFT_DIVISOR
            + self.settings.lease_margin;
        if now <= lease_end {
            return;
        }
        let ids = self.attempts_on(i, false);
        for id in ids {
            self.end_attempt(now, i, id, End::Lost);
        }
    }

    fn attempts_on(&self, i: usize, service: bool) -> Vec<AttemptId> {
        let mut ids = Vec::new();
        for r in &self.workers[i].allocations {
            if r.service == service {
                ids.push(r.attempt);
            }
        }
        ids
    }
}
