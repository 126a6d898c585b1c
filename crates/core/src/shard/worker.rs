//! The owner's view of a worker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Allocation, AttemptId, TaskRef, WorkerInfo};
use crate::{Millis, name::Name, placement::History, size::Size};

/// What the owner thinks of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// No answer under this epoch yet.
    New,
    /// It answers.
    Good,
    /// It stopped answering; its leases are not renewed.
    Silent,
}

/// Room that is kept for a task that others are evicted for.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// The task.
    pub task: TaskRef,
    /// Its size.
    pub size: Size,
    /// End of the reservation.
    pub until: Millis,
}

/// How the tasks of a class ended on a worker.
#[derive(Debug, Clone, Copy)]
pub struct ClassStats {
    /// Class of the tasks.
    pub class: u16,
    /// Tasks that were done.
    pub done: u32,
    /// Tasks that failed.
    pub failed: u32,
}

/// Soft state of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name.
    pub name: Name,
    /// Rack.
    pub rack: Name,
    /// Address for exchanges.
    pub addr: SocketAddr,
    /// Address of its services.
    pub service_addr: SocketAddr,
    /// What it can hold.
    pub capacity: Size,
    /// What its allocations reserve.
    pub reserved: Size,
    /// Attempts on it, sorted by id.
    pub allocations: Vec<Allocation>,
    /// Health.
    pub health: Health,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether the membership list has it.
    pub listed: bool,
    /// Number of its last exchange.
    pub seq: u64,
    /// Whether an exchange is under way.
    pub awaiting_answer: bool,
    /// When the last exchange was sent.
    pub sent_at: Millis,
    /// When the last answer came.
    pub answered_at: Millis,
    /// Its boot; 0 before the first answer.
    pub boot: u64,
    /// Its clock in the last answer.
    pub last_clock: Millis,
    /// When that answer came.
    pub last_clock_at: Millis,
    /// Latest `last_clock_at` that a renewal was based on, by any owner.
    pub lease_start: Millis,
    /// Whether something new waits to be sent.
    pub dirty: bool,
    /// Ended attempts that it may forget after the record given.
    pub acks: Vec<(u64, AttemptId)>,
    /// Attempts that it runs and the book does not know.
    pub unknown_attempts: Vec<AttemptId>,
    /// Distinct tasks that failed in a row.
    pub failure_streak: Vec<TaskRef>,
    /// How tasks ended here, sorted by class.
    pub class_stats: Vec<ClassStats>,
    /// Quarantines in a row.
    pub quarantines: u32,
    /// End of the last quarantine.
    pub quarantined_until: Millis,
    /// Room that is kept for a task.
    pub reservation: Option<Reservation>,
    /// What ran when, to match late samples.
    pub history: History,
}

impl Worker {
    /// Returns a worker that was never heard of.
    ///
    /// `basis` is the latest time at which an earlier owner may have renewed.
    pub fn new(info: &WorkerInfo, now: Millis, lease_start: Millis) -> Worker {
        Worker {
            name: info.name.clone(),
            rack: info.rack.clone(),
            addr: info.addr,
            service_addr: info.target,
            capacity: info.size,
            reserved: Size::default(),
            allocations: Vec::new(),
            health: Health::New,
            leaving: info.leaving,
            listed: true,
            seq: 0,
            awaiting_answer: false,
            sent_at: 0,
            answered_at: now,
            boot: 0,
            last_clock: 0,
            last_clock_at: 0,
            lease_start,
            dirty: true,
            acks: Vec::new(),
            unknown_attempts: Vec::new(),
            failure_streak: Vec::new(),
            class_stats: Vec::new(),
            quarantines: 0,
            quarantined_until: 0,
            reservation: None,
            history: History::default(),
        }
    }

    /// Returns the room that is not reserved.
    pub fn available(&self) -> Size {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns the room that `task` may use.
    pub fn available_for(&self, task: TaskRef, now: Millis) -> Size {
        match &self.reservation {
            Some(r) if r.task != task && r.until > now => self.available().saturating_sub(&r.size),
            _ => self.available(),
        }
    }

    /// Tells whether it may be given tasks.
    ///
    /// After a quarantine it gets one task at a time until one is done.
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        let is_healthy = self.health == Health::Good && self.listed && !self.leaving;
        let has_task = self.allocations.iter().any(|r| !r.service);
        let is_trusted = self.quarantines == 0 || (now >= self.quarantined_until && !has_task);
        is_healthy && is_trusted && self.unknown_attempts.is_empty()
    }

    /// Counts the end of a task of `class`.
    pub fn record_end(&mut self, class: u16, done: bool) {
        let i = match self.class_stats.binary_search_by_key(&class, |t| t.class) {
            Ok(i) => i,
            Err(i) => {
                let new = ClassStats {
                    class,
                    done: 0,
                    failed: 0,
                };
                self.class_stats.insert(i, new);
                i
            }
        };
        let stats = &mut self.class_stats[i];
        if done {
            stats.done += 1;
        } else {
            stats.failed += 1;
        }
    }

    /// Returns how tasks of `class` ended here.
    pub fn stats_of(&self, class: u16) -> ClassStats {
        let none = ClassStats {
            class,
            done: 0,
            failed: 0,
        };
        let found = self.class_stats.binary_search_by_key(&class, |t| t.class);
        found.map_or(none, |i| self.class_stats[i])
    }

    /// Returns the resident with this id.
    pub fn allocation(&self, id: AttemptId) -> Option<&Allocation> {
        let i = self
            .allocations
            .binary_search_by_key(&id, |r| r.attempt)
            .ok()?;
        Some(&self.allocations[i])
    }

    /// Returns the resident with this id.
    pub fn allocation_mut(&mut self, id: AttemptId) -> Option<&mut Allocation> {
        let i = self
            .allocations
            .binary_search_by_key(&id, |r| r.attempt)
            .ok()?;
        Some(&mut self.allocations[i])
    }

    /// Adds a resident and reserves its room.
    pub fn add(&mut self, allocation: Allocation) {
        let Err(i) = self
            .allocations
            .binary_search_by_key(&allocation.attempt, |r| r.attempt)
        else {
            return;
        };
        self.reserved = self.reserved.saturating_add(&allocation.size);
        self.allocations.insert(i, allocation);
        self.dirty = true;
    }

    /// Removes a resident and frees its room.
    pub fn remove(&mut self, id: AttemptId) -> Option<Allocation> {
        let i = self
            .allocations
            .binary_search_by_key(&id, |r| r.attempt)
            .ok()?;
        let allocation = self.allocations.remove(i);
        self.reserved = self.reserved.saturating_sub(&allocation.size);
        Some(allocation)
    }
}
