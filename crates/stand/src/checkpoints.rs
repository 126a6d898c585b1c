//! Storage of checkpoints.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use gorsespur_services::{HttpObjects, Objects};

/// Stores the progress of tasks.
pub trait Checkpoints: Send + Sync {
    /// Writes the progress in milliseconds and returns whether the write was confirmed.
    fn save(&self, key: &str, progress: u64) -> bool;

    /// Reads the progress in milliseconds; 0 if the checkpoint is absent or unreadable.
    fn load(&self, key: &str) -> u64;
}

/// Checkpoints in memory.
#[derive(Debug, Default)]
pub struct MemoryCheckpoints {
    saved: Mutex<BTreeMap<String, u64>>,
}

impl Checkpoints for MemoryCheckpoints {
    fn save(&self, key: &str, progress: u64) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        saved.insert(key.to_owned(), progress);
        true
    }

    fn load(&self, key: &str) -> u64 {
        let saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        saved.get(key).copied().unwrap_or(0)
    }
}

/// Checkpoints in the object store.
#[derive(Debug)]
pub struct StoredCheckpoints {
    objects: HttpObjects,
}

impl StoredCheckpoints {
    /// Returns checkpoints in the object store `objects`.
    pub fn new(objects: HttpObjects) -> StoredCheckpoints {
        StoredCheckpoints { objects }
    }
}

impl Checkpoints for StoredCheckpoints {
    fn save(&self, key: &str, progress: u64) -> bool {
        self.objects
            .put(key, progress.to_string().as_bytes())
            .is_ok()
    }

    fn load(&self, key: &str) -> u64 {
        let Ok(bytes) = self.objects.get(key) else {
            return 0;
        };
        let text = String::from_utf8(bytes).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}
