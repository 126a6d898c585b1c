//! Counters and latency histograms, served as text.

use std::{
    fmt::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use gorsespur_http::Traffic;
use gorsespur_jobs::Stats;
use hdrhistogram::Histogram;

/// Digits that histograms keep.
const DIGITS: u8 = 2;

/// Longest time a histogram tells apart, in milliseconds.
const LONGEST: u64 = 120_000;

/// Events that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Count {
    /// Jobs accepted.
    Accepted,
    /// Jobs refused since the store did not take them.
    Refused,
    /// Requests whose effect could not be told to their caller.
    Unclear,
    /// Requests for which there is no queue or job.
    Missing,
    /// Cancellations taken.
    Cancelled,
    /// Times this instance became the owner.
    Takeovers,
    /// Calls to the store that failed.
    StoreErrors,
    /// Wake-ups of the owner that came late.
    LateTurns,
    /// Rows that could not be read.
    BadRows,
}

/// Names of the counters, in the order of [`Count`].
const NAMES: [&str; 9] = [
    "accepted",
    "refused",
    "unclear",
    "missing",
    "cancelled",
    "takeovers",
    "store_errors",
    "late_turns",
    "bad_rows",
];

/// What calls to the store are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Requests of callers.
    Callers,
    /// Following the configuration.
    Config,
    /// Watching and claiming the lease.
    Lease,
    /// Reading all jobs after a takeover.
    Takeover,
    /// The owner's writes.
    Journal,
    /// The owner follows accepted jobs.
    Jobs,
    /// The owner follows the workers' announcements.
    Workers,
    /// Announcing and counting instances.
    Census,
}

/// Names of the duties, in the order of [`Duty`].
const DUTIES: [&str; 8] = [
    "callers", "config", "lease", "takeover", "journal", "jobs", "workers", "census",
];

/// Counters and histograms of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    counts: [AtomicU64; NAMES.len()],
    /// Calls to the store, by duty.
    traffic: [Traffic; DUTIES.len()],
    accept: Mutex<Histogram<u32>>,
    /// What the owner counted; of its last time as the owner.
    decided: Mutex<Stats>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let histogram = Histogram::new_with_max(LONGEST, DIGITS);
        // The bounds are constants that the library takes.
        let accept = histogram.unwrap_or_else(|_| Histogram::new(DIGITS).expect("two digits"));
        Metrics {
            counts: Default::default(),
            traffic: Default::default(),
            accept: Mutex::new(accept),
            decided: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Counts an event.
    pub(crate) fn count(&self, count: Count) {
        self.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns where calls of a duty to the store are counted.
    pub(crate) fn traffic(&self, duty: Duty) -> &Traffic {
        &self.traffic[duty as usize]
    }

    /// Records how long it took to accept a job, in milliseconds.
    pub(crate) fn accepted(&self, ms: u64) {
        self.count(Count::Accepted);
        let mut accept = self.accept.lock().unwrap_or_else(PoisonError::into_inner);
        accept.saturating_record(ms);
    }

    /// Takes over what the owner has counted.
    pub(crate) fn decided(&self, figures: Stats) {
        *self.decided.lock().unwrap_or_else(PoisonError::into_inner) = figures;
    }

    /// Returns all as text, one figure a line.
    pub(crate) fn text(&self) -> String {
        let mut out = String::new();
        for (name, count) in NAMES.iter().zip(&self.counts) {
            let _ = writeln!(out, "gorsespur_{name} {}", count.load(Ordering::Relaxed));
        }
        for (duty, traffic) in DUTIES.iter().zip(&self.traffic) {
            let usage = traffic.usage();
            let rows = [
                ("calls", usage.calls),
                ("sent_bytes", usage.sent),
                ("received_bytes", usage.received),
            ];
            for (name, count) in rows {
                let _ = writeln!(out, "gorsespur_store_{name}{{duty=\"{duty}\"}} {count}");
            }
        }
        let accept = self.accept.lock().unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.95, 0.99, 1.0] {
            let ms = accept.value_at_quantile(quantile);
            let _ = writeln!(out, "gorsespur_accept_ms{{quantile=\"{quantile}\"}} {ms}");
        }
        drop(accept);
        let decided = *self.decided.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = [
            ("open_jobs", decided.open_jobs),
            ("starts", decided.starts),
            ("starts_refused", decided.refused),
            ("starts_rejected", decided.rejected),
            ("starts_unclear", decided.unanswered_starts),
            ("runs_done", decided.done),
            ("runs_failed", decided.failed),
            ("runs_stopped", decided.stopped),
            ("runs_lapsed", decided.lapsed),
            ("runs_lost", decided.lost),
            ("jobs_given_up", decided.jobs_given_up),
            ("runs_unheard", decided.unverified_runs),
            ("jobs_still", decided.starved_jobs),
            ("tasks_running", decided.running),
            ("looks", decided.polls),
            ("tasks", decided.tasks),
            ("passes", decided.passes),
            ("ratings", decided.ratings),
            ("cut", decided.truncated_passes),
            ("held", decided.throttled_passes),
            ("stale", decided.skipped_passes),
            ("workers_age_ms", decided.workers_age_ms),
            ("commits", decided.commits),
        ];
        for (name, count) in rows {
            let _ = writeln!(out, "gorsespur_owner_{name} {count}");
        }
        out
    }
}
