//! What the clock shows while its machine is suspended.
//!
//! An owner that was suspended took its last contact with the store for new: by its clock no
//! time had passed. It renewed a worker's leases beyond the time for which its successor waits.

use std::{cell::Cell, fs, time::Duration};

use gorsespur_runtime::clock::{Clock, ClockSource};

thread_local! {
    static STEADY: Cell<u64> = const { Cell::new(0) };
    static BOOT: Cell<u64> = const { Cell::new(0) };
}

const TIMES: ClockSource = ClockSource {
    monotonic: || Duration::from_millis(STEADY.get()),
    boot: || Duration::from_millis(BOOT.get()),
};

#[test]
fn a_suspension_counts() {
    STEADY.set(70_000);
    BOOT.set(90_000);
    let clock = Clock::with_source(TIMES);
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

/// The system's own count of the time since its start has times of suspension in it.
#[test]
fn the_systems_clock_counts_from_its_start() {
    let text = fs::read_to_string("/proc/uptime").expect("a system with /proc");
    let seconds = text.split_whitespace().next().expect("a figure");
    let uptime = Duration::from_secs_f64(seconds.parse().expect("seconds"));
    let boot = (ClockSource::SYSTEM.boot)();
    assert!(boot + Duration::from_millis(20) >= uptime);
    // Reading the two may have been held up in between.
    assert!(boot < uptime + Duration::from_secs(60));
}
