//! Why a call failed, and whether it may have had an effect.

use std::io;

use snafu::Snafu;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect: {message}"))]
    Connect {
        /// The system's answer.
        message: String,
    },
    /// The peer's machine refused the connection: nobody listens there; nothing was sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// The answer did not come in time; the call may have had an effect.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The connection ended before the whole answer; the call may have had an effect.
    #[snafu(display("connection lost: {message}"))]
    Lost {
        /// The system's answer.
        message: String,
    },
    /// The peer sent something that is not HTTP/1.1 as this crate takes it.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What is wrong with it.
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
    /// Tells whether the call certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, HttpError::Connect { .. } | HttpError::Refused)
    }
}

/// Returns why a connection could not be opened.
pub(crate) fn connect_error(err: &io::Error) -> HttpError {
    if err.kind() == io::ErrorKind::ConnectionRefused {
        return HttpError::Refused;
    }
    ConnectSnafu {
        message: err.to_string(),
    }
    .build()
}
