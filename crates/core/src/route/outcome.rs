//! Outcomes of requests and of single tries.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What a caller is told of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the answer is the target's.
    Ran,
    /// It truly did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header field.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the value of the header field.
    pub fn parse(text: &str) -> Option<Outcome> {
        match text {
            "ran" => Some(Outcome::Ran),
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// How one try at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A whole answer came.
    Answered {
        /// Time it took.
        took: Millis,
        /// Slots in use, as the target reported; none if it did not.
        busy: Option<u32>,
    },
    /// Nothing was sent: the target can't be reached.
    NotSent,
    /// The target said that it did not run the request.
    Declined {
        /// Slots in use, as the target reported; none if it did not.
        busy: Option<u32>,
        /// Whether it is about to leave.
        leaving: bool,
    },
    /// The request may have run.
    Failed,
}
