//! Errors that stop the entry.

use gorsespur_peer::PeerError;
use gorsespur_runtime::{
    exit::{EXIT_FAILURE, HasExitCode},
    logging::LogError,
    metrics::MetricError,
    server::ServeError,
    settings::SettingsError,
};
use snafu::Snafu;

/// A reason why the entry can't start.
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
    /// The peer agent can't start.
    #[snafu(display("agent"))]
    Agent {
        /// The reason.
        source: PeerError,
    },
    /// Callers or peers can't be served.
    #[snafu(display("can't serve callers or peers"))]
    Serve {
        /// The reason.
        source: ServeError,
    },
    /// A thread or the signal handler can't be started.
    #[snafu(display("can't start a thread or handle signals"))]
    System {
        /// The error of the operating system.
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
