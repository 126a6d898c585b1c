//! A circuit breaker.

use crate::Millis;

/// Refuses calls for a while after failures in a row, then lets one through.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    limit: u32,
    pause: Millis,
    failures: u32,
    until: Millis,
}

impl CircuitBreaker {
    /// Opens for `pause` after `limit` failures in a row.
    pub fn new(limit: u32, pause: Millis) -> CircuitBreaker {
        CircuitBreaker {
            limit,
            pause,
            failures: 0,
            until: 0,
        }
    }

    /// Tells whether a call may be made; an open breaker lets one through each pause.
    pub fn allow(&mut self, now: Millis) -> bool {
        if self.failures < self.limit {
            return true;
        }
        if now < self.until {
            return false;
        }
        self.until = now + self.pause;
        true
    }

    /// Takes note of a call's result.
    pub fn record(&mut self, now: Millis, ok: bool) {
        if ok {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.limit {
            self.until = now + self.pause;
        }
    }
}
