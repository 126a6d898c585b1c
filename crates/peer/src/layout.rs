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
    /// Number of shards; has to be the same on all instances.
    pub shards: u32,
}

/// A shard and its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneShard {
    /// Name and index among all shards.
    pub place: ShardId,
    /// Zone of the shard.
    pub zone: Name,
    /// Index in the zone.
    pub slot: u32,
    /// Number of shards in the zone.
    pub slot_count: u32,
}

impl ZoneShard {
    /// Returns whether a worker of `zone` belongs to the shard.
    pub fn has_worker(&self, zone: &str, worker: &str) -> bool {
        *self.zone == *zone && shard_of(worker, self.slot_count) == self.slot
    }
}

/// All shards of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    shards: Vec<ZoneShard>,
}

impl Layout {
    /// Creates a layout that numbers the shards in the order of the zones.
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
                shards.push(ZoneShard {
                    place,
                    zone: zone.name.clone(),
                    slot,
                    slot_count: zone.shards,
                });
            }
        }
        Layout { shards }
    }

    /// Returns all shards, sorted by index.
    pub fn shards(&self) -> &[ZoneShard] {
        &self.shards
    }

    /// Returns the shard with this name.
    pub fn find(&self, name: &str) -> Option<&ZoneShard> {
        self.shards.iter().find(|s| *s.place.name == *name)
    }

    /// Returns the shard of the zone that a new job is assigned to; `None` if it has no shards.
    pub fn shard_for_job(&self, zone: &str, key: &JobKey) -> Option<&ZoneShard> {
        let in_zone: Vec<&ZoneShard> = self.shards.iter().filter(|s| *s.zone == *zone).collect();
        let n = in_zone.len() as u64;
        let i = stable_hash(&[&key.org, &key.id]).checked_rem(n)?;
        Some(in_zone[i as usize])
    }
}
