//! The share of the order of placement whose jobs can start in time.
//!
//! Jobs that have not started are placed by an order that depends on their ids alone, so that in a
//! burst those before some place in it are on time and those behind it are late, whenever they
//! arrive. New jobs behind it can be refused at no loss.

use crate::order::urgency::ORDER_SHARES;

/// Work that is admitted, in percent of what can be taken up. With exactly as much, capacity would
/// be without work at each chance lull of arrivals, and come back only with later figures.
const ADMITTED_PERCENT: u64 = 150;

/// Waiting work of a job that has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiting {
    /// Place in the order, in thousandths.
    pub(crate) order: u32,
    /// Work, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
}

/// Work that competes for the same capacity. All work is in thousandths of a core times
/// milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Competition {
    /// Waiting work that goes before all new jobs.
    pub(crate) ahead: u64,
    /// Waiting work that competes with new jobs, sorted.
    pub(crate) waiting: Vec<Waiting>,
    /// CPU that arriving work of higher priority takes, in thousandths of a core.
    pub(crate) asked_ahead: u64,
    /// CPU that arriving work of the same priority would take, in thousandths of a core.
    pub(crate) asked: u64,
    /// Pace at which work is taken up, in thousandths of a core.
    pub(crate) pace: u64,
}

impl Competition {
    /// Returns the work that waits before a new job or competes with it.
    pub(crate) fn backlog(&self) -> u64 {
        self.ahead + self.waiting.iter().map(|w| w.work).sum::<u64>()
    }

    /// Returns the share of the order, in thousandths, whose waiting jobs and those that arrive
    /// within `horizon` milliseconds can start until then.
    pub(crate) fn admitted_share(&self, horizon: u64) -> u32 {
        let room = self.pace * horizon * ADMITTED_PERCENT / 100;
        let taken = self.ahead + self.asked_ahead * horizon;
        let room = room.saturating_sub(taken);
        if room == 0 {
            return 0;
        }
        let mut waiting = self.waiting.iter().peekable();
        let mut work = 0;
        for share in 0..ORDER_SHARES {
            while let Some(next) = waiting.next_if(|w| w.order <= share) {
                work += next.work;
            }
            let arriving = self.asked * horizon * u64::from(share + 1) / u64::from(ORDER_SHARES);
            if work + arriving > room {
                return share;
            }
        }
        ORDER_SHARES
    }
}

#[cfg(test)]
mod tests {
    use super::{Competition, Waiting};
    use test_case::test_case;

    /// Work that arrives at a multiple of the pace, with nothing waiting: as much of the order is
    /// admitted as can be started, and half as much again.
    #[test_case(1000 => 1000)]
    #[test_case(1500 => 1000)]
    #[test_case(3000 => 500)]
    #[test_case(15_000 => 100)]
    fn a_burst_is_admitted_in_part(asked: u64) -> u32 {
        let competition = Competition {
            asked,
            pace: 1000,
            ..Competition::default()
        };
        competition.admitted_share(1000)
    }

    /// A million units can be started within the horizon, and half as much again. Half of what waits
    /// lies in the first tenth of the order.
    #[test_case(200_000, 0 => 900; "all but the last")]
    #[test_case(0, 0 => 1000; "as much as waits")]
    #[test_case(1_500_000, 0 => 0; "work that started takes everything")]
    #[test_case(2_000_000, 0 => 0; "and more than there is")]
    #[test_case(600_000, 0 => 100; "work that started takes two fifths")]
    #[test_case(0, 600 => 100; "arrivals of higher priority take two fifths")]
    fn waiting_work_goes_by_its_order(ahead: u64, asked_ahead: u64) -> u32 {
        let at = |order, work| Waiting { order, work };
        let competition = Competition {
            ahead,
            waiting: vec![at(50, 500_000), at(100, 500_000), at(900, 500_000)],
            asked_ahead,
            asked: 0,
            pace: 1000,
        };
        competition.admitted_share(1000)
    }
}
