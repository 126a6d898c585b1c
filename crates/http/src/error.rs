//! Errors of HTTP calls.

use std::io;

use snafu::Snafu;

/// An error of an HTTP call. Each variant states whether the call may have had an effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect: {message}"))]
    Connect {
        /// Message of the system's error.
        message: String,
    },
    /// The peer's machine refused the connection, as nothing listens there; nothing was sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// The connection took no byte of the request, or no time was left for one; nothing was sent.
    #[snafu(display("nothing sent: {message}"))]
    NotSent {
        /// Message of the system's error, or that the time was over.
        message: String,
    },
    /// The response did not arrive in time; the call may have had an effect.
    #[snafu(display("timed out waiting for the response"))]
    Timeout,
    /// The connection ended before the response was whole; the call may have had an effect.
    #[snafu(display("connection lost: {message}"))]
    Lost {
        /// Message of the system's error.
        message: String,
    },
    /// The peer sent a message that is not HTTP/1.1, or not in the subset that this crate supports.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// The invalid or unsupported part.
        reason: &'static str,
    },
    /// A message exceeds a limit on its size.
    #[snafu(display("message exceeds {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl HttpError {
    /// Returns whether nothing was sent, so that the call certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            HttpError::Connect { .. } | HttpError::Refused | HttpError::NotSent { .. }
        )
    }
}

/// Converts an error of opening a connection.
pub(crate) fn connect_error(err: &io::Error) -> HttpError {
    if err.kind() == io::ErrorKind::ConnectionRefused {
        return HttpError::Refused;
    }
    ConnectSnafu {
        message: err.to_string(),
    }
    .build()
}
