//! Why a node can't run.

use std::net::SocketAddr;

use gorsespur_runtime::exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode};
use snafu::Snafu;

/// Why a node can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("{addr}: can't listen"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start thread {name}"))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Signals can't be handled.
    #[snafu(display("can't handle signals"))]
    Signals {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

impl HasExitCode for NodeError {
    fn exit_code(&self) -> u8 {
        match self {
            NodeError::Listen { .. } => EXIT_USAGE,
            _ => EXIT_FAILURE,
        }
    }
}
