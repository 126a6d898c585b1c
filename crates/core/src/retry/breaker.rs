//! A circuit breaker.

use crate::Millis;

/// Rejects calls after consecutive failures, except for one probe per open time.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failure_threshold: u32,
    open_time: Millis,
    failures: u32,
    open_until: Millis,
}

impl CircuitBreaker {
    /// Creates a breaker that opens for `open_time` after `failure_threshold` consecutive failures.
    pub fn new(failure_threshold: u32, open_time: Millis) -> CircuitBreaker {
        CircuitBreaker {
            failure_threshold,
            open_time,
            failures: 0,
            open_until: 0,
        }
    }

    /// Returns whether a call may be made; an open breaker allows one call per open time.
    pub fn allow(&mut self, now: Millis) -> bool {
        if self.failures < self.failure_threshold {
            return true;
        }
        if now < self.open_until {
            return false;
        }
        self.open_until = now + self.open_time;
        true
    }

    /// Records the result of a call.
    pub fn record(&mut self, now: Millis, ok: bool) {
        if ok {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.failure_threshold {
            self.open_until = now + self.open_time;
        }
    }
}
