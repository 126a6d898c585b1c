//! The process's monotonic clock.
//!
//! A machine may be suspended for seconds. The system's monotonic clock stops meanwhile, while
//! the boot-time clock and all other machines go on. The clock here follows the boot-time clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// The two system clocks that a [`Clock`] reads; neither goes back.
#[derive(Debug, Clone, Copy)]
pub struct ClockSource {
    /// Time since an arbitrary moment, without times of suspension.
    pub monotonic: fn() -> Duration,
    /// Time since the machine booted, including times of suspension.
    pub boot: fn() -> Duration,
}

impl ClockSource {
    /// The system's clocks.
    pub const SYSTEM: ClockSource = ClockSource {
        monotonic: || read_clock(ClockId::Monotonic),
        boot: || read_clock(ClockId::Boottime),
    };
}

fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    // Neither clock is negative, and the fraction is less than a second.
    Duration::new(tv_sec as u64, tv_nsec as u32)
}

/// A monotonic clock that starts at one hour and includes times of suspension.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: ClockSource,
    /// Readings of the source when the clock was started.
    start_monotonic: Duration,
    start_boot: Duration,
}

/// First reading of a clock, so that subtracting a time limit from an early reading does not
/// reach zero.
const INITIAL_READING: Duration = Duration::from_secs(3600);

impl Clock {
    /// Starts a clock over the system's clocks.
    pub fn new() -> Clock {
        Clock::with_source(ClockSource::SYSTEM)
    }

    /// Starts a clock over the given source.
    pub fn with_source(source: ClockSource) -> Clock {
        Clock {
            source,
            start_monotonic: (source.monotonic)(),
            start_boot: (source.boot)(),
        }
    }

    /// Returns the reading in milliseconds.
    pub fn now(&self) -> u64 {
        self.elapsed().as_millis() as u64
    }

    /// Returns the reading in microseconds.
    pub fn now_micros(&self) -> u64 {
        self.elapsed().as_micros() as u64
    }

    /// Returns the time of suspension since the clock was started, in milliseconds.
    pub fn suspended_ms(&self) -> u64 {
        let monotonic = (self.source.monotonic)().saturating_sub(self.start_monotonic);
        let boot = (self.source.boot)().saturating_sub(self.start_boot);
        boot.saturating_sub(monotonic).as_millis() as u64
    }

    fn elapsed(&self) -> Duration {
        // Includes times of suspension, during which leases granted by other machines expire.
        INITIAL_READING + (self.source.boot)().saturating_sub(self.start_boot)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// Returns the hours since the Unix epoch, for the deletion of old data.
pub fn wall_hour() -> u64 {
    wall_ms() / 3_600_000
}

/// Returns the milliseconds since the Unix epoch, for logs and audit entries only.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
