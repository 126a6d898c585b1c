//! Teams and their quotas.

use serde::{Deserialize, Serialize};

use crate::{name::Name, size::Size};

/// A team that submits jobs within a quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name, unique in the organisation.
    pub name: Name,
    /// Maximum total size of the tasks that run at one time, over all zones.
    pub quota: Size,
}
