//! Errors that end the entry.

use gorsespur_peer::PeerError;
use gorsespur_runtime::{
    exit::{EXIT_FAILURE, HasExitCode},
    logging::LogError,
    metrics::MetricError,
    server::ServeError,
    settings::SettingsError,
};
use snafu::Snafu;

/// Why the entry can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// The settings are unusable.
    #[snafu(display("settings"))]
    Settings {
        /// The reason.
        source: SettingsError,
    },
    /// Logging can't start.
    #[snafu(display("log"))]
    Log {
        /// The reason.
        source: LogError,
    },
    /// Metrics can't start.
    #[snafu(display("metrics"))]
    Metric {
        /// The reason.
        source: MetricError,
    },
    /// The agent can't start.
    #[snafu(display("agent"))]
    Agent {
        /// The reason.
        source: PeerError,
    },
    /// Callers or peers can't be served.
    #[snafu(display("can't serve"))]
    Serve {
        /// The reason.
        source: ServeError,
    },
    /// A thread can't be started or signals can't be handled.
    #[snafu(display("the system refused"))]
    System {
        /// The system's answer.
        source: std::io::Error,
    },
}

impl HasExitCode for EntryError {
    fn exit_code(&self) -> u8 {
        match self {
            EntryError::Settings { source } => source.exit_code(),
            EntryError::Log { .. }
            | EntryError::Metric { .. }
            | EntryError::Agent { .. }
            | EntryError::Serve { .. }
            | EntryError::System { .. } => EXIT_FAILURE,
        }
    }
}
