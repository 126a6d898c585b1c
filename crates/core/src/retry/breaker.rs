//! A circuit breaker.

use crate::Millis;

/// Refuses calls for a while after failures in a row, then lets one through.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failure_threshold: u32,
    open_time: Millis,
    failures: u32,
    open_until: Millis,
}

impl CircuitBreaker {
    /// Opens for `pause` after `limit` failures in a row.
    pub fn new(failure_threshold: u32, open_time: Millis) -> CircuitBreaker {
        CircuitBreaker {
            failure_threshold,
            open_time,
            failures: 0,
            open_until: 0,
        }
    }

    /// Tells whether a call may be made; an open breaker lets one through each pause.
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

    /// Takes note of a call's result.
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
