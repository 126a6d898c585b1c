//! The progress that a task goes on from, and where that was made.
//!
//! Limits: the text is the worker's own and opaque. A record keeps it without its origin.

use std::sync::Arc;

/// Bytes of a text that log lines show at most.
const SHOWN: usize = 32;

/// A task's checkpoint.
#[derive(Debug, Clone)]
pub(crate) struct Checkpoint {
    /// The worker's text, never empty.
    pub(crate) text: Arc<str>,
    /// Where it was made; nothing if it comes from a record.
    pub(crate) origin: Option<Origin>,
}

/// Where a checkpoint was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    /// Number of the run that made it.
    pub(crate) run: u32,
    /// The run's worker, by slot.
    pub(crate) worker: u32,
    /// When the worker first listed it.
    pub(crate) reported_at: u64,
}

impl Checkpoint {
    /// Returns a checkpoint that a record has; nothing for an empty text.
    pub(crate) fn from_record(text: &Arc<str>) -> Option<Box<Checkpoint>> {
        let checkpoint = Checkpoint {
            text: text.clone(),
            origin: None,
        };
        (!text.is_empty()).then(|| Box::new(checkpoint))
    }

    /// Returns the number of the run that made it and when it was listed, by which checkpoints
    /// of one gang are ordered; those of records come first.
    pub(crate) fn recency(&self) -> Option<(u32, u64)> {
        self.origin.map(|o| (o.run, o.reported_at))
    }
}

/// Returns what log lines show of a checkpoint's text.
pub(crate) fn log_excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(SHOWN)]
}
