//! The checkpoint that a task resumes from, and its origin.
//!
//! The text of a checkpoint comes from a worker and is opaque. Records keep the text without
//! its origin.

use std::sync::Arc;

/// Maximum length of an excerpt in a log line.
const SHOWN: usize = 32;

/// A task's checkpoint.
#[derive(Debug, Clone)]
pub(crate) struct Checkpoint {
    /// The worker's text, never empty.
    pub(crate) text: Arc<str>,
    /// The run that saved the checkpoint; `None` if it comes from a record.
    pub(crate) origin: Option<Origin>,
}

/// The origin of a checkpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    /// Number of the run that saved the checkpoint.
    pub(crate) run: u32,
    /// Slot of the run's worker.
    pub(crate) worker: u32,
    /// When the worker first reported the checkpoint.
    pub(crate) reported_at: u64,
}

impl Checkpoint {
    /// Returns the checkpoint of a record, or `None` for an empty text.
    pub(crate) fn from_record(text: &Arc<str>) -> Option<Box<Checkpoint>> {
        let checkpoint = Checkpoint {
            text: text.clone(),
            origin: None,
        };
        (!text.is_empty()).then(|| Box::new(checkpoint))
    }

    /// Returns the sort key for the checkpoints of a gang, oldest first: the number of the run
    /// and the time of the report. Checkpoints from records are the oldest.
    pub(crate) fn recency(&self) -> Option<(u32, u64)> {
        self.origin.map(|o| (o.run, o.reported_at))
    }
}

/// Returns the excerpt of a checkpoint's text that log lines show.
pub(crate) fn log_excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(SHOWN)]
}
