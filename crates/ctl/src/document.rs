//! Template files.

use std::{path::Path, sync::Arc};

use gorsespur_core::template::{Organisation, RawTemplate, check};
use gorsespur_runtime::settings::parse_yaml;
use snafu::ResultExt;

use crate::error::{CheckSnafu, CtlError, ParseSnafu, ReadSnafu};

/// Prefix of the first line that `show` prints. `apply` takes the edited version from that line.
const VERSION_LINE: &str = "# version: ";

/// A template file that passed all checks.
#[derive(Debug, Clone)]
pub struct Document {
    /// Template as written by the operator.
    pub raw: RawTemplate,
    /// Checked form of the template.
    pub template: Arc<Organisation>,
    /// Version that was edited, if the first line has one.
    pub version: Option<u64>,
}

impl Document {
    /// Reads and checks a template file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is malformed or doesn't pass the checks.
    pub fn read(path: &Path) -> Result<Document, CtlError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let raw: RawTemplate = parse_yaml(&text).context(ParseSnafu { path })?;
        let template = check(&raw).context(CheckSnafu { path })?;
        let first = text.lines().next().unwrap_or_default();
        let version = first
            .strip_prefix(VERSION_LINE)
            .and_then(|v| v.trim().parse().ok());
        Ok(Document {
            raw,
            template: Arc::new(template),
            version,
        })
    }
}

/// Formats a template as YAML, with its version in the first line, for editing and applying.
pub fn to_text(raw: &RawTemplate, version: u64) -> String {
    let yaml = serde_saphyr::to_string(raw).unwrap_or_default();
    format!("{VERSION_LINE}{version}\n{yaml}")
}
