//! The shards that this instance owns.

use std::sync::{Mutex, MutexGuard, PoisonError};

use flume::Sender;
use gorsespur_core::name::Name;

use crate::input::Input;

/// An owned shard and the channels to its threads.
#[derive(Debug, Clone)]
pub(crate) struct OwnedShard {
    pub index: u32,
    pub name: Name,
    pub input: Sender<Input>,
    /// Makes the inbox thread poll at once.
    pub wake_inbox: Sender<()>,
}

/// The owned shards, sorted by index.
#[derive(Debug, Default)]
pub(crate) struct OwnedShards {
    shards: Mutex<Vec<OwnedShard>>,
    /// Shards whose workers this process may command: from before the shard is
    /// acquired until its threads have ended.
    active: Mutex<Vec<u32>>,
}

impl OwnedShards {
    fn lock(&self) -> MutexGuard<'_, Vec<OwnedShard>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_active(&self) -> MutexGuard<'_, Vec<u32>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a shard as active before it is acquired.
    pub fn mark_active(&self, index: u32) {
        let mut active = self.lock_active();
        if !active.contains(&index) {
            active.push(index);
        }
    }

    /// Marks a shard as inactive: no thread of this process commands its workers.
    pub fn mark_inactive(&self, index: u32) {
        self.lock_active().retain(|i| *i != index);
    }

    /// Returns whether this process may command the shard's workers.
    pub fn is_active(&self, index: u32) -> bool {
        self.lock_active().contains(&index)
    }

    pub fn add(&self, shard: OwnedShard) {
        let mut shards = self.lock();
        match shards.binary_search_by_key(&shard.index, |s| s.index) {
            Ok(i) => shards[i] = shard,
            Err(i) => shards.insert(i, shard),
        }
    }

    pub fn remove(&self, index: u32) {
        self.lock().retain(|s| s.index != index);
    }

    pub fn get(&self, index: u32) -> Option<OwnedShard> {
        let shards = self.lock();
        let i = shards.binary_search_by_key(&index, |s| s.index).ok()?;
        Some(shards[i].clone())
    }

    pub fn find(&self, name: &str) -> Option<OwnedShard> {
        self.lock().iter().find(|s| *s.name == *name).cloned()
    }

    pub fn all(&self) -> Vec<OwnedShard> {
        self.lock().clone()
    }
}
