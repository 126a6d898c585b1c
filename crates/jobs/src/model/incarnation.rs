//! Names of the lives of workers.
//!
//! A worker that says when its life began may have another one under the same name. Records
//! tell them apart by `NAME@BORN`; an instance that does not know of lives takes that for a
//! worker that it never hears of, and waits until its leases are over.

use std::sync::Arc;

/// Stands between a worker's name and when its life began.
const SEPARATOR: char = '@';

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
            Some(start_time) => format!("{}{SEPARATOR}{start_time}", self.id).into(),
            None => self.id.clone(),
        }
    }

    /// Reads a life's own name.
    pub(crate) fn parse(name: &Arc<str>) -> Incarnation {
        let parts = name.rsplit_once(SEPARATOR);
        // `parse` would take a sign as well.
        let parts = parts.filter(|(_, start_time)| start_time.bytes().all(|b| b.is_ascii_digit()));
        let named = parts.and_then(|(id, start_time)| Some((id, start_time.parse().ok()?)));
        match named {
            Some((id, start_time)) => Incarnation {
                id: id.into(),
                start_time: Some(start_time),
            },
            None => Incarnation {
                id: name.clone(),
                start_time: None,
            },
        }
    }
}
