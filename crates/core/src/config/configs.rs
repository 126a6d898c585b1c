//! The set of templates that an instance has applied.

use std::sync::Arc;

use super::{ConfigEntry, ConfigVersion};
use crate::template::Organisation;

/// The newest known template of each organisation.
#[derive(Debug, Clone, Default)]
pub struct Configs {
    entries: Vec<ConfigEntry>,
    head: u64,
}

impl Configs {
    /// Applies an entry if it is newer than the current one of its organisation.
    ///
    /// Returns whether the entry was applied.
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

    /// Returns the current entry of an organisation.
    pub fn get(&self, org: &str) -> Option<&ConfigEntry> {
        let i = self
            .entries
            .binary_search_by(|e| (*e.template.name).cmp(org))
            .ok()?;
        Some(&self.entries[i])
    }

    /// Returns all entries, sorted by organisation.
    pub fn entries(&self) -> &[ConfigEntry] {
        &self.entries
    }

    /// Returns all templates, sorted by organisation.
    pub fn templates(&self) -> Vec<Arc<Organisation>> {
        self.entries.iter().map(|e| e.template.clone()).collect()
    }

    /// Returns the number of the last configuration change that is fully applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Records that all changes up to `head` are applied; an older `head` changes nothing.
    pub fn advance_head(&mut self, head: u64) {
        self.head = self.head.max(head);
    }

    /// Returns the current version of each organisation, sorted by organisation.
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

    /// Returns the entries that are newer than in `known`, which must be sorted by organisation.
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
