//! Workers that restart under the same or a new name, and the rows that announce them to owners.

use std::sync::Arc;

use gorsespur_jobs::{Capacity, Event, WorkerInfo};

use super::{SimWorker, World};

/// Port of the first worker; the others use the following ports.
const FIRST_PORT: u16 = 1000;

/// Port of the first incarnation that moves to another address.
const MOVED_PORT: u16 = 30_000;

/// Clock of each worker's first incarnation when the simulation begins, in milliseconds.
const INITIAL_UPTIME_MS: u64 = 500_000;

/// How a worker that keeps its name restarts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Restart {
    /// Whether the wall clock was set back, so that the new incarnation has the earlier start
    /// time.
    pub clock_back: bool,
    /// Whether the new incarnation listens at another address.
    pub new_address: bool,
    /// Milliseconds until the row of the new incarnation is published. The row of the previous one
    /// stays until then.
    pub row_delay_ms: u64,
}

impl World {
    /// Sets the start times of the first incarnations and writes their rows.
    pub(super) fn init_workers(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            worker.port = FIRST_PORT + at as u16;
            if self.settings.reuse_names {
                worker.start_time = Some(self.now - 60_000 - at as u64);
                worker.uptime = INITIAL_UPTIME_MS;
            }
            let row = self.row(at, self.workers[at].id.clone(), true);
            self.rows.push(Some(row));
        }
    }

    /// Publishes a worker's row to the newest owner.
    pub fn announce(&mut self, at: usize, ready: bool) {
        let worker = &self.workers[at];
        if worker.partitioned || !worker.alive {
            return;
        }
        let id = worker.id.clone();
        if self.settings.reuse_names {
            self.expiring_rows.retain(|(_, gone)| *gone != id);
        }
        let row = self.row(at, id, ready);
        self.rows[at] = Some(row.clone());
        self.notify(Event::WorkerUpdated(row));
    }

    /// Publishes the rows of all workers to a new owner.
    pub(super) fn announce_all(&mut self) {
        if self.settings.reuse_names {
            for row in self.rows.clone().into_iter().flatten() {
                self.notify(Event::WorkerUpdated(row));
            }
            return;
        }
        for (_, id) in self.expiring_rows.clone() {
            let at = self.workers.iter().position(|w| w.id == id);
            let at = at.unwrap_or_else(|| self.former_ids[&id]);
            let row = self.row(at, id, true);
            self.notify(Event::WorkerUpdated(row));
        }
        for at in 0..self.workers.len() {
            self.announce(at, true);
        }
    }

    /// Removes a worker's row, although the worker may be running.
    pub fn expire_row(&mut self, at: usize) {
        self.rows[at] = None;
        self.notify(Event::WorkerRemoved(self.workers[at].id.clone()));
    }

    /// Returns the row that a worker announces under a name.
    fn row(&self, at: usize, id: Arc<str>, ready: bool) -> WorkerInfo {
        let worker = &self.workers[at];
        WorkerInfo {
            id,
            start_time: worker.start_time,
            addr: ([127, 0, 0, 1], worker.port).into(),
            service: "s".into(),
            zone: World::zone(at),
            labels: vec!["a".into(), format!("r{}", at / 2).into()],
            rack: format!("r{}", at / 2).into(),
            capacity: Capacity {
                cpu: worker.capacity.0,
                memory: worker.capacity.1,
                gpu: 0,
            },
            ready,
            remaining_ms: if ready { 0 } else { 2000 },
        }
    }

    /// Starts a worker's next incarnation.
    pub(super) fn restart_worker(&mut self, at: usize) {
        let now = self.now;
        let old = &self.workers[at];
        let (id, rate, capacity, port) = (old.id.clone(), old.rate, old.capacity, old.port);
        if !self.settings.reuse_names {
            let name = format!("w{at}-{}", self.former_ids.len());
            self.former_ids.insert(id, at);
            self.workers[at] = SimWorker::new(&name, now, rate);
            self.workers[at].capacity = capacity;
            self.workers[at].port = port;
            return self.announce(at, true);
        }
        self.past_rows.push((at, self.row(at, id.clone(), true)));
        let start_time = match self.restart.clock_back {
            true => old.start_time.map(|b| b - 1000),
            false => Some(now),
        };
        let moved = MOVED_PORT + self.past_rows.len() as u16;
        let mut worker = SimWorker::new(&id, now, rate);
        worker.start_time = start_time;
        worker.uptime = 0;
        worker.port = if self.restart.new_address {
            moved
        } else {
            port
        };
        worker.capacity = capacity;
        self.workers[at] = worker;
        self.pending_rows
            .push((now + self.restart.row_delay_ms, at, start_time));
        self.publish_due_rows();
    }

    /// Publishes the rows of new incarnations that are due.
    pub(super) fn publish_due_rows(&mut self) {
        let now = self.now;
        let due = |(t, _, _): &(u64, usize, Option<u64>)| *t <= now;
        while let Some(next) = self.pending_rows.iter().position(due) {
            let (_, at, start_time) = self.pending_rows.remove(next);
            if self.workers[at].start_time == start_time {
                self.announce(at, true);
            }
        }
    }

    /// Publishes the rows of all ended incarnations to the newest owner again.
    pub fn republish_past_rows(&mut self) {
        for (_, row) in self.past_rows.clone() {
            self.notify(Event::WorkerUpdated(row));
        }
    }

    /// Swaps the addresses of two workers.
    pub fn swap_ports(&mut self, one: usize, other: usize) {
        let port = self.workers[one].port;
        self.workers[one].port = self.workers[other].port;
        self.workers[other].port = port;
    }

    /// Returns the worker that listens at a port, or that did so when it last ran.
    pub(super) fn listener(&self, port: u16) -> Option<usize> {
        let index = usize::from(port.wrapping_sub(FIRST_PORT));
        match self.workers.get(index) {
            Some(worker) if worker.port == port => Some(index),
            _ => self.workers.iter().position(|w| w.port == port),
        }
    }
}
