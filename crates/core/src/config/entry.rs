//! A versioned template.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{name::Name, template::Organisation};

/// An organisation and the version of its template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Name of the organisation.
    pub org: Name,
    /// Version; never decreases.
    pub version: u64,
}

/// A template and its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Version; never decreases.
    pub version: u64,
    /// The validated template.
    pub template: Arc<Organisation>,
}
