//! Request and response messages over HTTP.

use std::{net::SocketAddr, time::Duration};

use gorsespur_runtime::client::{Call, CallError};
use gorsespur_wire::codec::{CONTENT_TYPE, decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a message got no answer.
#[derive(Debug, Snafu)]
pub enum PostError {
    /// The peer did not execute the request: it was not sent, or the peer
    /// refused it.
    #[snafu(display("peer did not execute the request"))]
    NotExecuted,
    /// The peer may have executed the request.
    #[snafu(display("answer was lost"))]
    Unknown,
}

/// Sends `message` to `path` at `addr` and returns the decoded answer.
///
/// Status codes 400 to 499 and 503 count as not executed; other failures after
/// sending leave the effect unknown.
pub fn post<Q, A>(
    addr: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, PostError>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let body = encode(message).map_err(|_| PostError::NotExecuted)?;
    let answer = Call::new("POST", addr, path)
        .header("content-type", CONTENT_TYPE)
        .body(body)
        .timeout(timeout)
        .max_body(MAX_ANSWER_BYTES)
        .send()
        .map_err(|err| match err {
            CallError::NotSent => PostError::NotExecuted,
            CallError::Timeout | CallError::Broken | CallError::TooLong => PostError::Unknown,
        })?;
    match answer.status {
        200 => decode(&answer.body).map_err(|_| PostError::Unknown),
        400..=499 | 503 => Err(PostError::NotExecuted),
        _ => Err(PostError::Unknown),
    }
}
