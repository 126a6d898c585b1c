//! Errors of the operators' command.

use std::path::PathBuf;

use gorsespur_core::problem::Problems;
use gorsespur_runtime::{
    exit::{Blame, FAILED, USAGE},
    settings::{SettingsError, YamlError},
};
use gorsespur_services::{MembersError, TableError};
use gorsespur_wire::codec::CodecError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The settings are unusable.
    #[snafu(display("settings"))]
    Settings {
        /// The reason.
        source: SettingsError,
    },
    /// No address is given for a service that the command needs.
    #[snafu(display("give --{flag} or set it in --settings"))]
    NoAddress {
        /// The flag.
        flag: &'static str,
    },
    /// The template can't be read.
    #[snafu(display("{}: can't read", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The template is malformed.
    #[snafu(display("{}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong and where.
        source: YamlError,
    },
    /// The template does not pass the checks.
    #[snafu(display("{}", path.display()))]
    Check {
        /// The file.
        path: PathBuf,
        /// Every problem.
        source: Problems,
    },
    /// Who applies a template is not a name.
    #[snafu(display("--who {author:?} is not a name; give letters, digits, '.', '_' or '-'"))]
    InvalidAuthor {
        /// What was given.
        author: String,
    },
    /// Another operator changed the template meanwhile.
    #[snafu(display(
        "{org} is at version {current_version}, not at {base_version} that was edited; nothing was changed; since then: {changes}"
    ))]
    VersionConflict {
        /// Organisation.
        org: String,
        /// Version that was edited.
        base_version: u64,
        /// Version in force.
        current_version: u64,
        /// Who changed what since.
        changes: String,
    },
    /// The organisation has no template.
    #[snafu(display("no organisation is called {org:?}"))]
    UnknownOrganisation {
        /// Organisation.
        org: String,
    },
    /// No line of the logs is about the job.
    #[snafu(display(
        "none of {lines} lines is about job {job:?}; collect the logs of all instances of that time"
    ))]
    NoLogLines {
        /// The job.
        job: String,
        /// Lines that were read.
        lines: usize,
    },
    /// The table service failed; nothing was changed.
    #[snafu(display("table service"))]
    Table {
        /// The reason.
        source: TableError,
    },
    /// It is not known whether the change was accepted.
    #[snafu(display("the answer was lost and can't be read back; see history before a retry"))]
    InDoubt,
    /// The membership list failed.
    #[snafu(display("membership list"))]
    Members {
        /// The reason.
        source: MembersError,
    },
    /// A stored value is malformed.
    #[snafu(display("stored value"))]
    Stored {
        /// The reason.
        source: CodecError,
    },
}

impl Blame for CtlError {
    fn code(&self) -> u8 {
        match self {
            CtlError::Settings { source } => source.code(),
            CtlError::NoAddress { .. }
            | CtlError::Read { .. }
            | CtlError::Parse { .. }
            | CtlError::Check { .. }
            | CtlError::InvalidAuthor { .. }
            | CtlError::UnknownOrganisation { .. }
            | CtlError::NoLogLines { .. } => USAGE,
            CtlError::VersionConflict { .. }
            | CtlError::Table { .. }
            | CtlError::InDoubt
            | CtlError::Members { .. }
            | CtlError::Stored { .. } => FAILED,
        }
    }
}
