//! Soft state of a worker as seen by the shard's owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Allocation, AttemptId, TaskRef, WorkerInfo};
use crate::{Millis, name::Name, placement::History, size::Size};

/// Health of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It has not answered in this epoch yet.
    New,
    /// It answers.
    Good,
    /// It stopped answering; its leases are not renewed.
    Silent,
}

/// Resources that are reserved for one task after others were preempted for it.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// The task.
    pub task: TaskRef,
    /// Reserved size.
    pub size: Size,
    /// End of the reservation.
    pub until: Millis,
}

/// Number of ended tasks of a class on a worker.
#[derive(Debug, Clone, Copy)]
pub struct ClassStats {
    /// Class of the tasks.
    pub class: u16,
    /// Tasks that succeeded.
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
    /// Address at which services on the worker receive requests.
    pub service_addr: SocketAddr,
    /// Total resources.
    pub capacity: Size,
    /// Resources that its allocations reserve.
    pub reserved: Size,
    /// Allocations of attempts, sorted by attempt.
    pub allocations: Vec<Allocation>,
    /// Health.
    pub health: Health,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Whether the worker is in the membership list.
    pub listed: bool,
    /// Number of the last exchange.
    pub seq: u64,
    /// Whether the last exchange is unanswered.
    pub awaiting_answer: bool,
    /// When the last exchange was sent.
    pub sent_at: Millis,
    /// When the last answer arrived.
    pub answered_at: Millis,
    /// Worker's boot in the last answer; 0 before the first answer.
    pub boot: u64,
    /// Worker's clock in the last answer.
    pub last_clock: Millis,
    /// When the answer with `last_clock` arrived, by the owner's clock.
    pub last_clock_at: Millis,
    /// Latest possible start of a lease that any owner has renewed, by this owner's clock.
    pub lease_start: Millis,
    /// Whether there is a change to send.
    pub dirty: bool,
    /// Ended attempts to acknowledge, each with the number of the record that has to be committed
    /// first.
    pub acks: Vec<(u64, AttemptId)>,
    /// Running attempts that are not in the shard state; they are stopped.
    pub unknown_attempts: Vec<AttemptId>,
    /// Distinct tasks that failed in a row.
    pub failure_streak: Vec<TaskRef>,
    /// Numbers of ended tasks, sorted by class.
    pub class_stats: Vec<ClassStats>,
    /// Number of quarantines in a row.
    pub quarantines: u32,
    /// End of the last quarantine.
    pub quarantined_until: Millis,
    /// Resources that are reserved for a task.
    pub reservation: Option<Reservation>,
    /// Attempts by time, to match late samples.
    pub history: History,
}

impl Worker {
    /// Returns a worker that has not answered yet.
    ///
    /// `lease_start` is the latest time at which an earlier owner may have renewed leases.
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

    /// Returns the resources that are not reserved.
    pub fn available(&self) -> Size {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns the resources that `task` may use: another task's reservation is left out.
    pub fn available_for(&self, task: TaskRef, now: Millis) -> Size {
        match &self.reservation {
            Some(r) if r.task != task && r.until > now => self.available().saturating_sub(&r.size),
            _ => self.available(),
        }
    }

    /// Returns whether tasks may be placed on the worker.
    ///
    /// After a quarantine it is on probation: it gets one task at a time until one succeeds.
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

    /// Returns the numbers of ended tasks of `class`.
    pub fn stats_of(&self, class: u16) -> ClassStats {
        let none = ClassStats {
            class,
            done: 0,
            failed: 0,
        };
        let found = self.class_stats.binary_search_by_key(&class, |t| t.class);
        found.map_or(none, |i| self.class_stats[i])
    }

    /// Returns the allocation of an attempt.
    pub fn allocation(&self, id: AttemptId) -> Option<&Allocation> {
        let i = self
            .allocations
            .binary_search_by_key(&id, |r| r.attempt)
            .ok()?;
        Some(&self.allocations[i])
    }

    /// Returns the allocation of an attempt.
    pub fn allocation_mut(&mut self, id: AttemptId) -> Option<&mut Allocation> {
        let i = self
            .allocations
            .binary_search_by_key(&id, |r| r.attempt)
            .ok()?;
        Some(&mut self.allocations[i])
    }

    /// Adds an allocation and reserves its resources.
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

    /// Removes the allocation of an attempt and frees its resources.
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
