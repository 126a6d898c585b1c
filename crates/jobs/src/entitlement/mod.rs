//! Divides the capacity of each service among its queues while it is short.
//!
//! The load pattern is more demand than capacity: a burst, a wave of demand, or workers that
//! leave. Tasks that came first hold the capacity then, and long-running ones hold it for as long
//! as their callers like, so that short jobs of the same priority get what is left in pieces.
//! Every decision that divides capacity asks what a queue is entitled to: a higher priority goes
//! first, and queues of one priority get equal dominant shares, up to their demand.
//!
//! Limits: callers of one queue are not told apart, since requests don't name them. Demand of
//! tasks that end is their peak over the last seconds; a burst is known once its jobs have
//! arrived. An owner that has not heard all workers yet divides nothing.

mod metrics;
mod peaks;
mod room;

pub(crate) mod demand;
pub(crate) mod division;

#[cfg(test)]
mod division_tests;
#[cfg(test)]
mod peaks_tests;
#[cfg(test)]
mod room_tests;

pub use metrics::QueueShare;

use std::sync::Arc;

use crate::{
    entitlement::{
        demand::{Demand, QueueDemand},
        division::{Claim, Portion, divide},
        peaks::Peaks,
        room::{ServiceRoom, set_stranded},
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
    fn new(own: &QueueDemand) -> Entitlement {
        Entitlement {
            service: own.service.clone(),
            queue: own.queue.clone(),
            kind: own.kind,
            demand: own.demand,
            entitled: Capacity::default(),
            limit: Capacity::default(),
        }
    }

    /// Returns whether the queue holds less than it is entitled to while its tasks wait.
    pub(crate) fn is_short(&self) -> bool {
        let (held, waiting, entitled) = (self.demand.held, self.demand.waiting, self.entitled);
        waiting.cpu > 0 && held.cpu < entitled.cpu
            || waiting.memory > 0 && held.memory < entitled.memory
            || waiting.gpu > 0 && held.gpu < entitled.gpu
    }
}

/// The last division of the capacity.
#[derive(Debug, Default)]
pub(crate) struct Entitlements {
    /// Sorted by queue and kind.
    pub(crate) rows: Vec<Entitlement>,
    /// Capacity of each service, sorted by service.
    rooms: Vec<ServiceRoom>,
    peaks: Peaks,
    /// Queues that were short when this was last logged, sorted.
    short: Vec<(Arc<str>, WorkKind)>,
    divided_at: u64,
}

impl Scheduler {
    /// Divides the capacity anew if that is due.
    pub(crate) fn update_entitlements(&mut self) {
        if self.now < self.entitlements.divided_at + DIVISION_PERIOD_MS {
            return;
        }
        self.entitlements.divided_at = self.now;
        if self.entitlements.rows.is_empty() && !self.has_heard_workers() {
            return;
        }
        let mut rooms = ServiceRoom::of_fleet(&self.fleet);
        let mut demands = self.demands(&rooms);
        self.entitlements.peaks.record(self.now, &mut demands);
        set_stranded(&mut rooms, &self.fleet, &demands);
        self.entitlements.rows = entitlements(&rooms, &demands);
        self.entitlements.rooms = rooms;
        self.update_share_stats();
    }

    /// Returns whether the announcements are known and each worker has answered or fallen silent.
    /// Before that, the capacity would look smaller than it is.
    fn has_heard_workers(&self) -> bool {
        let mut announced = self.fleet.workers.iter().filter(|w| w.announced && !w.dead);
        self.fleet.is_fresh(self.now, &self.settings)
            && announced.all(|w| w.clock.is_some() || w.silent_since.is_some())
    }

    /// Returns what a queue is entitled to for a kind of work, as of the last division.
    pub(crate) fn entitlement(&self, queue: &str, kind: WorkKind) -> Option<&Entitlement> {
        let rows = &self.entitlements.rows;
        let at = rows.binary_search_by(|r| (&*r.queue, r.kind).cmp(&(queue, kind)));
        at.ok().map(|at| &rows[at])
    }
}

/// Divides each service's room among its queues.
fn entitlements(rooms: &[ServiceRoom], demands: &[QueueDemand]) -> Vec<Entitlement> {
    let mut rows: Vec<Entitlement> = demands.iter().map(Entitlement::new).collect();
    let mut services: Vec<&Arc<str>> = demands.iter().map(|d| &d.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        let room = ServiceRoom::find(rooms, service).map(ServiceRoom::usable);
        let members: Vec<usize> = (0..demands.len())
            .filter(|&i| demands[i].service == *service)
            .collect();
        let claims: Vec<Claim> = members.iter().map(|&i| demands[i].claim()).collect();
        let portions = divide(room.unwrap_or_default(), &claims);
        for (index, Portion { entitled, limit }) in members.into_iter().zip(portions) {
            (rows[index].entitled, rows[index].limit) = (entitled, limit);
        }
    }
    rows
}
