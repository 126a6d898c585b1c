//! The process's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the clock was made; never goes back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at one hour, so that subtracting a time limit from an
    /// early reading does not reach zero.
    pub fn new() -> Clock {
        let start = Instant::now();
        Clock {
            start: start
                .checked_sub(Duration::from_secs(3600))
                .unwrap_or(start),
        }
    }

    /// Returns the reading in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the reading in microseconds.
    pub fn micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// Returns hours since the Unix epoch, for deleting what is old.
pub fn wall_hour() -> u64 {
    wall_ms() / 3_600_000
}

/// Returns milliseconds since the Unix epoch, for logs and audit entries only.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
