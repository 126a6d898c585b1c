//! Injection of faults into the simulation, and their ends.

use gorsespur_core::{Millis, shard::Event, template::Priority};
use gorsespur_stand::{Entry, EntryKind, WorkerFaults};

use super::{
    Fault, World,
    owner::Owner,
    spec,
    world::{FAULT_MS, ScheduledUndo, Undo},
};

impl World {
    /// Injects a fault; `pick` selects the worker or the jobs.
    pub fn inject(&mut self, fault: Fault, pick: usize) {
        let w = pick % self.nodes.len();
        let end = self.now + FAULT_MS;
        match fault {
            Fault::OwnerDies => {
                for o in &mut self.owners {
                    o.dead = true;
                }
            }
            Fault::OwnerPaused => self.inject_at_owner(end, |o| o.paused = true, Undo::Owner),
            Fault::StoreDown => {
                self.store_down = true;
                self.undo_at(end, Undo::Store);
            }
            Fault::OwnerCutFromStore => {
                self.inject_at_owner(end, |o| o.store_unreachable = true, Undo::StoreLink)
            }
            Fault::WorkerDies => {
                let live = self.nodes.iter().filter(|n| n.sim.is_some()).count();
                if live > 2 {
                    self.kill_worker(w);
                }
            }
            Fault::RackDies => {
                let live = self.nodes.iter().filter(|n| n.sim.is_some()).count();
                if live > 3 {
                    let first = w / 2 * 2;
                    for w in first..(first + 2).min(self.nodes.len()) {
                        self.kill_worker(w);
                    }
                }
            }
            Fault::WorkerReboots => {
                let mut node = self.nodes.swap_remove(w);
                let clock = node.clock(self.now);
                if let Some(sim) = &mut node.sim {
                    sim.expire_leases(clock);
                    self.boot(&mut node);
                }
                self.nodes.push(node);
                let last = self.nodes.len() - 1;
                self.nodes.swap(w, last);
            }
            Fault::WorkerCut => {
                self.nodes[w].unreachable = true;
                self.undo_at(self.now + 4 * FAULT_MS, Undo::Worker(w));
            }
            Fault::WorkerKeepsOwner => {
                let epoch = self.row.epoch;
                let owner = self.owners.iter().position(|o| o.epoch == epoch);
                self.nodes[w].only_owner = owner;
                self.undo_at(self.now + 4 * FAULT_MS, Undo::Worker(w));
            }
            Fault::WorkerPaused => {
                self.nodes[w].paused = true;
                self.undo_at(self.now + 4 * FAULT_MS, Undo::Worker(w));
            }
            Fault::AnswersLost => {
                self.nodes[w].loses_answers = true;
                self.undo_at(end, Undo::Worker(w));
            }
            Fault::RequestsLate => {
                self.nodes[w].delays_requests = true;
                self.undo_at(self.now + 4 * FAULT_MS, Undo::Worker(w));
            }
            Fault::RequestsTwice => {
                self.nodes[w].duplicates_requests = true;
                self.undo_at(end, Undo::Worker(w));
            }
            Fault::WorkerFailsAll => {
                if let Some(sim) = &mut self.nodes[w].sim {
                    sim.set_faults(WorkerFaults {
                        fail_all: true,
                        ..WorkerFaults::default()
                    });
                }
                self.undo_at(end, Undo::Fails(w));
            }
            Fault::WorkerLeaves => {
                let staying = self
                    .nodes
                    .iter()
                    .filter(|n| !n.leaving && n.sim.is_some())
                    .count();
                if staying > 2 {
                    self.nodes[w].leaving = true;
                }
            }
            Fault::Cancels => self.cancel_some(pick),
            Fault::UrgentComes => {
                self.urgent_count += 1;
                let id = format!("urgent{}", self.urgent_count);
                self.submit(spec(&id, 1, 500, Priority::Urgent));
            }
        }
    }

    fn inject_at_owner(&mut self, end: Millis, f: impl Fn(&mut Owner), undo: fn(usize) -> Undo) {
        let epoch = self.row.epoch;
        let Some(i) = self.owners.iter().position(|o| o.epoch == epoch && !o.dead) else {
            return;
        };
        f(&mut self.owners[i]);
        self.undo_at(end, undo(i));
    }

    fn undo_at(&mut self, at: Millis, what: Undo) {
        self.scheduled_undos.push(ScheduledUndo { at, what });
    }

    pub fn undo(&mut self, what: Undo) {
        match what {
            Undo::Owner(i) => self.owners[i].paused = false,
            Undo::Store => self.store_down = false,
            Undo::StoreLink(i) => self.owners[i].store_unreachable = false,
            Undo::Worker(w) => {
                let node = &mut self.nodes[w];
                node.unreachable = false;
                node.only_owner = None;
                node.paused = false;
                node.loses_answers = false;
                node.delays_requests = false;
                node.duplicates_requests = false;
            }
            Undo::Fails(w) => {
                if let Some(sim) = &mut self.nodes[w].sim {
                    sim.set_faults(WorkerFaults::default());
                }
            }
        }
    }

    /// Kills a worker permanently and removes it from the membership list.
    pub fn kill_worker(&mut self, w: usize) {
        let node = &mut self.nodes[w];
        let clock = node.clock(self.now);
        let Some(mut sim) = node.sim.take() else {
            return;
        };
        sim.expire_leases(clock);
        node.listed = false;
        self.ledger.append(Entry {
            ms: self.now,
            worker: node.name.to_string(),
            what: EntryKind::Killed,
            name: String::new(),
            attempt: String::new(),
            service: false,
        });
    }

    fn cancel_some(&mut self, pick: usize) {
        let mut keys = Vec::new();
        for (i, (key, _)) in self.submitted.iter().enumerate() {
            if i % 4 == pick % 4 {
                keys.push(key.clone());
            }
        }
        let epoch = self.row.epoch;
        if let Some(i) = self.owners.iter().position(|o| o.epoch == epoch && !o.dead) {
            self.handle_event(i, &Event::Cancel(keys));
        }
    }
}
