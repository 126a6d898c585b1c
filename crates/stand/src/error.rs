//! Errors of the stand-ins.

use std::net::SocketAddr;

use gorsespur_runtime::{
    exit::{EXIT_FAILURE, HasExitCode},
    logging::LogError,
    server::ServeError,
    settings::SettingsError,
};
use snafu::Snafu;

use crate::LedgerError;

/// Why a stand-in can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandError {
    /// An address can't be served.
    #[snafu(display("can't serve"))]
    Serve {
        /// The reason.
        source: ServeError,
    },
    /// An address can't be bound.
    #[snafu(display("can't listen on {addr}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
    },
    /// The ledger can't be opened.
    #[snafu(display("can't open the ledger"))]
    Ledger {
        /// The reason.
        source: LedgerError,
    },
    /// The members can't be read.
    #[snafu(display("members"))]
    MembersFile {
        /// The reason.
        source: SettingsError,
    },
    /// The platform did not take the members.
    #[snafu(display("no platform at {gate} took the members"))]
    MembersRejected {
        /// Its address.
        gate: SocketAddr,
    },
    /// Logging can't start.
    #[snafu(display("can't start logging"))]
    Log {
        /// The reason.
        source: LogError,
    },
    /// Signals can't be handled or a thread can't be started.
    #[snafu(display("the system refused"))]
    System {
        /// The system's answer.
        source: std::io::Error,
    },
}

impl HasExitCode for StandError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}
