//! Errors of the agent.

use std::net::SocketAddr;

use gorsespur_runtime::exit::{EXIT_FAILURE, HasExitCode};
use snafu::Snafu;

/// Why the agent can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The address for heartbeats can't be bound.
    #[snafu(display("can't receive heartbeats on {addr}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's answer.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start a thread"))]
    Spawn {
        /// The system's answer.
        source: std::io::Error,
    },
}

impl HasExitCode for PeerError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}
