//! One encoded message each way over HTTP.

use std::{net::SocketAddr, time::Duration};

use gorsespur_runtime::client::{Call, CallError};
use gorsespur_wire::codec::{CONTENT_TYPE, decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a message has no answer.
#[derive(Debug, Snafu)]
pub enum PostError {
    /// The peer did not act: nothing was sent, or it said so.
    #[snafu(display("peer did not act"))]
    NotExecuted,
    /// The peer may have acted.
    #[snafu(display("answer was lost"))]
    Unknown,
}

/// Sends `message` to `path` at `addr` and returns the decoded answer.
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
