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

/// Why a stand-in can't run or be controlled.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandError {
    /// An address can't be served.
    #[snafu(display("can't serve"))]
    Serve {
        /// Cause.
        source: ServeError,
    },
    /// An address can't be bound.
    #[snafu(display("can't listen on {addr}"))]
    Bind {
        /// Address that can't be bound.
        addr: SocketAddr,
    },
    /// The ledger can't be opened.
    #[snafu(display("can't open the ledger"))]
    Ledger {
        /// Cause.
        source: LedgerError,
    },
    /// The file of members can't be read.
    #[snafu(display("can't read the members"))]
    MembersFile {
        /// Cause.
        source: SettingsError,
    },
    /// The platform can't be reached or refused the members.
    #[snafu(display("platform at {endpoint} did not accept the members"))]
    MembersRejected {
        /// Address of the platform.
        endpoint: SocketAddr,
    },
    /// Logging can't be set up.
    #[snafu(display("can't start logging"))]
    Log {
        /// Cause.
        source: LogError,
    },
    /// Signals can't be handled or a thread can't be started.
    #[snafu(display("can't set up signal handling or start a thread"))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl HasExitCode for StandError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}
