//! Replies of the entry itself, as opposed to answers of targets.

use gorsespur_core::route::Outcome;
use gorsespur_runtime::server::Reply;
use gorsespur_wire::fields::{OUTCOME, REASON, REQUEST_ID, RETRY_AFTER};

/// Returns an error with its outcome and reason.
pub(crate) fn error_reply(status: u16, outcome: Outcome, reason: &str, text: &str) -> Reply {
    Reply::text(status, text)
        .header(OUTCOME, outcome.as_str())
        .header(REASON, reason)
}

/// Returns an error for a request that must be changed before it is retried.
pub(crate) fn bad_request(status: u16, field: &str, text: &str) -> Reply {
    error_reply(
        status,
        Outcome::NotRun,
        "bad-request",
        &format!("{field}: {text}"),
    )
}

/// Returns an error for a request that may be retried after `ms` milliseconds.
pub(crate) fn retry_later(status: u16, outcome: Outcome, reason: &str, ms: u64) -> Reply {
    let seconds = ms.div_ceil(1_000).max(1);
    error_reply(status, outcome, reason, reason).header(RETRY_AFTER, seconds.to_string())
}

/// Adds the request's id, unless the reply has one.
pub(crate) fn with_id(reply: Reply, id: &str) -> Reply {
    let has_id = reply.headers.iter().any(|f| f.name == REQUEST_ID);
    if has_id {
        reply
    } else {
        reply.header(REQUEST_ID, id)
    }
}
