//! Errors of recording and replaying traces.

use std::path::PathBuf;

use gorsespur_runtime::{
    exit::{EXIT_FAILURE, EXIT_USAGE, HasExitCode},
    settings::SettingsError,
};
use gorsespur_wire::codec::CodecError;
use snafu::Snafu;

/// Why a trace can't be recorded or read, or fails its replay.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TraceError {
    /// A trace file can't be opened, read or written.
    #[snafu(display("can't access trace file {}", path.display()))]
    File {
        /// Path of the trace.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The header or a frame can't be encoded or decoded.
    #[snafu(display("can't encode or decode the trace"))]
    Codec {
        /// Error of the codec.
        source: CodecError,
    },
    /// The trace has no complete header.
    #[snafu(display("trace has no complete header"))]
    Empty,
    /// The expected outcomes can't be loaded.
    #[snafu(display("can't load the expected outcomes"))]
    ExpectedOutcomes {
        /// Error of the settings loader.
        source: SettingsError,
    },
    /// The replayed actions of a step differ from the recorded ones.
    #[snafu(display("actions of step {step} at {now_ms} ms differ from the recorded ones"))]
    ActionsDiffer {
        /// Index of the step, from 0.
        step: usize,
        /// Recorded time of the step, in milliseconds.
        now_ms: u64,
    },
    /// An outcome differs from the expected one.
    #[snafu(display("{name} is {actual}, expected {expected}"))]
    OutcomeDiffers {
        /// Name of the outcome.
        name: &'static str,
        /// Value after the replay.
        actual: u64,
        /// Expected value.
        expected: u64,
    },
}

impl HasExitCode for TraceError {
    fn exit_code(&self) -> u8 {
        match self {
            TraceError::File { .. } | TraceError::Codec { .. } | TraceError::Empty => EXIT_USAGE,
            TraceError::ExpectedOutcomes { source } => source.exit_code(),
            TraceError::ActionsDiffer { .. } | TraceError::OutcomeDiffers { .. } => EXIT_FAILURE,
        }
    }
}
