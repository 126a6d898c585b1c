//! Errors that stop the scheduler.

use gorsespur_peer::PeerError;
use gorsespur_runtime::{
    exit::{EXIT_FAILURE, HasExitCode},
    logging::LogError,
    metrics::MetricError,
    server::ServeError,
    settings::SettingsError,
};
use snafu::Snafu;

/// A reason why the scheduler can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SchedError {
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
    /// Peers can't be served.
    #[snafu(display("peers"))]
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

impl HasExitCode for SchedError {
    fn exit_code(&self) -> u8 {
        match self {
            SchedError::Settings { source } => source.exit_code(),
            SchedError::Log { .. }
            | SchedError::Metric { .. }
            | SchedError::Agent { .. }
            | SchedError::Serve { .. }
            | SchedError::System { .. } => EXIT_FAILURE,
        }
    }
}
