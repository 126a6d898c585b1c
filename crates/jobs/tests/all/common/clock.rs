//! The clock of an owner whose machine may be suspended.

use std::{cell::Cell, time::Duration};

use gorsespur_runtime::clock::{Clock, ClockSource};

thread_local! {
    static STEADY: Cell<u64> = const { Cell::new(0) };
    static BOOT: Cell<u64> = const { Cell::new(0) };
}

const TIMES: ClockSource = ClockSource {
    monotonic: || Duration::from_millis(STEADY.get()),
    boot: || Duration::from_millis(BOOT.get()),
};

/// The program's clock over times of the world.
#[derive(Debug)]
pub struct OwnerClock {
    clock: Clock,
    /// Milliseconds for which the machine was suspended.
    pub suspended: u64,
    /// What the program's clock showed when the world's time was this.
    first: (u64, u64),
}

impl OwnerClock {
    pub fn new(now: u64) -> OwnerClock {
        STEADY.set(now);
        BOOT.set(now);
        let clock = Clock::with_source(TIMES);
        OwnerClock {
            clock,
            suspended: 0,
            first: (clock.now(), now),
        }
    }

    /// Returns what the owner takes for the time when the world's is `now`.
    pub fn read(&self, now: u64) -> u64 {
        STEADY.set(now - self.suspended);
        BOOT.set(now);
        self.clock.now() - self.first.0 + self.first.1
    }
}
