//! Placement policies.

use serde::{Deserialize, Serialize};

/// Policy for the choice among the workers with free capacity for a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// A random worker; a baseline.
    Random,
    /// The worker with the lowest load; a baseline.
    LeastLoaded,
    /// The worker with the lowest weighted sum of expected interference and load.
    #[default]
    Interference,
}
