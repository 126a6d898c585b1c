//! The clock includes times of suspension.
//!
//! Guards against a clock that stops while its machine is suspended: the owner took its last
//! contact with the store for recent and renewed a worker's leases beyond the time that its
//! successor waits for.

use std::{cell::Cell, fs, time::Duration};

use gorsespur_runtime::clock::{Clock, ClockSource};

thread_local! {
    static STEADY: Cell<u64> = const { Cell::new(0) };
    static BOOT: Cell<u64> = const { Cell::new(0) };
}

const SOURCE: ClockSource = ClockSource {
    monotonic: || Duration::from_millis(STEADY.get()),
    boot: || Duration::from_millis(BOOT.get()),
};

#[test]
fn a_suspension_is_included() {
    STEADY.set(70_000);
    BOOT.set(90_000);
    let clock = Clock::with_source(SOURCE);
    let first = clock.now();
    STEADY.set(70_400);
    BOOT.set(90_400);
    assert_eq!(clock.now() - first, 400);
    assert_eq!(clock.suspended_ms(), 0);
    BOOT.set(95_400);
    assert_eq!(clock.suspended_ms(), 5000);
    assert_eq!(clock.now() - first, 5400);
    assert_eq!(clock.now_micros() / 1000, clock.now());
}

/// The boot-time clock matches the system's uptime, which includes times of suspension.
#[test]
fn the_boot_time_clock_matches_the_uptime() {
    let text = fs::read_to_string("/proc/uptime").expect("a system with /proc");
    let seconds = text.split_whitespace().next().expect("a figure");
    let uptime = Duration::from_secs_f64(seconds.parse().expect("seconds"));
    let boot = (ClockSource::SYSTEM.boot)();
    assert!(boot + Duration::from_millis(20) >= uptime);
    // The process may have been delayed between the two readings.
    assert!(boot < uptime + Duration::from_secs(60));
}
