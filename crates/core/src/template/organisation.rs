//! An organisation's checked template.

use serde::{Deserialize, Serialize};

use super::{JobTemplate, OrgLimits, Service, Team, Weights};
use crate::name::Name;

/// A checked template; teams, services and jobs are sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// What it cares about.
    pub weights: Weights,
    /// Its limits.
    pub limits: OrgLimits,
    /// Its teams.
    pub teams: Vec<Team>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its kinds of jobs.
    pub jobs: Vec<JobTemplate>,
}

impl Organisation {
    /// Returns the team called `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let i = self.teams.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.teams[i])
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[i])
    }

    /// Returns the kind of job called `name`.
    pub fn job(&self, name: &str) -> Option<&JobTemplate> {
        let i = self.jobs.binary_search_by(|j| (*j.name).cmp(name)).ok()?;
        Some(&self.jobs[i])
    }
}
