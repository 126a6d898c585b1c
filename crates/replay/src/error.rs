//! Errors of traces.

use std::path::PathBuf;

use gorsespur_runtime::{
    exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode},
    settings::SettingsError,
};
use gorsespur_wire::codec::CodecError;
use snafu::Snafu;

/// Why a trace can't be used, or does not hold.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TraceError {
    /// The file can't be opened, read or written.
    #[snafu(display("{}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// A part is malformed.
    #[snafu(display("trace is malformed"))]
    Codec {
        /// The reason.
        source: CodecError,
    },
    /// The trace has no header.
    #[snafu(display("trace is empty"))]
    Empty,
    /// The stated outcomes can't be read.
    #[snafu(display("stated outcomes"))]
    Stated {
        /// The reason.
        source: SettingsError,
    },
    /// A step led to other actions than recorded.
    #[snafu(display("step {step} at {now} ms led to other actions than recorded"))]
    Differs {
        /// Number of the step.
        step: usize,
        /// Its time.
        now: u64,
    },
    /// An outcome is not as stated.
    #[snafu(display("{name} is {found}, stated {stated}"))]
    Outcome {
        /// Name of the outcome.
        name: &'static str,
        /// What the replay led to.
        found: u64,
        /// What was stated.
        stated: u64,
    },
}

impl HasExitCode for TraceError {
    fn exit_code(&self) -> u8 {
        match self {
            TraceError::File { .. } | TraceError::Codec { .. } | TraceError::Empty => EXIT_USAGE,
            TraceError::Stated { source } => source.exit_code(),
            TraceError::Differs { .. } | TraceError::Outcome { .. } => EXIT_FAILURE,
        }
    }
}
