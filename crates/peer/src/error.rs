//! Errors of the agent.

use std::net::SocketAddr;

use gorsespur_runtime::exit::{EXIT_FAILURE, HasExitCode};
use snafu::Snafu;

/// An error of starting the agent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The address for heartbeats can't be bound.
    #[snafu(display("can't receive heartbeats on {addr}"))]
    Bind {
        /// Address to listen on.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start a thread"))]
    Spawn {
        /// The system's error.
        source: std::io::Error,
    },
}

impl HasExitCode for PeerError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}
