//! The work that callers ask for, including what they are refused.
//!
//! The load pattern is a burst of which the owner sees only the accepted part. Refusals depend on
//! a job's place in the order and on nothing else, so what arrives of the share that was admitted
//! all the time tells what is asked for in all.

use std::collections::VecDeque;

use crate::order::urgency::ORDER_SHARES;

/// Time over which arrivals are averaged, in milliseconds: long enough that a group of jobs isn't
/// taken for a burst, and about as long as short jobs can wait.
const WINDOW_MS: u64 = 2000;

/// Time for which instances may still refuse by older figures, in milliseconds: figures that don't
/// change count as unknown after 1,500.
const LAG_MS: u64 = 1500;

/// Smallest share of the order by which arrivals are measured, in thousandths. The few jobs of a
/// smaller one tell nothing; what is asked for is then underrated, and more is admitted.
const MIN_SHARE: u32 = 50;

/// Jobs that arrived in the last seconds, and which share of the order was admitted.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    jobs: VecDeque<Arrival>,
    admitted: VecDeque<Admitted>,
}

/// A job that was accepted.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    /// Place in the order, in thousandths.
    pub(crate) order: u32,
    /// Work, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
}

/// The share of the order that was admitted from a time on.
#[derive(Debug)]
struct Admitted {
    at: u64,
    share: u32,
}

impl Arrivals {
    /// Adds a job.
    pub(crate) fn add(&mut self, arrival: Arrival) {
        self.jobs.push_back(arrival);
    }

    /// Records the share of the order that is admitted from now on, and forgets what is old.
    pub(crate) fn record_admitted(&mut self, now: u64, share: u32) {
        self.admitted.push_back(Admitted { at: now, share });
        let oldest = now.saturating_sub(WINDOW_MS + LAG_MS);
        while self.admitted.front().is_some_and(|a| a.at < oldest) {
            self.admitted.pop_front();
        }
        let oldest = now.saturating_sub(WINDOW_MS);
        while self.jobs.front().is_some_and(|j| j.at <= oldest) {
            self.jobs.pop_front();
        }
    }

    /// Returns the CPU with which the work that callers ask for could be done as it comes, in
    /// thousandths of a core.
    pub(crate) fn asked_cpu(&self) -> u64 {
        let shares = self.admitted.iter().map(|a| a.share);
        let share = shares.min().unwrap_or(ORDER_SHARES).max(MIN_SHARE);
        let sample = self.jobs.iter().filter(|j| j.order < share);
        let work: u64 = sample.map(|j| j.work).sum();
        work * u64::from(ORDER_SHARES) / u64::from(share) / WINDOW_MS
    }
}

#[cfg(test)]
mod tests {
    use super::{Arrival, Arrivals};
    use test_case::test_case;

    /// Jobs at all places of the order, of which those beyond `share` are refused for the whole
    /// time.
    #[test_case(1000)]
    #[test_case(500)]
    #[test_case(100)]
    fn what_is_refused_counts_as_asked(share: u32) {
        let mut arrivals = Arrivals::default();
        for at in 1..=4000 {
            let order = (at as u32 * 7) % 1000;
            if order < share {
                let work = 1000;
                arrivals.add(Arrival { at, order, work });
            }
            arrivals.record_admitted(at, share);
        }
        assert_eq!(arrivals.asked_cpu(), 1000);
    }

    /// The share is halved, and some instances still decide by the one before.
    #[test]
    fn a_change_of_the_share_is_not_a_change_of_load() {
        let mut arrivals = Arrivals::default();
        for at in 1..=4000 {
            let order = (at as u32 * 7) % 1000;
            let (published, met) = match at {
                0..3000 => (1000, 1000),
                3000..3700 => (500, 1000),
                _ => (500, 500),
            };
            if order < met {
                let work = 1000;
                arrivals.add(Arrival { at, order, work });
            }
            arrivals.record_admitted(at, published);
        }
        assert_eq!(arrivals.asked_cpu(), 1000);
    }
}
