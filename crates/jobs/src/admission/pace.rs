//! The pace at which waiting work is taken up.
//!
//! Work that is taken up per millisecond equals the CPU that its runs hold, on average, whatever
//! the lengths of the tasks. It is measured rather than derived from what queues are entitled to:
//! long-running tasks that came first keep holding capacity to which others are entitled.

use std::collections::VecDeque;

/// Time over which the held CPU is averaged, in milliseconds: about the length of a short task,
/// so that the ends of single tasks don't show. After a takeover the pace is unknown for as long.
const WINDOW_MS: u64 = 2000;

/// CPU that runs held in the last seconds.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    since: Option<u64>,
    samples: VecDeque<Sample>,
}

/// The held CPU at one time, in thousandths of a core.
#[derive(Debug)]
struct Sample {
    at: u64,
    held: u64,
}

impl Pace {
    /// Records the CPU that runs hold at `now`.
    pub(crate) fn record(&mut self, now: u64, held: u64) {
        self.since = self.since.or(Some(now));
        self.samples.push_back(Sample { at: now, held });
        while self.samples.front().is_some_and(|s| s.at + WINDOW_MS < now) {
            self.samples.pop_front();
        }
    }

    /// Returns the pace in thousandths of a core, or `None` if it isn't known yet.
    ///
    /// A pace that has just risen counts at once: demand was lower before, not capacity.
    pub(crate) fn current(&self, now: u64) -> Option<u64> {
        let since = self.since?;
        if now < since + WINDOW_MS {
            return None;
        }
        let last = self.samples.back()?.held;
        let sum: u64 = self.samples.iter().map(|s| s.held).sum();
        Some(last.max(sum / self.samples.len() as u64))
    }
}

#[cfg(test)]
mod tests {
    use super::Pace;
    use test_case::test_case;

    /// Returns the pace after samples at an interval of 200 ms.
    fn pace(samples: &[u64]) -> Option<u64> {
        let mut pace = Pace::default();
        for (at, &held) in (0..).zip(samples) {
            pace.record(at * 200, held);
        }
        pace.current((samples.len() as u64 - 1) * 200)
    }

    /// A new owner knows no pace before it has seen the fleet for a while.
    #[test_case(1 => None; "the first moment")]
    #[test_case(10 => None; "less than the window")]
    #[test_case(11 => Some(700); "the whole window")]
    #[test_case(100 => Some(700); "long after")]
    fn a_pace_is_known_after_its_window(samples: usize) -> Option<u64> {
        pace(&vec![700; samples])
    }

    /// Demand rises to the capacity, or capacity is lost.
    #[test]
    fn a_rise_counts_at_once_and_a_fall_within_the_window() {
        let mut samples = vec![100; 20];
        samples.push(900);
        assert_eq!(pace(&samples), Some(900));
        let mut samples = vec![900; 20];
        samples.extend([300; 11]);
        assert_eq!(pace(&samples), Some(300));
    }
}
