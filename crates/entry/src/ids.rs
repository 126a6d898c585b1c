//! Request ids that are unique without coordination.

use std::sync::atomic::{AtomicU64, Ordering};

use gorsespur_core::name::Name;

/// Generates ids from the instance's name, its incarnation and a counter.
#[derive(Debug)]
pub(crate) struct Ids {
    prefix: String,
    next: AtomicU64,
}

impl Ids {
    pub fn new(instance: &Name, incarnation: u64) -> Ids {
        Ids {
            prefix: format!("{instance}.{incarnation:x}"),
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next number, which identifies a request to the router.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request whose caller sent none.
    pub fn format(&self, number: u64) -> String {
        format!("{}.{number}", self.prefix)
    }
}
