//! Divides the capacity of each service among its queues while it is short.
//!
//! The load pattern is more demand than capacity: a burst, a wave of demand, or workers that
//! leave. Tasks that came first hold the capacity then, and long-running ones hold it for as long
//! as their callers like, so that short jobs of the same priority get what is left in pieces.
//! Every decision that divides capacity asks what a queue is entitled to: a higher priority goes
//! first, and queues of one priority get equal dominant shares, up to their demand.
//!
//! Limits: callers of one queue are not told apart, since requests don't name them. Demand of
//! short jobs is their peak over the last seconds; a burst is known once its jobs have arrived.

pub(crate) mod demand;
pub(crate) mod division;

use std::sync::Arc;

use crate::{
    entitlement::{
        demand::{Demand, Peaks},
        division::{Claim, divide},
    },
    model::spec::Step,
    runs::worker::Capacity,
    scheduler::Scheduler,
};

/// Time between two divisions of the capacity, in milliseconds.
const DIVISION_PERIOD_MS: u64 = 200;

/// Kinds of work, which hold capacity for different times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WorkKind {
    /// Tasks that end, on reserved CPU.
    Short,
    /// Tasks that end, on the CPU that others leave.
    BestEffort,
    /// Tasks that run until their job is cancelled.
    LongRunning,
}

impl WorkKind {
    /// Returns the kind of a step.
    pub(crate) fn of(step: &Step) -> WorkKind {
        match (step.long_running, step.best_effort) {
            (true, _) => WorkKind::LongRunning,
            (false, true) => WorkKind::BestEffort,
            (false, false) => WorkKind::Short,
        }
    }
}

/// What a queue is entitled to for one kind of work.
#[derive(Debug, Clone)]
pub(crate) struct Entitlement {
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Name of the queue.
    pub(crate) queue: Arc<str>,
    /// Kind of work.
    pub(crate) kind: WorkKind,
    /// What the queue holds and asks for now.
    pub(crate) demand: Demand,
    /// What the queue is entitled to, at most its demand.
    pub(crate) entitled: Capacity,
    /// What the queue would be entitled to if its demand had no limit.
    pub(crate) limit: Capacity,
}

impl Entitlement {
    /// Returns whether the queue holds less than it is entitled to while its tasks wait.
    pub(crate) fn is_short(&self) -> bool {
        let held = self.demand.held;
        let waits = self.demand.waiting != Capacity::default();
        waits && (held.cpu < self.entitled.cpu || held.memory < self.entitled.memory)
    }
}

/// The last division of the capacity.
#[derive(Debug, Default)]
pub(crate) struct Entitlements {
    /// Sorted by queue and kind.
    pub(crate) rows: Vec<Entitlement>,
    peaks: Peaks,
    divided_at: u64,
}

impl Scheduler {
    /// Divides the capacity anew if that is due.
    pub(crate) fn update_entitlements(&mut self) {
        if self.now < self.entitlements.divided_at + DIVISION_PERIOD_MS {
            return;
        }
        self.entitlements.divided_at = self.now;
        let mut demands = self.demands();
        self.entitlements.peaks.record(self.now, &mut demands);
        let mut rows = Vec::with_capacity(demands.len());
        for (index, own) in demands.iter().enumerate() {
            let room = self.service_capacity(&own.service);
            let claims = demands.iter().filter(|d| d.service == own.service);
            let claims: Vec<Claim> = claims.map(|d| d.claim()).collect();
            let earlier = demands[..index].iter();
            let position = earlier.filter(|d| d.service == own.service).count();
            let entitled = divide(room, &claims)[position];
            let mut unlimited = claims;
            unlimited[position].demand = room;
            let limit = divide(room, &unlimited)[position];
            rows.push(Entitlement {
                service: own.service.clone(),
                queue: own.queue.clone(),
                kind: own.kind,
                demand: own.demand,
                entitled,
                limit,
            });
        }
        self.log_shortages(&rows);
        self.entitlements.rows = rows;
    }

    /// Logs which queues have become short of capacity, and which no longer are.
    fn log_shortages(&self, rows: &[Entitlement]) {
        for row in rows {
            let before = self.entitlement(&row.queue, row.kind);
            let (is_short, demand) = (row.is_short(), row.demand);
            if before.is_some_and(Entitlement::is_short) == is_short {
                continue;
            }
            log::info!(queue = &*row.queue, service = &*row.service, kind:? = row.kind, short = is_short, held = demand.held.cpu, waiting = demand.waiting.cpu, peak = demand.peak.cpu, entitled = row.entitled.cpu; "entitlement: changed");
        }
    }

    /// Returns the capacity of a service's workers that take new runs.
    pub(crate) fn service_capacity(&self, service: &Arc<str>) -> Capacity {
        let mut room = Capacity::default();
        for worker in &self.fleet.workers {
            let info = worker.info.as_ref().filter(|_| worker.is_available());
            if info.is_some_and(|i| i.service == *service) {
                room.add(worker.capacity());
            }
        }
        room
    }

    /// Returns what a queue is entitled to for a kind of work, as of the last division.
    pub(crate) fn entitlement(&self, queue: &str, kind: WorkKind) -> Option<&Entitlement> {
        let rows = &self.entitlements.rows;
        let at = rows.binary_search_by(|r| (&*r.queue, r.kind).cmp(&(queue, kind)));
        at.ok().map(|at| &rows[at])
    }
}
