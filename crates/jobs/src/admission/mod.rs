//! Tells which new jobs can be served, from what their queues are entitled to.
//!
//! The load pattern is more callers than capacity. A job that is accepted and can't be served in
//! time fails late, and a long-running one that is accepted takes capacity that short jobs need.
//! The owner computes a few figures for each queue, and every instance decides by them whether to
//! accept a job.
//!
//! Limits: figures are a moment old when an instance reads them, and a burst that comes meanwhile
//! is accepted.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{entitlement::WorkKind, scheduler::Scheduler};

/// What new jobs of a queue can expect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueFigures {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// CPU that new long-running tasks may request, in thousandths of a core.
    pub long_running_cpu: u64,
    /// Memory that new long-running tasks may request, in MB.
    pub long_running_memory: u64,
    /// Forecast for short jobs.
    pub short: WaitForecast,
    /// Forecast for best-effort jobs.
    pub best_effort: WaitForecast,
}

/// The expected wait of a new job. The owner publishes the default, with which none is refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitForecast {
    /// Expected time until a task of the job starts, in milliseconds.
    pub wait: u64,
    /// Longest wait with which a job of typical length still meets its objective, in milliseconds.
    pub slack: u64,
    /// Time after which a refused caller should come back, in milliseconds.
    pub retry_after: u64,
    /// Whether new jobs are to be refused.
    pub closed: bool,
}

impl Scheduler {
    /// Returns the figures of all queues, sorted by queue.
    pub fn queue_figures(&self) -> Vec<QueueFigures> {
        let mut figures = Vec::with_capacity(self.queues.iter().len());
        // No new jobs come to removed queues.
        for queue in self.queues.iter().filter(|q| q.is_configured) {
            let policy = &queue.policy;
            let Some(row) = self.entitlement(&policy.queue, WorkKind::LongRunning) else {
                continue;
            };
            let mut asked = row.demand.held;
            asked.add(row.demand.waiting);
            figures.push(QueueFigures {
                queue: policy.queue.clone(),
                long_running_cpu: row.limit.cpu.saturating_sub(asked.cpu),
                long_running_memory: row.limit.memory.saturating_sub(asked.memory),
                short: WaitForecast::default(),
                best_effort: WaitForecast::default(),
            });
        }
        figures
    }
}
