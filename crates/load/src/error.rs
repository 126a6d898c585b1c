//! Errors of the commands.

use std::{io, path::PathBuf};

use gorsespur_runtime::exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode};
use gorsespur_services::MembersError;
use gorsespur_stand::LedgerError;
use snafu::Snafu;

/// Reasons for which a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// A file or directory cannot be read or written.
    #[snafu(display("cannot access {}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A program cannot be started.
    #[snafu(display("cannot start {program}"))]
    Spawn {
        /// The program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No port can be reserved.
    #[snafu(display("cannot reserve a port"))]
    Port {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A part of the system did not become ready in time.
    #[snafu(display("timed out waiting for {what}"))]
    NotReady {
        /// The part of the system.
        what: String,
    },
    /// A `gorsespur-ctl` command failed.
    #[snafu(display("gorsespur-ctl failed: {message}"))]
    Ctl {
        /// Its standard error.
        message: String,
    },
    /// A ledger cannot be opened or read.
    #[snafu(display("ledger"))]
    Ledger {
        /// The reason.
        source: LedgerError,
    },
    /// The membership list cannot be read or written.
    #[snafu(display("cannot access the membership list"))]
    Members {
        /// The reason.
        source: MembersError,
    },
    /// A guarantee was violated, or a process did not stop cleanly.
    #[snafu(display("a guarantee was violated"))]
    GuaranteeViolated,
    /// An argument is invalid.
    #[snafu(display("{flag}: {message}"))]
    Usage {
        /// The flag.
        flag: &'static str,
        /// The reason.
        message: String,
    },
}

impl HasExitCode for LoadError {
    fn exit_code(&self) -> u8 {
        match self {
            LoadError::Usage { .. } => EXIT_USAGE,
            _ => EXIT_FAILURE,
        }
    }
}
