//! Counters and latency histograms, served as text.

use std::{
    fmt::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use gorsespur_http::Traffic;
use gorsespur_jobs::{Capacity, QueueShare, RemovedQueue, Stats};
use hdrhistogram::Histogram;

/// Significant decimal digits of histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Longest time that a histogram records, in milliseconds.
const MAX_RECORDED_MS: u64 = 120_000;

/// Counted events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Count {
    /// Jobs accepted.
    Accepted,
    /// Requests refused because the store was not available.
    Refused,
    /// Requests whose effect is unknown.
    Unclear,
    /// Requests to unknown queues.
    Missing,
    /// Cancellations accepted.
    Cancelled,
    /// Cancellations of jobs that did not exist.
    CancelledUnknown,
    /// Takeovers: times that this instance became the owner.
    Takeovers,
    /// Calls to the store that failed.
    StoreErrors,
    /// Late wake-ups of the owner's decision loop.
    LateTurns,
    /// Malformed rows.
    BadRows,
    /// Reports of workers with impossible numbers.
    BadReports,
    /// Rows that were shortened or left out because of a limit of the store, and rejected ones.
    RejectedRows,
    /// Short jobs refused because they can't meet their objective.
    RefusedShort,
    /// Best-effort jobs refused because they can't meet their objective.
    RefusedBestEffort,
    /// Long-running jobs refused because others are entitled to the capacity.
    RefusedLongRunning,
    /// Jobs accepted without knowledge of what they can expect.
    FiguresUnknown,
}

/// Names of the counters, in the order of [`Count`].
const NAMES: [&str; 16] = [
    "accepted",
    "refused",
    "unclear",
    "missing",
    "cancelled",
    "cancelled_unknown",
    "takeovers",
    "store_errors",
    "late_turns",
    "bad_rows",
    "bad_reports",
    "rejected_rows",
    "refused_short",
    "refused_best_effort",
    "refused_long_running",
    "figures_unknown",
];

/// Purposes of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Requests to the job API.
    Callers,
    /// Following the configuration.
    Config,
    /// Watching and claiming the lease.
    Lease,
    /// Reading the state after a takeover.
    Takeover,
    /// Writing the journal.
    Journal,
    /// Following accepted jobs, by the owner.
    Jobs,
    /// Following the workers' announcements, by the owner.
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
    accept_ms: Mutex<Histogram<u32>>,
    /// Statistics of this instance's current or last time as the owner.
    owner_stats: Mutex<Stats>,
    /// Shares of the queues, as of this instance's current or last time as the owner.
    queue_shares: Mutex<Vec<QueueShare>>,
    /// Removed queues with open jobs, as of the same time.
    removed_queues: Mutex<Vec<RemovedQueue>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let histogram = Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
        // The bounds are constants that the library accepts.
        let accept_ms =
            histogram.unwrap_or_else(|_| Histogram::new(SIGNIFICANT_DIGITS).expect("two digits"));
        Metrics {
            counts: Default::default(),
            traffic: Default::default(),
            accept_ms: Mutex::new(accept_ms),
            owner_stats: Mutex::default(),
            queue_shares: Mutex::default(),
            removed_queues: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Counts an event.
    pub(crate) fn count(&self, count: Count) {
        self.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counters of calls to the store under `duty`.
    pub(crate) fn traffic(&self, duty: Duty) -> &Traffic {
        &self.traffic[duty as usize]
    }

    /// Records the time that it took to accept a job, in milliseconds.
    pub(crate) fn record_accepted(&self, ms: u64) {
        self.count(Count::Accepted);
        let mut accept_ms = self
            .accept_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        accept_ms.saturating_record(ms);
    }

    /// Sets the owner's statistics.
    pub(crate) fn set_owner_stats(&self, stats: Stats) {
        *self
            .owner_stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = stats;
    }

    /// Sets the shares of the queues.
    pub(crate) fn set_queue_shares(&self, shares: Vec<QueueShare>) {
        *self
            .queue_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = shares;
    }

    /// Sets the removed queues with open jobs.
    pub(crate) fn set_removed_queues(&self, queues: Vec<RemovedQueue>) {
        *self
            .removed_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = queues;
    }

    /// Returns all metrics as text, one per line.
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
        let accept_ms = self
            .accept_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.95, 0.99, 1.0] {
            let ms = accept_ms.value_at_quantile(quantile);
            let _ = writeln!(out, "gorsespur_accept_ms{{quantile=\"{quantile}\"}} {ms}");
        }
        drop(accept_ms);
        let owner_stats = *self
            .owner_stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let rows = [
            ("open_jobs", owner_stats.open_jobs),
            ("starts", owner_stats.starts),
            ("starts_refused", owner_stats.refused),
            ("starts_rejected", owner_stats.rejected),
            ("starts_unclear", owner_stats.unanswered_starts),
            ("generations_raised", owner_stats.raised_generations),
            ("ends_held", owner_stats.held_ends),
            ("runs_done", owner_stats.done),
            ("runs_failed", owner_stats.failed),
            ("runs_stopped", owner_stats.stopped),
            ("runs_lapsed", owner_stats.lapsed),
            ("runs_lost", owner_stats.lost),
            ("jobs_given_up", owner_stats.jobs_given_up),
            ("jobs_not_stored", owner_stats.jobs_not_stored),
            ("runs_unheard", owner_stats.unverified_runs),
            ("jobs_still", owner_stats.starved_jobs),
            ("still_ms", owner_stats.longest_stall_ms),
            ("jobs_late", owner_stats.late_jobs),
            ("suspects_waiting", owner_stats.waiting_suspects),
            ("workers_apart", owner_stats.isolating_workers),
            ("tasks_running", owner_stats.running),
            ("tasks_stopping", owner_stats.stopping),
            ("runs_moved", owner_stats.moved),
            ("tasks_lent", owner_stats.lent),
            ("tasks_returned", owner_stats.returned),
            ("tasks_away", owner_stats.lent_now),
            ("longest_away_ms", owner_stats.longest_away_ms),
            ("looks", owner_stats.polls),
            ("tasks", owner_stats.tasks),
            ("passes", owner_stats.passes),
            ("ratings", owner_stats.ratings),
            ("cut", owner_stats.truncated_passes),
            ("held", owner_stats.throttled_passes),
            ("stale", owner_stats.skipped_passes),
            ("workers_age_ms", owner_stats.workers_age_ms),
            ("queues_short", owner_stats.short_queues),
            ("stranded_cpu", owner_stats.stranded_cpu),
            ("commits", owner_stats.commits),
        ];
        for (name, count) in rows {
            let _ = writeln!(out, "gorsespur_owner_{name} {count}");
        }
        let queue_shares = self
            .queue_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for share in queue_shares.iter() {
            write_share(&mut out, share);
        }
        drop(queue_shares);
        let removed_queues = self
            .removed_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for queue in removed_queues.iter() {
            write_removed(&mut out, queue);
        }
        out
    }
}

/// Writes the gauges of a removed queue with open jobs.
fn write_removed(out: &mut String, removed: &RemovedQueue) {
    let queue = &removed.queue;
    let rows = [
        ("jobs", removed.jobs),
        ("oldest_ms", removed.oldest_ms),
        ("policy_known", u64::from(removed.has_policy)),
    ];
    for (name, count) in rows {
        let _ = writeln!(
            out,
            "gorsespur_removed_queue_{name}{{queue=\"{queue}\"}} {count}"
        );
    }
}

/// Writes the gauges of one queue and kind of work.
fn write_share(out: &mut String, share: &QueueShare) {
    let labels = format!("queue=\"{}\",kind=\"{}\"", share.queue, share.kind);
    let rows = [
        ("held", share.held),
        ("waiting", share.waiting),
        ("entitled", share.entitled),
    ];
    for (name, Capacity { cpu, memory, .. }) in rows {
        let _ = writeln!(out, "gorsespur_queue_{name}_cpu{{{labels}}} {cpu}");
        let _ = writeln!(out, "gorsespur_queue_{name}_memory{{{labels}}} {memory}");
    }
    let short = u8::from(share.is_short);
    let _ = writeln!(out, "gorsespur_queue_short{{{labels}}} {short}");
}
