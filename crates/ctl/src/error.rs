//! Errors of the operators' command.

use std::path::PathBuf;

use gorsespur_core::problem::Problems;
use gorsespur_runtime::{
    exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode},
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
    #[snafu(display("--who {who:?} is not a name; give letters, digits, '.', '_' or '-'"))]
    Who {
        /// What was given.
        who: String,
    },
    /// Another operator changed the template meanwhile.
    #[snafu(display(
        "{org} is at version {found}, not at {edited} that was edited; nothing was changed; since then: {changes}"
    ))]
    Raced {
        /// Organisation.
        org: String,
        /// Version that was edited.
        edited: u64,
        /// Version in force.
        found: u64,
        /// Who changed what since.
        changes: String,
    },
    /// The organisation has no template.
    #[snafu(display("no organisation is called {org:?}"))]
    NoOrg {
        /// Organisation.
        org: String,
    },
    /// No line of the logs is about the job.
    #[snafu(display(
        "none of {lines} lines is about job {job:?}; collect the logs of all instances of that time"
    ))]
    NoLines {
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

impl HasExitCode for CtlError {
    fn exit_code(&self) -> u8 {
        match self {
            CtlError::Settings { source } => source.exit_code(),
            CtlError::NoAddress { .. }
            | CtlError::Read { .. }
            | CtlError::Parse { .. }
            | CtlError::Check { .. }
            | CtlError::Who { .. }
            | CtlError::NoOrg { .. }
            | CtlError::NoLines { .. } => EXIT_USAGE,
            CtlError::Raced { .. }
            | CtlError::Table { .. }
            | CtlError::InDoubt
            | CtlError::Members { .. }
            | CtlError::Stored { .. } => EXIT_FAILURE,
        }
    }
}
