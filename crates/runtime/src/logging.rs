//! Logging with `log` and `fern`, as text or as one JSON object per line.

use std::{io, path::PathBuf};

use log::LevelFilter;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{
    clock::wall_ms,
    exit::{EXIT_FAILURE, HasExitCode},
};

/// Log target that is muted: the library logs each timeout of a connection as an error.
const MUTED_TARGET: &str = "tiny_http";

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level, program and message.
    #[default]
    Text,
    /// The same fields as a JSON object.
    Json,
}

/// Lowest level that is logged.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator's attention.
    Error,
    /// Failures that the system handles on its own.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single decisions.
    Debug,
}

/// Settings of logging.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is logged.
    pub level: LogLevel,
    /// File to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

/// An error of starting the log.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The log file can't be opened.
    #[snafu(display("{}: can't open the log file", path.display()))]
    Open {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A logger is already installed.
    #[snafu(display("a logger is already installed"))]
    AlreadyStarted {
        /// The library's error.
        source: log::SetLoggerError,
    },
}

impl HasExitCode for LogError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}

#[derive(Serialize)]
struct Line<'a> {
    ms: u64,
    level: &'a str,
    program: &'a str,
    id: &'a str,
    message: &'a str,
}

/// Installs the logger of `program`, running as instance `id`.
pub fn start(settings: &LogSettings, program: &'static str, id: &str) -> Result<(), LogError> {
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let format = settings.format;
    let id = id.to_owned();
    let mut dispatch = fern::Dispatch::new()
        .level(level)
        .level_for(MUTED_TARGET, LevelFilter::Off)
        .format(move |out, message, record| {
            let (ms, level) = (wall_ms(), record.level().as_str());
            match format {
                LogFormat::Text => {
                    out.finish(format_args!("{ms} {level} {program}[{id}] {message}"))
                }
                LogFormat::Json => {
                    let message = message.to_string();
                    let line = Line {
                        ms,
                        level,
                        program,
                        id: &id,
                        message: &message,
                    };
                    let text = serde_json::to_string(&line).unwrap_or_default();
                    out.finish(format_args!("{text}"));
                }
            }
        });
    dispatch = match &settings.file {
        None => dispatch.chain(io::stderr()),
        Some(path) => dispatch.chain(fern::log_file(path).context(OpenSnafu { path })?),
    };
    dispatch.apply().context(AlreadyStartedSnafu)
}
