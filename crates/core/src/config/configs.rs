//! The set of templates in force.

use std::sync::Arc;

use super::{ConfigEntry, ConfigVersion};
use crate::template::Organisation;

/// Templates by organisation.
#[derive(Debug, Clone, Default)]
pub struct Configs {
    entries: Vec<ConfigEntry>,
    head: u64,
}

impl Configs {
    /// Takes over an entry if it is newer than the one in force.
    pub fn update(&mut self, entry: &ConfigEntry) -> bool {
        let name = &entry.template.name;
        match self.entries.binary_search_by(|e| e.template.name.cmp(name)) {
            Ok(i) if self.entries[i].version >= entry.version => false,
            Ok(i) => {
                self.entries[i] = entry.clone();
                true
            }
            Err(i) => {
                self.entries.insert(i, entry.clone());
                true
            }
        }
    }

    /// Returns the template of an organisation.
    pub fn get(&self, org: &str) -> Option<&ConfigEntry> {
        let i = self
            .entries
            .binary_search_by(|e| (*e.template.name).cmp(org))
            .ok()?;
        Some(&self.entries[i])
    }

    /// Returns every entry, sorted by organisation.
    pub fn entries(&self) -> &[ConfigEntry] {
        &self.entries
    }

    /// Returns every template.
    pub fn templates(&self) -> Vec<Arc<Organisation>> {
        self.entries.iter().map(|e| e.template.clone()).collect()
    }

    /// Returns the number of the last change that is wholly in force here.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Takes note that every change up to `head` was offered.
    pub fn advance_head(&mut self, head: u64) {
        self.head = self.head.max(head);
    }

    /// Returns the versions in force.
    pub fn versions(&self) -> Vec<ConfigVersion> {
        let mut out = Vec::with_capacity(self.entries.len());
        for e in &self.entries {
            out.push(ConfigVersion {
                org: e.template.name.clone(),
                version: e.version,
            });
        }
        out
    }

    /// Returns the entries that are newer than `known`, which is sorted by organisation.
    pub fn newer_than(&self, known: &[ConfigVersion]) -> Vec<ConfigEntry> {
        let mut out = Vec::new();
        for e in &self.entries {
            let found = known.binary_search_by(|k| k.org.cmp(&e.template.name));
            let known_version = found.map_or(0, |i| known[i].version);
            if e.version > known_version {
                out.push(e.clone());
            }
        }
        out
    }
}
