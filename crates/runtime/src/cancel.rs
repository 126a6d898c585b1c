//! Cancellation tokens, passed from a program to its threads.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A cancellation token.
///
/// Clones share their state: cancelling one of them cancels all.
#[derive(Debug, Clone, Default)]
pub struct CancelToken {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    cancelled: Mutex<bool>,
    wakeup: Condvar,
}

impl CancelToken {
    /// Creates a token that is not cancelled.
    pub fn new() -> CancelToken {
        CancelToken::default()
    }

    /// Cancels the token and wakes all waiting threads.
    pub fn cancel(&self) {
        *self
            .inner
            .cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = true;
        self.inner.wakeup.notify_all();
    }

    /// Returns whether the token is cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self
            .inner
            .cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits up to `timeout` for the cancellation; returns whether the token is cancelled.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut cancelled = self
            .inner
            .cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while !*cancelled {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let woken = self.inner.wakeup.wait_timeout(cancelled, remaining);
            cancelled = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
