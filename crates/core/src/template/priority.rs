//! Priorities of requests and tasks.

use serde::{Deserialize, Serialize};

/// Priority of a request or task; the variants are in the order of service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served first; tasks may preempt tasks of lower priority.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Served last, and the first to be refused, throttled or evicted.
    Bulk,
}

impl Priority {
    /// All priorities, from the first to the last served.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Bulk];

    /// Parses the lower-case name of a priority.
    pub fn parse(text: &str) -> Option<Priority> {
        match text {
            "urgent" => Some(Priority::Urgent),
            "normal" => Some(Priority::Normal),
            "bulk" => Some(Priority::Bulk),
            _ => None,
        }
    }
}
