//! Errors of `gorsespur-ctl`.

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
    /// The settings can't be loaded.
    #[snafu(display("can't load the settings"))]
    Settings {
        /// Error of the settings loader.
        source: SettingsError,
    },
    /// No address is configured for a service that the command needs.
    #[snafu(display("no address is configured; pass --{flag} or set {flag} in the settings file"))]
    NoAddress {
        /// Flag that sets the address.
        flag: &'static str,
    },
    /// A file or standard input can't be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The template is malformed.
    #[snafu(display("can't parse {}", path.display()))]
    Parse {
        /// Path of the template.
        path: PathBuf,
        /// Parse error with its position.
        source: YamlError,
    },
    /// The template doesn't pass the checks.
    #[snafu(display("{} is not a valid template", path.display()))]
    Check {
        /// Path of the template.
        path: PathBuf,
        /// All problems found.
        source: Problems,
    },
    /// The author of a change is not a valid name.
    #[snafu(display("--who {author:?} is not a valid name; use letters, digits, '.', '_' or '-'"))]
    InvalidAuthor {
        /// Author as given.
        author: String,
    },
    /// The template was changed after the version that was edited.
    #[snafu(display(
        "{org} is at version {current_version}, but version {base_version} was edited; nothing was changed; changes since then: {changes}"
    ))]
    VersionConflict {
        /// Organisation of the template.
        org: String,
        /// Version that was edited.
        base_version: u64,
        /// Version in force.
        current_version: u64,
        /// Versions since the edited one, with author and changed fields.
        changes: String,
    },
    /// The organisation has no template.
    #[snafu(display("no organisation is named {org:?}"))]
    UnknownOrganisation {
        /// Organisation as given.
        org: String,
    },
    /// No log line concerns the job.
    #[snafu(display(
        "none of the {lines} log lines concerns job {job:?}; collect the logs of all instances for the time of the job"
    ))]
    NoLogLines {
        /// Id of the job.
        job: String,
        /// Number of lines read.
        lines: usize,
    },
    /// The table service failed; nothing was changed.
    #[snafu(display("call to the table service failed"))]
    Table {
        /// Error of the table service.
        source: TableError,
    },
    /// The answer to a write was lost, so that its outcome is unknown.
    #[snafu(display(
        "the answer to the write was lost and its outcome can't be read back; check `history` before retrying"
    ))]
    InDoubt,
    /// The membership list can't be read.
    #[snafu(display("can't read the membership list"))]
    Members {
        /// Error of the membership service.
        source: MembersError,
    },
    /// A stored value can't be encoded or decoded.
    #[snafu(display("can't encode or decode a stored value"))]
    Stored {
        /// Error of the codec.
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
            | CtlError::InvalidAuthor { .. }
            | CtlError::UnknownOrganisation { .. }
            | CtlError::NoLogLines { .. } => EXIT_USAGE,
            CtlError::VersionConflict { .. }
            | CtlError::Table { .. }
            | CtlError::InDoubt
            | CtlError::Members { .. }
            | CtlError::Stored { .. } => EXIT_FAILURE,
        }
    }
}
