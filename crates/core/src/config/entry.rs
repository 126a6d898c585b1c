//! A template in force and its version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{name::Name, template::Organisation};

/// An organisation and the version of its template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Organisation.
    pub org: Name,
    /// Version; only grows.
    pub version: u64,
}

/// A template and its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Version; only grows.
    pub version: u64,
    /// The checked template.
    pub template: Arc<Organisation>,
}
