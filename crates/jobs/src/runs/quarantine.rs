//! Which workers get new work after failures.
//!
//! A worker that fails all it starts looks idle and draws work. But one run in twenty
//! fails by its task's own fault, and with some 200 ends a second two in a row come every
//! other second by chance: closing a worker for these kept 5 to 8 of 66 closed. So a few
//! more runs are tried first, not more than a worker at fault may waste; they fail within
//! a fraction of their time.

use crate::{machine::Machine, runs::worker::Worker};

/// Failures in a row after which a worker gets no work for a while: by chance one run in
/// 8,000 is the third if one in twenty fails.
const QUARANTINE_FAILURES: u32 = 3;

/// Runs that a worker is tried with after a failure, until one does well: about as many
/// as a worker has at a time.
const MAX_PROBES: u32 = 6;

/// Another try follows after this long, in milliseconds, if the last ones told
/// nothing: a run may be stopped, or neither end nor fail.
const PROBE_RETRY_MS: u64 = 2000;

/// Weight of the newest run in a worker's slowness, as one in so many.
const SLOWNESS_WEIGHT: u64 = 4;

impl Worker {
    /// Takes note that a run did its work here.
    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.probes = 0;
    }

    /// Takes note that a run is placed here.
    pub(crate) fn note_probe(&mut self, now: u64) {
        self.probes += 1;
        self.probed_at = now;
    }

    /// Tells whether its last runs failed and enough others are to show why.
    pub(crate) fn is_on_probation(&self, now: u64) -> bool {
        let recent = now < self.probed_at + PROBE_RETRY_MS;
        self.failures > 0 && recent && self.probes >= MAX_PROBES
    }

    /// Takes note that a run failed or hung here; `limits` are the first and the
    /// longest time without new work.
    pub(crate) fn note_failure(&mut self, now: u64, limits: (u64, u64)) {
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

    /// Takes note of a run's time against its estimate, in percent.
    pub(crate) fn note_duration(&mut self, percent: u64) {
        let old = self.slowness * (SLOWNESS_WEIGHT - 1);
        self.slowness = (old + percent.min(1000)) / SLOWNESS_WEIGHT;
    }
}

impl Machine {
    /// Takes note that a run failed or hung on a worker, or was refused by it.
    pub(crate) fn note_worker_failure(&mut self, slot: u32) {
        let limits = (self.settings.quarantine, self.settings.max_quarantine);
        self.fleet.get_mut(slot).note_failure(self.now, limits);
    }
}
