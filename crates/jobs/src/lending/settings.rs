//! The bounds within which long-running tasks are lent.

use snafu::{Snafu, ensure};

/// Longest time that a stop may take, in milliseconds. Objectives of short jobs are 1 to 3 s; with
/// slower stops, what waits has missed its objective before there is capacity for it.
const MAX_STOP_MS: u64 = 1000;

/// Largest share of a step that may be away, in percent. Most of a step goes on, so that what it
/// serves slows down rather than stops.
const MAX_PERCENT: u32 = 50;

/// The error for bounds that leave no gain from lending, or a task away for too long.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LendingError {
    /// The share of a step is zero or too large.
    #[snafu(display("{percent}% of a step may be away, not 1% to {MAX_PERCENT}%"))]
    Percent {
        /// The share in percent.
        percent: u32,
    },
    /// Stops take too long.
    #[snafu(display("a stop takes {stop} ms, more than {MAX_STOP_MS} ms"))]
    SlowStop {
        /// Duration of a stop in milliseconds.
        stop: u64,
    },
    /// Tasks would be away for too long, or return before their capacity is of use.
    #[snafu(display(
        "a task is away for {max_away} ms, not twice the {stop} ms of a stop to {} ms",
        Lending::MAX_AWAY_MS
    ))]
    Away {
        /// Time away in milliseconds.
        max_away: u64,
        /// Duration of a stop in milliseconds.
        stop: u64,
    },
}

/// The bounds within which long-running tasks pause for short work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lending {
    percent: u32,
    max_away: u64,
    stop: u64,
}

impl Lending {
    /// Longest time from the stop of a task until it is placed again, in milliseconds. Users count
    /// a long-running task as lost 6 s after its last run; what remains is for a worker to become
    /// free and for the start.
    pub const MAX_AWAY_MS: u64 = 3500;

    /// Returns the bounds: at most `percent` of a step are away at a time, and each task for at
    /// most `max_away` milliseconds from its stop, which takes up to `stop` milliseconds.
    pub fn new(percent: u32, max_away: u64, stop: u64) -> Result<Lending, LendingError> {
        ensure!(
            (1..=MAX_PERCENT).contains(&percent),
            PercentSnafu { percent }
        );
        ensure!(stop <= MAX_STOP_MS, SlowStopSnafu { stop });
        ensure!(
            (2 * stop..=Lending::MAX_AWAY_MS).contains(&max_away) && max_away > 0,
            AwaySnafu { max_away, stop }
        );
        Ok(Lending {
            percent,
            max_away,
            stop,
        })
    }

    /// Returns the time from a stop until the task may be placed again, in milliseconds.
    pub(super) fn max_away(&self) -> u64 {
        self.max_away
    }

    /// Returns for how long lent capacity can be used, in milliseconds.
    pub(super) fn max_use(&self) -> u64 {
        self.max_away - self.stop
    }

    /// Returns how many of a step's tasks may be away at a time. A step of several tasks may miss
    /// one, a step of one task none.
    pub(super) fn max_tasks(&self, count: u32) -> u32 {
        match count {
            0 | 1 => 0,
            _ => (count * self.percent / 100).max(1),
        }
    }
}
