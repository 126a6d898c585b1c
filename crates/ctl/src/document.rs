//! Templates as files.

use std::{path::Path, sync::Arc};

use gorsespur_core::template::{Organisation, RawTemplate, check};
use gorsespur_runtime::settings::parse_yaml;
use snafu::ResultExt;

use crate::error::{CheckSnafu, CtlError, ParseSnafu, ReadSnafu};

/// First line of a template that `show` printed.
const VERSION_LINE: &str = "# version: ";

/// A template that was read and checked.
#[derive(Debug, Clone)]
pub struct Document {
    /// What the operator wrote.
    pub raw: RawTemplate,
    /// The checked form.
    pub template: Arc<Organisation>,
    /// Version that was edited, if the first line names it.
    pub version: Option<u64>,
}

impl Document {
    /// Reads and checks a file.
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

/// Returns a template as a file that can be edited and applied.
pub fn to_text(raw: &RawTemplate, version: u64) -> String {
    let yaml = serde_saphyr::to_string(raw).unwrap_or_default();
    format!("{VERSION_LINE}{version}\n{yaml}")
}
