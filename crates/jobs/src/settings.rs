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
    pub reach: u64,
    /// Longest lease that a worker grants, whatever it is asked for. An order that was meant
    /// for an earlier life of a worker asks for too much, since that one's clock was ahead.
    pub longest: u64,
    /// How long a look waits at a worker for an end.
    pub wait: u64,
    /// Between looks while ends wait to become durable.
    pub recheck: u64,
    /// A look without an answer for this long, beyond its wait, has failed.
    pub answer: u64,
    /// A run whose progress stands still for this long hangs.
    pub stall: u64,
    /// First time that a worker which fails everything gets no work.
    pub quarantine: u64,
    /// Longest such time.
    pub exile: u64,
    /// Nothing is placed while the workers' announcements are known less recently than
    /// this: one of them may leave.
    pub stale: u64,
    /// Records that one commit carries beside rows of the log; a transaction holds 100 entries.
    pub batch: usize,
    /// Rows of the log beyond which its oldest ones are dropped.
    pub log_rows: usize,
}

/// Slowest rate of a worker's clock against ours, in percent.
const CLOCK_RATE: u64 = 98;

/// Added to a computed end of a lease: a reading is in whole milliseconds and
/// timers are late.
const LEASE_MARGIN: u64 = 60;

/// Returns how much a worker's clock goes on at least while ours goes on by `ms`, both in
/// milliseconds.
pub(crate) fn slowest_clock(ms: u64) -> u64 {
    ms * CLOCK_RATE / 100
}

/// Returns how long a lease may last by our clock that lasts `ms` by a worker's, both in
/// milliseconds.
pub fn longest_lease(ms: u64) -> u64 {
    ms * 100 / CLOCK_RATE + LEASE_MARGIN
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            // The users allow a lasting task to be away for 10 s after the last trouble. With
            // the slowest clock, renewals and a restart this makes 9.5 s. Two tasks were lost
            // that were away for 14.5 s, since their worker could not be asked.
            reach: 8500,
            longest: 10_000,
            wait: 1000,
            recheck: 700,
            answer: 900,
            stall: 1300,
            quarantine: 2000,
            exile: 4000,
            // The users allow 3 s from the announcement to the last start; a start is given
            // up after 0.7 s.
            stale: 2000,
            batch: 75,
            // One page of the users' store holds them.
            log_rows: 400,
        }
    }
}
