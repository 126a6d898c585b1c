//! What operators see of the division: metrics by queue, and a log line where a queue becomes
//! short.

use std::sync::Arc;

use crate::{
    entitlement::{Entitlement, WorkKind},
    runs::worker::Capacity,
    scheduler::Scheduler,
};

/// Share of a queue for one kind of work, as a gauge for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueShare {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Kind of work: `short`, `best_effort` or `long_running`.
    pub kind: &'static str,
    /// Capacity of its runs on available workers.
    pub held: Capacity,
    /// Capacity that its waiting tasks ask for.
    pub waiting: Capacity,
    /// Capacity that it is entitled to.
    pub entitled: Capacity,
    /// Whether it holds less than it is entitled to while its tasks wait.
    pub is_short: bool,
}

impl WorkKind {
    fn name(self) -> &'static str {
        match self {
            WorkKind::Short => "short",
            WorkKind::BestEffort => "best_effort",
            WorkKind::LongRunning => "long_running",
        }
    }
}

impl Scheduler {
    /// Sets the gauges of the last division.
    pub(super) fn update_share_stats(&mut self) {
        let entitlements = &self.entitlements;
        let short = entitlements.rows.iter().filter(|r| r.is_short());
        self.stats.short_queues = short.count() as u64;
        self.stats.stranded_cpu = entitlements.rooms.iter().map(|r| r.stranded_cpu).sum();
    }

    /// Returns the shares of the queues that claimed any capacity in the last seconds, sorted by
    /// queue and kind.
    pub fn queue_shares(&self) -> Vec<QueueShare> {
        let mut shares = Vec::new();
        for row in &self.entitlements.rows {
            if row.demand.peak == Capacity::default() {
                continue;
            }
            shares.push(QueueShare {
                queue: row.queue.clone(),
                kind: row.kind.name(),
                held: row.demand.held,
                waiting: row.demand.waiting,
                entitled: row.entitled,
                is_short: row.is_short(),
            });
        }
        shares
    }

    /// Logs which queues have become short of capacity since the last call, and which no longer
    /// are. Called once a second, so that a queue at its entitlement fills no log.
    pub(crate) fn log_shortages(&mut self) {
        let before = std::mem::take(&mut self.entitlements.short);
        let mut short = Vec::new();
        for row in &self.entitlements.rows {
            let is_short = row.is_short();
            let was_short = before
                .binary_search_by(|(q, k)| (q, k).cmp(&(&row.queue, &row.kind)))
                .is_ok();
            if is_short {
                short.push((row.queue.clone(), row.kind));
            }
            if is_short != was_short {
                log_change(row, is_short);
            }
        }
        self.entitlements.short = short;
    }
}

fn log_change(row: &Entitlement, is_short: bool) {
    let demand = row.demand;
    log::info!(
        queue = &*row.queue, service = &*row.service, kind = row.kind.name(), short = is_short,
        held = demand.held.cpu, waiting = demand.waiting.cpu, peak = demand.peak.cpu,
        entitled = row.entitled.cpu, limit = row.limit.cpu, held_memory = demand.held.memory,
        waiting_memory = demand.waiting.memory, entitled_memory = row.entitled.memory;
        "entitlement: changed"
    );
}
