//! Decides which workers get new work after failures.
//!
//! A worker that fails every run appears idle and attracts work. But one run in twenty fails by its
//! task's own fault, and with about 200 ends a second two failures in a row happen every other
//! second by chance. A quarantine for these would keep 5 to 8 of 66 workers closed. So a few more
//! runs are placed first, no more than a faulty worker may waste; there they fail within a fraction
//! of their time.

use crate::{runs::worker::Worker, scheduler::Scheduler};

/// Failures in a row after which a worker is quarantined. If one run in twenty fails, one in 8,000
/// is the third failure by chance.
const QUARANTINE_FAILURES: u32 = 3;

/// Runs placed on a worker on probation until one succeeds: about as many as a worker has at a
/// time.
const MAX_PROBES: u32 = 6;

/// Time after which a worker on probation gets another run if the last ones were inconclusive, in
/// milliseconds: a run may be stopped, or neither end nor fail.
const PROBE_RETRY_MS: u64 = 2000;

/// Weight of the newest run in a worker's slowness, as one in this many.
const SLOWNESS_WEIGHT: u64 = 4;

impl Worker {
    /// Records that a run succeeded here.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.probes = 0;
    }

    /// Records that a run was placed here.
    pub(crate) fn record_probe(&mut self, now: u64) {
        self.probes += 1;
        self.probed_at = now;
    }

    /// Returns whether the last runs failed and enough further ones were placed to find out why.
    pub(crate) fn is_on_probation(&self, now: u64) -> bool {
        let recent = now < self.probed_at + PROBE_RETRY_MS;
        self.failures > 0 && recent && self.probes >= MAX_PROBES
    }

    /// Records that a run failed or hung here; `limits` are the first and the longest quarantine in
    /// milliseconds.
    pub(crate) fn record_failure(&mut self, now: u64, limits: (u64, u64)) {
        self.failures += 1;
        self.failed_at = now;
        self.probes = 0;
        if self.failures < QUARANTINE_FAILURES {
            return;
        }
        let doublings = (self.failures - QUARANTINE_FAILURES).min(4);
        let pause = (limits.0 << doublings).min(limits.1);
        self.closed_until = self.closed_until.max(now + pause);
        log::warn!(worker = &*self.id, failures = self.failures, pause_ms = pause; "worker: gets no work");
    }

    /// Records the duration of a run as a percentage of its estimate.
    pub(crate) fn record_duration(&mut self, percent: u64) {
        let old = self.slowness * (SLOWNESS_WEIGHT - 1);
        self.slowness = (old + percent.min(1000)) / SLOWNESS_WEIGHT;
    }
}

impl Scheduler {
    /// Records that a run failed or hung on a worker, or that the worker refused it.
    pub(crate) fn record_worker_failure(&mut self, slot: u32) {
        let limits = (self.settings.quarantine, self.settings.max_quarantine);
        self.fleet.get_mut(slot).record_failure(self.now, limits);
    }
}
