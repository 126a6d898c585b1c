//! The validated template of an organisation.

use serde::{Deserialize, Serialize};

use super::{JobTemplate, OrgLimits, Service, Team, Weights};
use crate::name::Name;

/// A validated template; teams, services and jobs are sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Weights of the placement objectives.
    pub weights: Weights,
    /// Limits of the organisation.
    pub limits: OrgLimits,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Job templates, sorted by name.
    pub jobs: Vec<JobTemplate>,
}

impl Organisation {
    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let i = self.teams.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.teams[i])
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[i])
    }

    /// Returns the job template with this name.
    pub fn job(&self, name: &str) -> Option<&JobTemplate> {
        let i = self.jobs.binary_search_by(|j| (*j.name).cmp(name)).ok()?;
        Some(&self.jobs[i])
    }
}
