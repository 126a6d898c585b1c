//! Reading YAML documents within bounds.

use std::path::{Path, PathBuf};

use gorsespur_core::problem::Problems;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::exit::{EXIT_USAGE, HasExitCode};

/// Largest settings file or template in bytes.
pub const MAX_YAML_BYTES: usize = 1 << 20;

/// Why a settings file can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't read", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The file is not YAML of the expected shape.
    #[snafu(display("{}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong and where.
        source: YamlError,
    },
    /// The values don't pass the checks.
    #[snafu(display("{}", path.display()))]
    Check {
        /// The file.
        path: PathBuf,
        /// Every problem found.
        source: Problems,
    },
}

impl HasExitCode for SettingsError {
    fn exit_code(&self) -> u8 {
        EXIT_USAGE
    }
}

/// Why a text is not the expected YAML document.
#[derive(Debug, Snafu)]
pub enum YamlError {
    /// The document is longer than [`MAX_YAML_BYTES`].
    #[snafu(display("document has {len} bytes, more than {MAX_YAML_BYTES}"))]
    TooLong {
        /// Its length in bytes.
        len: usize,
    },
    /// The document is malformed, has an unknown key or a value of a wrong type.
    #[snafu(display("{message}"))]
    Malformed {
        /// The parser's message with line and column, on one line.
        message: String,
    },
}

/// Parses a YAML document; alias bombs exceed the parser's budget and fail.
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T, YamlError> {
    ensure!(
        text.len() <= MAX_YAML_BYTES,
        TooLongSnafu { len: text.len() }
    );
    serde_saphyr::from_str(text).map_err(|err| {
        let text = err.to_string();
        let message = text.lines().next().unwrap_or_default().to_owned();
        YamlError::Malformed { message }
    })
}

/// Reads a settings file and turns it into checked settings.
pub fn load<R, T>(
    path: &Path,
    check: impl FnOnce(R) -> Result<T, Problems>,
) -> Result<T, SettingsError>
where
    R: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let raw = parse_yaml(&text).context(ParseSnafu { path })?;
    check(raw).context(CheckSnafu { path })
}
