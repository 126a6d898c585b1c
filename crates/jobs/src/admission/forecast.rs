//! The expected wait of a new job, and whether to refuse it.
//!
//! The load patterns are a burst at twice the capacity, and capacity that shrinks under a load
//! that does not. A job that is accepted although its tasks start too late fails late, after it
//! took capacity from others; its caller could have known at once.
//!
//! Limits: a burst is known once its jobs have arrived, and figures are up to a second old when
//! they decide.

use crate::{admission::WaitForecast, order::urgency::RUN_TIME_PERCENT};

/// Share of the slack above which a queue closes, in percent: beyond it a new job is late unless
/// it goes before others that then are.
const CLOSE_PERCENT: u64 = 100;

/// Share of the slack below which a queue opens again, in percent. Hysteresis keeps the queue from
/// closing at each group of jobs; opening later than this leaves capacity without work while the
/// figures travel.
const OPEN_PERCENT: u64 = 75;

/// Shortest time after which a refused caller should come back, in milliseconds: Retry-After is
/// in whole seconds.
const MIN_RETRY_MS: u64 = 1000;

/// The objective of a typical job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Objective {
    /// Time that the job takes without waits, in milliseconds.
    pub(crate) path: u64,
    /// Time within which the job has to be done, in milliseconds.
    pub(crate) limit: u64,
}

impl Objective {
    /// Returns the longest wait with which the objective is met, in milliseconds.
    fn slack(&self) -> u64 {
        self.limit
            .saturating_sub(self.path * RUN_TIME_PERCENT / 100)
    }
}

/// What a new job of a queue meets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outlook {
    /// Work ahead, in thousandths of a core times milliseconds.
    pub(crate) backlog: u64,
    /// Pace at which work is taken up, in thousandths of a core; `None` if it isn't known.
    pub(crate) pace: Option<u64>,
    /// Whether free capacity fits a typical task.
    pub(crate) fits: bool,
    /// The objective of a typical job; `None` if there is none or no job was seen.
    pub(crate) objective: Option<Objective>,
}

/// Returns the forecast for a queue that was closed before or not.
pub(crate) fn forecast(was_closed: bool, outlook: &Outlook) -> WaitForecast {
    let (Some(pace), Some(objective)) = (outlook.pace, outlook.objective) else {
        return WaitForecast {
            retry_after: MIN_RETRY_MS,
            ..WaitForecast::default()
        };
    };
    let slack = objective.slack();
    let wait = match outlook.fits {
        true => 0,
        false => outlook.backlog / pace.max(1),
    };
    let percent = if was_closed {
        OPEN_PERCENT
    } else {
        CLOSE_PERCENT
    };
    let closed = wait > slack * percent / 100;
    // A caller that waits for longer than its objective has no use for the job any more.
    let latest = objective.limit.max(MIN_RETRY_MS);
    WaitForecast {
        wait,
        slack,
        retry_after: wait.clamp(MIN_RETRY_MS, latest),
        closed,
    }
}

#[cfg(test)]
mod tests {
    use super::{Objective, Outlook, forecast};
    use test_case::test_case;

    /// Jobs of two seconds that may take 3,350 ms: they may wait for 1,250 ms.
    const OBJECTIVE: Objective = Objective {
        path: 2000,
        limit: 3350,
    };

    fn outlook(backlog: u64) -> Outlook {
        Outlook {
            backlog,
            pace: Some(1000),
            fits: false,
            objective: Some(OBJECTIVE),
        }
    }

    /// Work for so many milliseconds waits. A backlog above the slack closes the queue, and it
    /// stays closed until three quarters are left.
    #[test_case(false, 0 => false)]
    #[test_case(false, 1200 => false)]
    #[test_case(false, 1300 => true; "closes")]
    #[test_case(true, 1300 => true)]
    #[test_case(true, 1000 => true; "stays closed")]
    #[test_case(true, 900 => false; "opens")]
    fn a_backlog_closes_a_queue(was_closed: bool, wait_ms: u64) -> bool {
        let forecast = forecast(was_closed, &outlook(wait_ms * 1000));
        assert_eq!((forecast.wait, forecast.slack), (wait_ms, 1250));
        forecast.closed
    }

    /// Whatever waits, a queue is open where its jobs fit, or where too little is known.
    #[test_case(Outlook { fits: true, ..outlook(u64::MAX) }; "free capacity")]
    #[test_case(Outlook { pace: None, ..outlook(u64::MAX) }; "takeover")]
    #[test_case(Outlook { objective: None, ..outlook(u64::MAX) }; "no objective")]
    #[test_case(Outlook { pace: Some(0), ..outlook(0) }; "nothing waits and nothing runs")]
    fn a_queue_stays_open(outlook: Outlook) {
        assert!(!forecast(false, &outlook).closed);
        assert!(!forecast(true, &outlook).closed);
    }

    /// Long-running tasks have taken all capacity, and nothing is taken up.
    #[test]
    fn a_queue_without_pace_closes() {
        let outlook = Outlook {
            pace: Some(0),
            ..outlook(1_000_000)
        };
        assert!(forecast(false, &outlook).closed);
    }

    /// The time to come back is that of the backlog, a second at least, and no longer than the
    /// caller has use for the job.
    #[test_case(0 => 1000)]
    #[test_case(700 => 1000)]
    #[test_case(2500 => 2500)]
    #[test_case(60_000 => 3350)]
    fn callers_come_back_when_the_backlog_is_gone(wait_ms: u64) -> u64 {
        forecast(false, &outlook(wait_ms * 1000)).retry_after
    }
}
