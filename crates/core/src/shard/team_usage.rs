//! Resource usage of teams.

use crate::{name::Name, size::Size};

/// Usage and quota of a team in a shard.
#[derive(Debug, Clone)]
pub(super) struct TeamUsage {
    pub org: Name,
    pub team: Name,
    pub used: Size,
    /// Share of the team's quota for this shard; `None` for services.
    pub quota: Option<Size>,
}

impl TeamUsage {
    /// Returns whether the usage stays within the quota if `size` is added.
    pub fn fits_quota(&self, size: &Size) -> bool {
        self.quota
            .is_none_or(|q| self.used.saturating_add(size).fits_in(&q))
    }

    /// Returns the used fraction of the quota, the maximum over all resources.
    pub fn load(&self) -> f64 {
        self.quota.map_or(0.0, |q| self.used.load(&q))
    }
}
