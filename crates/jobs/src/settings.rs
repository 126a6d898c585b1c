//! Limits and times of the decisions.

/// Limits and times, all in milliseconds of a steady clock unless said otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Length of a lease on what a worker runs. A takeover has to fit in, a
    /// worker that vanished holds its tasks for as long.
    pub lease: u64,
    /// No lease on what a worker runs reaches further than this beyond the owner's last
    /// contact with the store. A successor that can't ask a worker waits for as long; work
    /// outlasts a silent store for three seconds less, by the looks that are under way.
    pub store_grace: u64,
    /// Longest lease that a worker grants, whatever it is asked for. An order that was meant
    /// for an earlier life of a worker asks for too much, since that one's clock was ahead.
    pub max_lease: u64,
    /// How long a look waits at a worker for an end.
    pub poll_wait: u64,
    /// Between looks while ends wait to become durable.
    pub repoll_delay: u64,
    /// A look without an answer for this long, beyond its wait, has failed.
    pub poll_timeout: u64,
    /// A run whose progress stands still for this long hangs.
    pub stall_limit: u64,
    /// First time that a worker which fails everything gets no work.
    pub quarantine: u64,
    /// Longest such time.
    pub max_quarantine: u64,
    /// Nothing is placed while the workers' announcements are known less recently than
    /// this: one of them may leave.
    pub max_staleness: u64,
    /// Records that one commit carries beside rows of the log; a transaction holds 100 entries.
    pub batch_records: usize,
    /// Rows of the log beyond which its oldest ones are dropped.
    pub log_rows: usize,
}

/// Slowest rate of a worker's clock against ours, in percent.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Added to a computed end of a lease: a reading is in whole milliseconds and
/// timers are late.
const LEASE_MARGIN_MS: u64 = 60;

/// Returns how much a worker's clock goes on at least while ours goes on by `ms`, both in
/// milliseconds.
pub(crate) fn min_clock_advance(ms: u64) -> u64 {
    ms * MIN_CLOCK_RATE_PERCENT / 100
}

/// Returns how long a lease may last by our clock that lasts `ms` by a worker's, both in
/// milliseconds.
pub fn lease_upper_bound(ms: u64) -> u64 {
    ms * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_MARGIN_MS
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            // The users allow a lasting task to be away for 10 s after the last trouble. With
            // the slowest clock, renewals and a restart this makes 9.5 s. Two tasks were lost
            // that were away for 14.5 s, since their worker could not be asked.
            store_grace: 8500,
            max_lease: 10_000,
            poll_wait: 1000,
            repoll_delay: 700,
            poll_timeout: 900,
            stall_limit: 1300,
            quarantine: 2000,
            max_quarantine: 4000,
            // The users allow 3 s from the announcement to the last start; a start is given
            // up after 0.7 s.
            max_staleness: 2000,
            batch_records: 75,
            // One page of the users' store holds them.
            log_rows: 400,
        }
    }
}
