//! Cancellation tokens that are passed down from a program to its threads.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A token that says when to stop.
///
/// Clones share one state: cancelling any of them cancels all.
#[derive(Debug, Clone, Default)]
pub struct Cancel {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    done: Mutex<bool>,
    wake: Condvar,
}

impl Cancel {
    /// Returns a token that is not cancelled.
    pub fn new() -> Cancel {
        Cancel::default()
    }

    /// Cancels the token and wakes every waiter.
    pub fn cancel(&self) {
        *self
            .inner
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = true;
        self.inner.wake.notify_all();
    }

    /// Tells whether the token was cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self
            .inner
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits up to `limit` and tells whether the token was cancelled.
    pub fn wait(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut done = self
            .inner
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while !*done {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let woken = self.inner.wake.wait_timeout(done, left);
            done = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
