//! Outcomes of requests and of single attempts.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The outcome of a request, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and the answer is from the target.
    Ran,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
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

    /// Parses the value of the header field.
    pub fn parse(text: &str) -> Option<Outcome> {
        match text {
            "ran" => Some(Outcome::Ran),
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// The outcome of one attempt at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A complete answer arrived.
    Answered {
        /// Duration of the attempt.
        took: Millis,
        /// Slots in use as reported by the target, if it reported them.
        busy: Option<u32>,
    },
    /// Nothing was sent because the target can't be reached.
    NotSent,
    /// The target reported that it did not run the request.
    Declined {
        /// Slots in use as reported by the target, if it reported them.
        busy: Option<u32>,
        /// Whether the target is about to leave.
        leaving: bool,
    },
    /// The request may have run.
    Failed,
}
