//! The workers.

use std::sync::Arc;

use crate::{
    sorted::Sorted,
    worker::{Worker, WorkerInfo},
};

/// The workers by slot; a slot is never used again.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) workers: Vec<Worker>,
    slots: Sorted<Arc<str>, u32>,
    /// When leases of an earlier owner are over everywhere.
    inherited: u64,
}

impl Fleet {
    /// Makes a fleet without workers; leases of an earlier owner are over at `inherited`.
    pub(crate) fn new(inherited: u64) -> Fleet {
        Fleet {
            workers: Vec::new(),
            slots: Sorted::default(),
            inherited,
        }
    }

    /// Returns the slot of a worker's name, a new one if need be.
    pub(crate) fn slot(&mut self, id: &Arc<str>) -> u32 {
        if let Some(&slot) = self.slots.get(id) {
            return slot;
        }
        let slot = self.workers.len() as u32;
        self.workers.push(Worker::new(id.clone(), self.inherited));
        self.slots.insert(id.clone(), slot);
        slot
    }

    /// Takes what a worker announced and returns its slot.
    pub(crate) fn announce(&mut self, info: WorkerInfo, now: u64) -> u32 {
        let slot = self.slot(&info.id);
        let worker = self.get_mut(slot);
        if info.ready {
            worker.leaving = None;
        } else if worker.leaving.is_none() {
            worker.leaving = Some(now);
        }
        let old = worker.info.as_ref().filter(|_| worker.listed);
        if old.is_none_or(|o| o.ready != info.ready) {
            log::info!(worker = &*info.id, addr = info.addr.to_string().as_str(), ready = info.ready, remaining_ms = info.remaining; "worker: listed");
        }
        worker.listed = true;
        worker.info = Some(info);
        slot
    }

    /// Takes note that a worker's announcement is gone.
    pub(crate) fn unlist(&mut self, id: &Arc<str>) {
        let slot = self.slot(id);
        self.get_mut(slot).listed = false;
    }

    pub(crate) fn get(&self, slot: u32) -> &Worker {
        &self.workers[slot as usize]
    }

    pub(crate) fn get_mut(&mut self, slot: u32) -> &mut Worker {
        &mut self.workers[slot as usize]
    }
}
