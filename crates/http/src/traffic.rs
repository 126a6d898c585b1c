//! What calls cost on the network.

use std::sync::atomic::{AtomicU64, Ordering};

/// Calls and the bytes of their messages, heads included; threads share it.
#[derive(Debug, Default)]
pub struct Traffic {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// What a [`Traffic`] had counted at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Calls, whatever came of them.
    pub calls: u64,
    /// Bytes of requests.
    pub sent: u64,
    /// Bytes of answers.
    pub received: u64,
}

impl Traffic {
    /// Returns what was counted.
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
