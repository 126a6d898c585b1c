//! Workers that start again under their names, and the rows by which owners know them.

use std::sync::Arc;

use gorsespur_jobs::{Capacity, Event, WorkerInfo};

use super::{SimWorker, World};

/// Where the first worker listens; the others follow.
const FIRST_PORT: u16 = 1000;

/// Where the first life listens that moves to another address.
const MOVED_PORT: u16 = 30_000;

/// What the clocks of first lives show when the world begins, in milliseconds.
const INITIAL_UPTIME_MS: u64 = 500_000;

/// How a worker starts again that keeps its name.
#[derive(Debug, Clone, Copy, Default)]
pub struct Restart {
    /// Whether the wall clock was set back, so that the later life seems the earlier one.
    pub clock_back: bool,
    /// Whether it listens at another address from then on.
    pub new_address: bool,
    /// Milliseconds until its row is told; that of the life before is there until then.
    pub row_delay_ms: u64,
}

impl World {
    /// Has the first lives say when they began, and writes their rows.
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

    /// Tells the newest owner of a worker.
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

    /// Tells a new owner of the workers that have rows.
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

    /// A worker's row is gone, though the worker may be there.
    pub fn expire_row(&mut self, at: usize) {
        self.rows[at] = None;
        self.notify(Event::WorkerRemoved(self.workers[at].id.clone()));
    }

    /// What a worker announces under a name.
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

    /// A worker's next life begins.
    pub(super) fn restart_worker(&mut self, at: usize) {
        let now = self.now;
        let old = &self.workers[at];
        let (id, rate, room, port) = (old.id.clone(), old.rate, old.capacity, old.port);
        if !self.settings.reuse_names {
            let name = format!("w{at}-{}", self.former_ids.len());
            self.former_ids.insert(id, at);
            self.workers[at] = SimWorker::new(&name, now, rate);
            self.workers[at].capacity = room;
            self.workers[at].port = port;
            return self.announce(at, true);
        }
        self.past_rows.push((at, self.row(at, id.clone(), true)));
        let born = match self.restart.clock_back {
            true => old.start_time.map(|b| b - 1000),
            false => Some(now),
        };
        let moved = MOVED_PORT + self.past_rows.len() as u16;
        let mut worker = SimWorker::new(&id, now, rate);
        worker.start_time = born;
        worker.uptime = 0;
        worker.port = if self.restart.new_address {
            moved
        } else {
            port
        };
        worker.capacity = room;
        self.workers[at] = worker;
        self.pending_rows
            .push((now + self.restart.row_delay_ms, at, born));
        self.publish_due_rows();
    }

    /// Tells of the lives whose rows are due.
    pub(super) fn publish_due_rows(&mut self) {
        let now = self.now;
        let due = |(t, _, _): &(u64, usize, Option<u64>)| *t <= now;
        while let Some(next) = self.pending_rows.iter().position(due) {
            let (_, at, born) = self.pending_rows.remove(next);
            if self.workers[at].start_time == born {
                self.announce(at, true);
            }
        }
    }

    /// Tells the newest owner again of all lives that have ended.
    pub fn republish_past_rows(&mut self) {
        for (_, row) in self.past_rows.clone() {
            self.notify(Event::WorkerUpdated(row));
        }
    }

    /// Two workers change addresses.
    pub fn swap_ports(&mut self, one: usize, other: usize) {
        let port = self.workers[one].port;
        self.workers[one].port = self.workers[other].port;
        self.workers[other].port = port;
    }

    /// The worker that listens at a port, or did when it was last up.
    pub(super) fn listener(&self, port: u16) -> Option<usize> {
        let usual = usize::from(port.wrapping_sub(FIRST_PORT));
        match self.workers.get(usual) {
            Some(worker) if worker.port == port => Some(usual),
            _ => self.workers.iter().position(|w| w.port == port),
        }
    }
}
