//! Names of the lives of workers.
//!
//! A worker that says when its life began may have another one under the same name. Records
//! tell them apart by `NAME@BORN`; an instance that does not know of lives takes that for a
//! worker that it never hears of, and waits until its leases are over.

use std::sync::Arc;

/// Stands between a worker's name and when its life began.
const MARK: char = '@';

/// A life of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// The worker's name.
    pub(crate) id: Arc<str>,
    /// When the life began, in milliseconds since 1970, if it says so. Clocks step: it tells
    /// lives apart and does not order them.
    pub(crate) start_time: Option<u64>,
}

impl Incarnation {
    /// Returns the life's own name.
    pub(crate) fn name(&self) -> Arc<str> {
        match self.start_time {
            Some(born) => format!("{}{MARK}{born}", self.id).into(),
            None => self.id.clone(),
        }
    }

    /// Reads a life's own name.
    pub(crate) fn parse(name: &Arc<str>) -> Incarnation {
        let parts = name.rsplit_once(MARK);
        // `parse` would take a sign as well.
        let parts = parts.filter(|(_, born)| born.bytes().all(|b| b.is_ascii_digit()));
        let known = parts.and_then(|(id, born)| Some((id, born.parse().ok()?)));
        match known {
            Some((id, born)) => Incarnation {
                id: id.into(),
                start_time: Some(born),
            },
            None => Incarnation {
                id: name.clone(),
                start_time: None,
            },
        }
    }
}
