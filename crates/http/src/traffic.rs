//! Counters of network traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of calls and of the bytes of their messages, heads included; shared by threads.
#[derive(Debug, Default)]
pub struct Traffic {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// A snapshot of a [`Traffic`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Calls, whether they succeeded or failed.
    pub calls: u64,
    /// Bytes of requests sent.
    pub sent: u64,
    /// Bytes of responses received.
    pub received: u64,
}

impl Traffic {
    /// Returns a snapshot of the counters.
    pub fn usage(&self) -> Usage {
        Usage {
            calls: self.calls.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_request(&self, bytes: usize) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_response(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
