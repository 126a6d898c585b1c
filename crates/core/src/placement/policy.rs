//! Policies for choosing a worker.

use serde::{Deserialize, Serialize};

/// How a worker is chosen among those with room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Any worker with room; a baseline.
    Random,
    /// The worker with the lowest load; a baseline.
    LeastLoaded,
    /// The worker with the lowest expected interference and load.
    #[default]
    Interference,
}
