//! The set of workers.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use crate::{
    runs::{incarnations::Incarnations, worker::Worker, worker_info::WorkerInfo},
    settings::Settings,
    sorted_map::SortedMap,
};

/// The workers by slot. Each incarnation has a slot of its own, which is never reused.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) workers: Vec<Worker>,
    /// The incarnations by the name of the worker.
    pub(super) incarnations: SortedMap<Arc<str>, Incarnations>,
    /// When every lease from earlier owners has expired on all workers.
    pub(super) prior_leases_end: u64,
    /// Workers that changed since the last [`Fleet::take_due`].
    changed: Vec<u32>,
    /// Timers, as due time and slot of the worker.
    timers: BinaryHeap<Reverse<(u64, u32)>>,
    /// Interned names of services, sorted.
    services: Vec<Arc<str>>,
    /// When the last complete set of announcements was requested.
    synced_at: u64,
    /// Evacuated availability zones, sorted. Their workers get no new runs.
    evacuated: Arc<[Arc<str>]>,
}

impl Fleet {
    /// Creates a fleet without workers; all leases from earlier owners have expired at
    /// `prior_leases_end`.
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

    /// Updates the announcement of a worker. Returns whether the announcement is new.
    ///
    /// Workers repeat their announcements every other second, which must not trigger a pass of
    /// placement.
    pub(crate) fn update_announcement(&mut self, mut info: WorkerInfo, now: u64) -> bool {
        info.service = self.service(&info.service);
        let Some(slot) = self.announced_slot(&info) else {
            return false;
        };
        let worker = self.get(slot);
        if worker.announced && worker.info.as_ref() == Some(&info) {
            return false;
        }
        let worker = self.get_mut(slot);
        if info.ready {
            worker.leaving_since = None;
        } else if worker.leaving_since.is_none() {
            worker.leaving_since = Some(now);
        }
        let old = worker.info.as_ref().filter(|_| worker.announced);
        if old.is_none_or(|o| o.ready != info.ready || o.start_time != info.start_time) {
            log::info!(worker = &*info.id, addr = info.addr.to_string().as_str(), ready = info.ready, remaining_ms = info.remaining_ms, born:? = info.start_time; "worker: listed");
        }
        worker.announced = true;
        if worker.announced_at == 0 {
            worker.announced_at = now;
        }
        worker.info = Some(info);
        let evacuated = self.is_evacuated(slot);
        self.get_mut(slot).evacuated = evacuated;
        true
    }

    /// Sets the evacuated availability zones.
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

    /// Records that all announcements as of `asked_at` have been received.
    pub(crate) fn record_sync(&mut self, asked_at: u64) {
        self.synced_at = self.synced_at.max(asked_at);
    }

    /// Returns the age of the announcements, in milliseconds.
    pub(crate) fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.synced_at)
    }

    /// Returns whether the announcements are recent enough to place runs.
    pub(crate) fn is_fresh(&self, now: u64, settings: &Settings) -> bool {
        self.age(now) <= settings.max_staleness
    }

    /// Records that the announcement of a worker was removed.
    pub(crate) fn remove_announcement(&mut self, id: &Arc<str>) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).announced = false;
        }
    }

    pub(crate) fn get(&self, slot: u32) -> &Worker {
        &self.workers[slot as usize]
    }

    /// Returns a mutable reference to a worker, which [`Fleet::take_due`] then returns.
    pub(crate) fn get_mut(&mut self, slot: u32) -> &mut Worker {
        let worker = &mut self.workers[slot as usize];
        if !worker.changed {
            worker.changed = true;
            self.changed.push(slot);
        }
        worker
    }

    /// Sets a timer, after which [`Fleet::take_due`] returns the worker.
    pub(crate) fn set_timer(&mut self, slot: u32, at: u64) {
        self.timers.push(Reverse((at, slot)));
    }

    /// Returns the workers that changed or whose timer is due.
    ///
    /// Checking all workers at each wake-up instead takes a third of an owner's time with 1,100
    /// workers.
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

    /// Interns the name of a service: equal names share one allocation.
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
