//! Limits and durations that the scheduler works with.

use crate::lending::settings::Lending;

/// Limits and durations. Durations are milliseconds on a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Length of a lease on the runs of a worker. A takeover has to fit into a lease, and
    /// the tasks of a worker that vanished can't be placed again for as long.
    pub lease: u64,
    /// Longest time after the owner's last contact with the store for which a lease on the
    /// runs of a worker is granted. A successor that can't poll a worker waits for as long.
    /// Runs outlast a store outage for three seconds less because of the polls in flight.
    pub store_grace: u64,
    /// Longest lease that a worker accepts, whatever the order says. An order that was meant
    /// for an earlier incarnation asks for too much because that incarnation's clock was ahead.
    pub max_lease: u64,
    /// How long a worker may hold a poll while it waits for a run to end.
    pub poll_wait: u64,
    /// Delay between polls while reported ends are not durable yet.
    pub repoll_delay: u64,
    /// A poll fails without an answer within this time, beyond the time that the worker may
    /// hold it.
    pub poll_timeout: u64,
    /// A run without progress for this long counts as stalled.
    pub stall_limit: u64,
    /// First quarantine of a worker on which every run fails.
    pub quarantine: u64,
    /// Longest quarantine.
    pub max_quarantine: u64,
    /// Nothing is placed while the last complete read of the workers' announcements is older
    /// than this, since a worker may be about to leave.
    pub max_staleness: u64,
    /// Maximum number of records and policies in one commit, which also carries rows of the log:
    /// a transaction of the store holds 100 entries.
    pub batch_records: usize,
    /// Number of rows of the log above which the oldest ones are deleted.
    pub log_rows: usize,
    /// Largest value of a row that the store accepts, in bytes.
    pub row_bytes: usize,
    /// The bounds within which long-running tasks pause for short work; `None` if they never do.
    pub lending: Option<Lending>,
}

/// Lowest rate of a worker's clock relative to the local one.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Margin on a computed end of a lease: clock readings are rounded to milliseconds and
/// timers fire late.
const LEASE_MARGIN_MS: u64 = 60;

/// Returns the least time in milliseconds by which a worker's clock advances while the local
/// clock advances by `ms` milliseconds.
pub(crate) fn min_clock_advance(ms: u64) -> u64 {
    ms * MIN_CLOCK_RATE_PERCENT / 100
}

/// Returns the longest time in milliseconds on the local clock for which a lease of `ms`
/// milliseconds on a worker's clock may last.
pub fn lease_upper_bound(ms: u64) -> u64 {
    ms * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_MARGIN_MS
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            // A long-running task may be away for at most 10 s after the last fault. With the
            // slowest clock, renewals and a restart, this value makes 9.5 s. Tasks on a worker
            // that could not be polled exceeded the limit when they were away for 14.5 s.
            store_grace: 8500,
            max_lease: 10_000,
            poll_wait: 1000,
            repoll_delay: 700,
            poll_timeout: 900,
            stall_limit: 1300,
            quarantine: 2000,
            max_quarantine: 4000,
            // The last start may reach a worker at most 3 s after it announced to leave, and a
            // start is given up after 0.7 s.
            max_staleness: 2000,
            batch_records: 75,
            // A page of the store holds this many rows.
            log_rows: 400,
            row_bytes: 65_536,
            lending: None,
        }
    }
}
