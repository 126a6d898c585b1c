//! Actions that a router requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::{Millis, name::Name};

/// The reason a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The service is unknown or all its targets are leaving.
    NoTarget,
    /// The request queue is full.
    QueueFull,
    /// The organisation has reached its maximum number of requests on this instance.
    OverShare,
    /// The request can't be answered before its deadline.
    TooLate,
    /// Every allowed attempt failed.
    Failed,
}

impl Refusal {
    /// Returns the name that is sent to callers and written to logs.
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

/// An action that a router requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteAction {
    /// Send the request to a target.
    Send {
        /// The request.
        req: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Worker of the target.
        worker: Name,
        /// Address of the target.
        addr: SocketAddr,
        /// Time without an answer after which a hedged attempt may be requested; 0 for never.
        #[serde(rename = "hedge")]
        hedge_after: Millis,
    },
    /// Refuse the request immediately.
    Refuse {
        /// The request.
        req: u64,
        /// Whether the request may have run.
        outcome: Outcome,
        /// Reason of the refusal.
        why: Refusal,
        /// Time after which the caller may retry.
        #[serde(rename = "after")]
        retry_after: Millis,
    },
}
