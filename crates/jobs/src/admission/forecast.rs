//! The expected wait of a new job, and whether to refuse it.
//!
//! The load patterns are a burst at twice the capacity, and capacity that shrinks under a load
//! that does not. A job that is accepted although its tasks start too late fails late, after it
//! took capacity from others; its caller could have known at once. Which jobs these are depends on
//! their places in the order of placement, so that those are refused which would not have started
//! in time, and no others.
//!
//! Limits: a burst is known once its jobs have arrived, and figures are up to a second old when
//! they decide.

use crate::{
    admission::{WaitForecast, boundary::Competition},
    order::urgency::{ORDER_SHARES, RUN_TIME_PERCENT},
};

/// Share of the slack that new jobs have to wait before the first one is refused, in percent:
/// beyond the whole slack some of them are late, and groups of jobs often wait for a part of it.
const CLOSE_PERCENT: u64 = 100;

/// Time for which free capacity must fit a typical task before all jobs are admitted again, in
/// milliseconds. In a burst capacity is free for moments, until figures from before it have
/// reached all instances.
const OPEN_AFTER_MS: u64 = 1000;

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
#[derive(Debug, Default)]
pub(crate) struct Outlook {
    /// The work that competes for capacity; `None` if the pace at which it is taken up isn't known.
    pub(crate) competition: Option<Competition>,
    /// For how long free capacity has fitted a typical task, in milliseconds; `None` if it doesn't.
    pub(crate) fits_for: Option<u64>,
    /// The objective of a typical job; `None` if there is none or no job was seen.
    pub(crate) objective: Option<Objective>,
}

/// Returns the forecast for a queue that refused some jobs before or not.
pub(crate) fn forecast(was_refusing: bool, outlook: &Outlook) -> WaitForecast {
    let (Some(competition), Some(objective)) = (&outlook.competition, outlook.objective) else {
        return WaitForecast {
            retry_after: MIN_RETRY_MS,
            ..WaitForecast::default()
        };
    };
    let slack = objective.slack();
    let wait = match outlook.fits_for {
        Some(_) => 0,
        None => competition.backlog() / competition.pace.max(1),
    };
    let is_refusing = match (was_refusing, outlook.fits_for) {
        (true, Some(ms)) => ms < OPEN_AFTER_MS,
        (true, None) => true,
        (false, _) => wait > slack * CLOSE_PERCENT / 100,
    };
    let refused = match is_refusing {
        true => ORDER_SHARES - competition.admitted_share(slack),
        false => 0,
    };
    // A caller that waits for longer than its objective has no use for the job any more.
    let latest = objective.limit.max(MIN_RETRY_MS);
    WaitForecast {
        wait,
        slack,
        retry_after: wait.clamp(MIN_RETRY_MS, latest),
        refused,
    }
}

#[cfg(test)]
mod tests {
    use super::{Objective, Outlook, forecast};
    use crate::{
        admission::boundary::{Competition, Waiting},
        order::urgency::ORDER_SHARES,
    };
    use test_case::test_case;

    /// Jobs of two seconds that may take 3,350 ms: they may wait for 1,250 ms.
    const OBJECTIVE: Objective = Objective {
        path: 2000,
        limit: 3350,
    };

    /// Returns what a job meets where so much work waits that comes last in the order.
    fn outlook(backlog: u64) -> Outlook {
        Outlook {
            competition: Some(Competition {
                waiting: vec![Waiting {
                    order: 800,
                    work: backlog,
                }],
                pace: 1000,
                ..Competition::default()
            }),
            fits_for: None,
            objective: Some(OBJECTIVE),
        }
    }

    /// Work for so many milliseconds waits. A backlog above the slack begins refusals, of what goes
    /// after it; they end where what waits can start in time.
    #[test_case(false, 0 => 0)]
    #[test_case(false, 1200 => 0)]
    #[test_case(false, 2000 => 200; "begins")]
    #[test_case(true, 2000 => 200; "goes on")]
    #[test_case(true, 1200 => 0; "ends")]
    fn a_backlog_refuses_a_part_of_the_order(was_refusing: bool, wait_ms: u64) -> u32 {
        let forecast = forecast(was_refusing, &outlook(wait_ms * 1000));
        assert_eq!((forecast.wait, forecast.slack), (wait_ms, 1250));
        forecast.refused
    }

    /// Whatever waits, all jobs are accepted where they fit, or where too little is known.
    #[test_case(false, Outlook { fits_for: Some(0), ..outlook(1 << 40) }; "free capacity")]
    #[test_case(true, Outlook { fits_for: Some(1000), ..outlook(1 << 40) }; "free capacity for a while")]
    #[test_case(true, Outlook { competition: None, ..outlook(1 << 40) }; "takeover")]
    #[test_case(true, Outlook { objective: None, ..outlook(1 << 40) }; "no objective")]
    #[test_case(true, outlook(0); "nothing waits")]
    fn all_jobs_are_accepted(was_refusing: bool, outlook: Outlook) {
        assert_eq!(forecast(false, &outlook).refused, 0);
        assert_eq!(forecast(was_refusing, &outlook).refused, 0);
    }

    /// Long-running tasks have taken all capacity, and nothing is taken up.
    #[test]
    fn all_jobs_are_refused_without_pace() {
        let mut outlook = outlook(1_000_000);
        outlook.competition = Some(Competition {
            ahead: 1_000_000,
            ..Competition::default()
        });
        assert_eq!(forecast(false, &outlook).refused, ORDER_SHARES);
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
