//! Names of the incarnations of workers.
//!
//! A worker that reports its start time may have several incarnations under one name. Records
//! distinguish them as `NAME@START_TIME`. An instance without support for incarnations takes
//! that for the name of a worker that never reports, and waits until its leases have expired.

use std::sync::Arc;

/// Separates the name of a worker from the start time.
const SEPARATOR: char = '@';

/// An incarnation of a worker: one process under the worker's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// The worker's name.
    pub(crate) id: Arc<str>,
    /// Start time in milliseconds since the Unix epoch, if the worker reports one. It
    /// identifies an incarnation but does not order them, since clocks step.
    pub(crate) start_time: Option<u64>,
}

impl Incarnation {
    /// Returns the name of the incarnation.
    pub(crate) fn name(&self) -> Arc<str> {
        match self.start_time {
            Some(start_time) => format!("{}{SEPARATOR}{start_time}", self.id).into(),
            None => self.id.clone(),
        }
    }

    /// Parses the name of an incarnation.
    pub(crate) fn parse(name: &Arc<str>) -> Incarnation {
        let parts = name.rsplit_once(SEPARATOR);
        // `parse` would accept a sign as well.
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
