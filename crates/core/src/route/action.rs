//! What a router wants done.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::{Millis, name::Name};

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No such service has targets.
    NoTarget,
    /// Too many requests wait.
    QueueFull,
    /// The organisation has its share of this instance.
    OverShare,
    /// It can't be answered before its deadline.
    TooLate,
    /// Every allowed try failed.
    Failed,
}

impl Refusal {
    /// Returns the name that callers and logs see.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoTarget => "no-target",
            Refusal::QueueFull => "queue-full",
            Refusal::OverShare => "over-share",
            Refusal::TooLate => "too-late",
            Refusal::Failed => "failed",
        }
    }
}

/// An action of a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteAction {
    /// Send the request to a target.
    Send {
        /// The request.
        req: u64,
        /// Number of the try, from 1.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Its address.
        addr: SocketAddr,
        /// Time after which a second try may be asked for; 0 for never.
        hedge: Millis,
    },
    /// Give the request up at once.
    Refuse {
        /// The request.
        req: u64,
        /// Whether it may have run.
        outcome: Outcome,
        /// Why.
        why: Refusal,
        /// When the caller may come again.
        after: Millis,
    },
}
