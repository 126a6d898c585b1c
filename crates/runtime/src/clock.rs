//! The process's monotonic clock.
//!
//! A machine may be suspended for seconds. The system's steady clock stands still meanwhile, the
//! clock that counts from the machine's start goes on, as do all other machines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Readings of two clocks of a system; both never go back.
#[derive(Debug, Clone, Copy)]
pub struct ClockSource {
    /// Time since some moment, without times of suspension.
    pub monotonic: fn() -> Duration,
    /// Time since the machine started, with times of suspension.
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
    // Neither clock is ever negative, and a fraction is below a second.
    Duration::new(tv_sec as u64, tv_nsec as u32)
}

/// Milliseconds since the clock was made; never goes back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: ClockSource,
    /// Readings from which it counts.
    start_monotonic: Duration,
    start_boot: Duration,
}

/// A new clock shows an hour, so that subtracting a time limit from an early reading does not
/// reach zero.
const INITIAL_READING: Duration = Duration::from_secs(3600);

impl Clock {
    /// Starts a clock.
    pub fn new() -> Clock {
        Clock::with_source(ClockSource::SYSTEM)
    }

    /// Starts a clock over these readings.
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

    /// Returns for how long the machine was suspended since the clock was made, in milliseconds.
    pub fn suspended_ms(&self) -> u64 {
        let monotonic = (self.source.monotonic)().saturating_sub(self.start_monotonic);
        let boot = (self.source.boot)().saturating_sub(self.start_boot);
        boot.saturating_sub(monotonic).as_millis() as u64
    }

    fn elapsed(&self) -> Duration {
        // Others go on while this machine is suspended, and what they granted runs out.
        INITIAL_READING + (self.source.boot)().saturating_sub(self.start_boot)
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
