//! Availability zones and their shards.

use gorsespur_core::{
    hashing::{shard_of, stable_hash},
    name::Name,
    shard::{JobKey, ShardId},
};

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Name.
    pub name: Name,
    /// Number of its shards; all instances must have the same.
    pub shards: u32,
}

/// A shard and its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardAt {
    /// Place among all shards.
    pub place: ShardId,
    /// Its zone.
    pub zone: Name,
    /// Index in its zone.
    pub slot: u32,
    /// Number of shards in its zone.
    pub of: u32,
}

impl ShardAt {
    /// Tells whether a worker of the zone belongs to the shard.
    pub fn has_worker(&self, zone: &str, worker: &str) -> bool {
        *self.zone == *zone && shard_of(worker, self.of) == self.slot
    }
}

/// All shards of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    shards: Vec<ShardAt>,
}

impl Layout {
    /// Numbers the shards of all zones in the order of the list.
    pub fn new(zones: &[Zone]) -> Layout {
        let count = zones.iter().map(|z| z.shards).sum();
        let mut shards = Vec::new();
        for zone in zones {
            for slot in 0..zone.shards {
                let place = ShardId {
                    name: format!("{}.{slot}", zone.name).into(),
                    index: shards.len() as u32,
                    count,
                };
                shards.push(ShardAt {
                    place,
                    zone: zone.name.clone(),
                    slot,
                    of: zone.shards,
                });
            }
        }
        Layout { shards }
    }

    /// Returns all shards by index.
    pub fn shards(&self) -> &[ShardAt] {
        &self.shards
    }

    /// Returns the shard with this name.
    pub fn find(&self, name: &str) -> Option<&ShardAt> {
        self.shards.iter().find(|s| *s.place.name == *name)
    }

    /// Returns the shard of a zone that a new job goes to.
    pub fn home(&self, zone: &str, key: &JobKey) -> Option<&ShardAt> {
        let mine: Vec<&ShardAt> = self.shards.iter().filter(|s| *s.zone == *zone).collect();
        let n = mine.len() as u64;
        let i = stable_hash(&[&key.org, &key.id]).checked_rem(n)?;
        Some(mine[i as usize])
    }
}
