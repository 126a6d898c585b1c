//! The workers.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use crate::{
    runs::{
        incarnations::Incarnations,
        worker::{Worker, WorkerInfo},
    },
    settings::Settings,
    sorted_map::SortedMap,
};

/// The workers by slot, one for each life; a slot is never used again.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) workers: Vec<Worker>,
    /// The lives of each name.
    pub(super) incarnations: SortedMap<Arc<str>, Incarnations>,
    /// When leases of an earlier owner are over everywhere.
    pub(super) prior_leases_end: u64,
    /// Workers that changed since they were last asked for.
    changed: Vec<u32>,
    /// Workers to be seen to at a time.
    timers: BinaryHeap<Reverse<(u64, u32)>>,
    /// Names of services, each once.
    services: Vec<Arc<str>>,
    /// When the announcements were asked for that are all known.
    synced_at: u64,
    /// Availability zones whose workers get nothing new, sorted.
    evacuated: Arc<[Arc<str>]>,
}

impl Fleet {
    /// Makes a fleet without workers; leases of an earlier owner are over at `inherited`.
    pub(crate) fn new(prior_leases_end: u64) -> Fleet {
        Fleet {
            workers: Vec::new(),
            incarnations: SortedMap::default(),
            prior_leases_end,
            changed: Vec::new(),
            timers: BinaryHeap::new(),
            services: Vec::new(),
            synced_at: 0,
            evacuated: Arc::default(),
        }
    }

    /// Takes what a worker announced; true if that is new.
    ///
    /// Workers repeat themselves every other second, which is not worth a pass of placement.
    pub(crate) fn register(&mut self, mut info: WorkerInfo, now: u64) -> bool {
        info.service = self.service(&info.service);
        let Some(slot) = self.registering_slot(&info) else {
            return false;
        };
        let worker = self.get(slot);
        if worker.registered && worker.info.as_ref() == Some(&info) {
            return false;
        }
        let worker = self.get_mut(slot);
        if info.ready {
            worker.leaving_since = None;
        } else if worker.leaving_since.is_none() {
            worker.leaving_since = Some(now);
        }
        let old = worker.info.as_ref().filter(|_| worker.registered);
        if old.is_none_or(|o| o.ready != info.ready || o.start_time != info.start_time) {
            log::info!(worker = &*info.id, addr = info.addr.to_string().as_str(), ready = info.ready, remaining_ms = info.remaining_ms, born:? = info.start_time; "worker: listed");
        }
        worker.registered = true;
        if worker.registered_at == 0 {
            worker.registered_at = now;
        }
        worker.info = Some(info);
        let evacuated = self.is_evacuated(slot);
        self.get_mut(slot).evacuated = evacuated;
        true
    }

    /// Takes over which availability zones get nothing new.
    pub(crate) fn evacuate(&mut self, zones: Arc<[Arc<str>]>) {
        self.evacuated = zones;
        for slot in 0..self.workers.len() as u32 {
            self.workers[slot as usize].evacuated = self.is_evacuated(slot);
        }
    }

    pub(super) fn is_evacuated(&self, slot: u32) -> bool {
        let info = self.get(slot).info.as_ref();
        info.is_some_and(|i| self.evacuated.binary_search(&i.zone).is_ok())
    }

    /// Takes note that all announcements of a time are known.
    pub(crate) fn note_synced(&mut self, asked_at: u64) {
        self.synced_at = self.synced_at.max(asked_at);
    }

    /// Returns how old what is known of the workers' announcements is, in milliseconds.
    pub(crate) fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.synced_at)
    }

    /// Tells whether enough is known of the workers' announcements for something to begin.
    pub(crate) fn is_fresh(&self, now: u64, settings: &Settings) -> bool {
        self.age(now) <= settings.max_staleness
    }

    /// Takes note that a worker's announcement is gone.
    pub(crate) fn deregister(&mut self, id: &Arc<str>) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).registered = false;
        }
    }

    pub(crate) fn get(&self, slot: u32) -> &Worker {
        &self.workers[slot as usize]
    }

    /// Returns a worker to be changed, which [`Fleet::take_due`] then tells of.
    pub(crate) fn get_mut(&mut self, slot: u32) -> &mut Worker {
        let worker = &mut self.workers[slot as usize];
        if !worker.changed {
            worker.changed = true;
            self.changed.push(slot);
        }
        worker
    }

    /// Has a worker seen to at a time.
    pub(crate) fn set_timer(&mut self, slot: u32, at: u64) {
        self.timers.push(Reverse((at, slot)));
    }

    /// Returns the workers that changed, and those whose time has come.
    ///
    /// Going through all workers at each wake-up cost a third of an owner's time with
    /// 1,100 of them.
    pub(crate) fn take_due(&mut self, now: u64) -> Vec<u32> {
        while let Some(Reverse((at, slot))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.get_mut(slot);
        }
        let due = std::mem::take(&mut self.changed);
        for &slot in &due {
            self.workers[slot as usize].changed = false;
        }
        due
    }

    /// Returns the one copy of a service's name: equal names are the same place in memory.
    pub(crate) fn service(&mut self, name: &Arc<str>) -> Arc<str> {
        match self.services.binary_search(name) {
            Ok(at) => self.services[at].clone(),
            Err(at) => {
                self.services.insert(at, name.clone());
                name.clone()
            }
        }
    }
}
