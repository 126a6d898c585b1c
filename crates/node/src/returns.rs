//! Tells refused callers when to come back.
//!
//! The load pattern is many callers that are refused within a moment. If all were told the same
//! time, they would return together and be refused together again. So those refused first return
//! first, and the others after them.
//!
//! Limits: Retry-After is in whole seconds, and each instance knows only its own refusals.

use std::sync::Arc;

/// Shortest time after which a refused caller returns, in milliseconds. Retry-After is in whole
/// seconds.
const MIN_RETRY_MS: u64 = 1000;

/// Time between the returns of two callers refused by one instance, in milliseconds.
const RETURN_SPACING_MS: u64 = 250;

/// Longest time by which a return is delayed for the sake of other returns, in milliseconds. A
/// caller that is told to come back much later than its job could be served gives up.
const MAX_SPREAD_MS: u64 = 8000;

/// When the last refused caller of a queue is to come back.
#[derive(Debug)]
struct Returns {
    queue: Arc<str>,
    /// Before its time is rounded up to whole seconds, in milliseconds.
    planned: u64,
    /// After that, in milliseconds.
    actual: u64,
}

/// When refused callers are to come back.
#[derive(Debug, Default)]
pub(crate) struct ReturnSchedule {
    /// Sorted by queue.
    returns: Vec<Returns>,
}

impl ReturnSchedule {
    /// Returns the Retry-After of a caller that may come back after `earliest` milliseconds, in
    /// seconds.
    pub(crate) fn retry_after_s(&mut self, now: u64, queue: &Arc<str>, earliest: u64) -> u64 {
        let first = now + earliest.max(MIN_RETRY_MS);
        let at = self.returns.binary_search_by(|r| r.queue.cmp(queue));
        let at = at.unwrap_or_else(|at| {
            let returns = Returns {
                queue: queue.clone(),
                planned: 0,
                actual: 0,
            };
            self.returns.insert(at, returns);
            at
        });
        self.returns[at].add(now, first)
    }
}

impl Returns {
    /// Plans the return of a caller that may come back from `first` on. Returns the time until
    /// then, in seconds.
    fn add(&mut self, now: u64, first: u64) -> u64 {
        self.planned = first.max(self.planned + RETURN_SPACING_MS);
        if self.planned > first + MAX_SPREAD_MS {
            self.planned = first;
            self.actual = 0;
        }
        let wait = self.planned.max(self.actual) - now;
        let seconds = wait.div_ceil(1000);
        self.actual = now + seconds * 1000;
        seconds
    }
}
