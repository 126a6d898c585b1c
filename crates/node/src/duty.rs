//! Threads with a duty of the process.
//!
//! A process whose thread has panicked would go on answering, renew the lease as well, and do
//! nothing of that duty. So the process ends with it, and the platform starts it again. Requests
//! are handled on other threads: a panic there ends one connection.

use std::{
    panic::{self, AssertUnwindSafe},
    process, thread,
    time::Duration,
};

use gorsespur_runtime::exit::EXIT_FAILURE;

/// Time that the logging thread has to write the last lines; it writes every 50 ms.
pub(crate) const LOG_FLUSH_TIME: Duration = Duration::from_millis(60);

/// Runs a thread's duty; ends the process if it panics.
pub(crate) fn run<T>(name: &str, duty: impl FnOnce() -> T) -> T {
    run_or(duty, || {
        log::error!(thread = name; "node: thread panicked, the process ends");
        thread::sleep(LOG_FLUSH_TIME);
        process::exit(EXIT_FAILURE.into())
    })
}

/// Runs a thread's duty, and `after_panic` if it panics.
pub(crate) fn run_or<T>(duty: impl FnOnce() -> T, after_panic: impl FnOnce() -> T) -> T {
    // Nothing of the duty's state is used after a panic.
    panic::catch_unwind(AssertUnwindSafe(duty)).unwrap_or_else(|_| after_panic())
}
