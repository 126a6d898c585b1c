//! The clock of an owner whose machine may be suspended.

use std::{cell::Cell, time::Duration};

use gorsespur_runtime::clock::{Clock, ClockSource};

thread_local! {
    static MONOTONIC_MS: Cell<u64> = const { Cell::new(0) };
    static BOOT_MS: Cell<u64> = const { Cell::new(0) };
}

const SIMULATED_SOURCE: ClockSource = ClockSource {
    monotonic: || Duration::from_millis(MONOTONIC_MS.get()),
    boot: || Duration::from_millis(BOOT_MS.get()),
};

/// The scheduler's clock over virtual time.
#[derive(Debug)]
pub struct OwnerClock {
    clock: Clock,
    /// Total time for which the machine was suspended, in milliseconds.
    pub suspended_ms: u64,
    /// Readings of the scheduler's clock and of virtual time at the same moment.
    origin: (u64, u64),
}

impl OwnerClock {
    pub fn new(now: u64) -> OwnerClock {
        MONOTONIC_MS.set(now);
        BOOT_MS.set(now);
        let clock = Clock::with_source(SIMULATED_SOURCE);
        OwnerClock {
            clock,
            suspended_ms: 0,
            origin: (clock.now(), now),
        }
    }

    /// Returns the owner's time at the virtual time `now`.
    pub fn read(&self, now: u64) -> u64 {
        MONOTONIC_MS.set(now - self.suspended_ms);
        BOOT_MS.set(now);
        self.clock.now() - self.origin.0 + self.origin.1
    }
}
