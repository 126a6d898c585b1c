//! What the teams hold.

use crate::{name::Name, size::Size};

/// Use and quota of a team in a shard.
#[derive(Debug, Clone)]
pub(super) struct TeamUsage {
    pub org: Name,
    pub team: Name,
    pub used: Size,
    /// Share of the team's quota in this shard; none for services.
    pub quota: Option<Size>,
}

impl TeamUsage {
    /// Tells whether `size` more stays within the quota.
    pub fn fits_quota(&self, size: &Size) -> bool {
        self.quota
            .is_none_or(|q| self.used.saturating_add(size).fits_in(&q))
    }

    /// Returns the largest used fraction of the quota.
    pub fn load(&self) -> f64 {
        self.quota.map_or(0.0, |q| self.used.load(&q))
    }
}
