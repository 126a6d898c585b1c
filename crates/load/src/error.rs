//! Errors of load runs.

use std::{io, path::PathBuf};

use gorsespur_runtime::exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode};
use gorsespur_services::MembersError;
use gorsespur_stand::LedgerError;
use snafu::Snafu;

/// Why a run failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// A file can't be used.
    #[snafu(display("{}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// A program can't be started.
    #[snafu(display("can't start {program}"))]
    Spawn {
        /// The program.
        program: String,
        /// The system's answer.
        source: io::Error,
    },
    /// No port is free.
    #[snafu(display("no port is free"))]
    Port {
        /// The system's answer.
        source: io::Error,
    },
    /// The system was not ready in time.
    #[snafu(display("not ready in time: {what}"))]
    NotReady {
        /// What was waited for.
        what: String,
    },
    /// An operators' command failed.
    #[snafu(display("gorsespur-ctl failed: {message}"))]
    Ctl {
        /// What it said.
        message: String,
    },
    /// A ledger can't be read.
    #[snafu(display("ledger"))]
    Ledger {
        /// The reason.
        source: LedgerError,
    },
    /// The membership list failed.
    #[snafu(display("members"))]
    Members {
        /// The reason.
        source: MembersError,
    },
    /// A promise was broken.
    #[snafu(display("a promise was broken"))]
    Broken,
    /// The run's arguments are unusable.
    #[snafu(display("{flag}: {message}"))]
    Usage {
        /// The flag.
        flag: &'static str,
        /// What is wrong.
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
