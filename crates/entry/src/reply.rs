//! Answers that the entry gives by itself.

use gorsespur_core::route::Outcome;
use gorsespur_runtime::server::Reply;
use gorsespur_wire::fields::{OUTCOME, REASON, REQUEST_ID, RETRY_AFTER};

/// Returns an answer without the target's.
pub(crate) fn plain(status: u16, outcome: Outcome, reason: &str, text: &str) -> Reply {
    Reply::text(status, text)
        .header(OUTCOME, outcome.as_str())
        .header(REASON, reason)
}

/// Returns an answer to a request that the caller must change.
pub(crate) fn bad(status: u16, field: &str, text: &str) -> Reply {
    plain(
        status,
        Outcome::NotRun,
        "bad-request",
        &format!("{field}: {text}"),
    )
}

/// Returns an answer that tells when to come again.
pub(crate) fn later(status: u16, outcome: Outcome, reason: &str, ms: u64) -> Reply {
    let seconds = ms.div_ceil(1_000).max(1);
    plain(status, outcome, reason, reason).header(RETRY_AFTER, seconds.to_string())
}

/// Adds the request's id.
pub(crate) fn with_id(reply: Reply, id: &str) -> Reply {
    let known = reply.headers.iter().any(|f| f.name == REQUEST_ID);
    if known {
        reply
    } else {
        reply.header(REQUEST_ID, id)
    }
}
