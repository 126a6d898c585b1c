//! Priorities of requests and tasks.

use serde::{Deserialize, Serialize};

/// Urgent goes before normal, normal before bulk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// First; tasks may preempt others.
    Urgent,
    /// The usual one.
    #[default]
    Normal,
    /// Last; first to be refused, throttled or evicted.
    Bulk,
}

impl Priority {
    /// All priorities, the first one first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Bulk];

    /// Reads a priority from its lower-case name.
    pub fn parse(text: &str) -> Option<Priority> {
        match text {
            "urgent" => Some(Priority::Urgent),
            "normal" => Some(Priority::Normal),
            "bulk" => Some(Priority::Bulk),
            _ => None,
        }
    }
}
