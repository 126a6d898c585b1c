//! Request ids that are unique without coordination.

use std::sync::atomic::{AtomicU64, Ordering};

use gorsespur_core::name::Name;

/// Makes ids of an instance's name, its start and a counter.
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

    /// Returns the next number; it names a request towards the router.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request without one.
    pub fn format(&self, number: u64) -> String {
        format!("{}.{number}", self.prefix)
    }
}
