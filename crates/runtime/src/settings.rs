//! Bounded reading of YAML documents.

use std::path::{Path, PathBuf};

use gorsespur_core::problem::Problems;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::exit::{EXIT_USAGE, HasExitCode};

/// Largest size of a settings file or template.
pub const MAX_YAML_BYTES: usize = 1 << 20;

/// An error of loading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't read the file", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not YAML of the expected structure.
    #[snafu(display("{}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The error and its position.
        source: YamlError,
    },
    /// The values are invalid.
    #[snafu(display("{}", path.display()))]
    Check {
        /// Path of the file.
        path: PathBuf,
        /// All problems found.
        source: Problems,
    },
}

impl HasExitCode for SettingsError {
    fn exit_code(&self) -> u8 {
        EXIT_USAGE
    }
}

/// An error of parsing a YAML document.
#[derive(Debug, Snafu)]
pub enum YamlError {
    /// The document is longer than [`MAX_YAML_BYTES`].
    #[snafu(display("document has {len} bytes, more than {MAX_YAML_BYTES}"))]
    TooLong {
        /// Length of the document in bytes.
        len: usize,
    },
    /// The document is malformed, or has an unknown key or a value of the wrong type.
    #[snafu(display("{message}"))]
    Malformed {
        /// The parser's message with line and column, on one line.
        message: String,
    },
}

/// Parses a YAML document. The parser's budget rejects alias bombs.
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

/// Reads, parses and checks a settings file.
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
