//! Status of a shard, its jobs and workers, and its targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Health, Job, JobState, ShardScheduler, TaskState};
use crate::{Millis, name::Name, size::Size};

/// Status of a job as reported to its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// State.
    pub state: JobState,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that are queued.
    pub queued: u32,
    /// Tasks that may be running.
    pub active: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that failed permanently.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Why the job failed, if a reason is recorded.
    pub reason: Option<Name>,
}

impl JobStatus {
    /// Returns the status of a job.
    pub fn of(job: &Job) -> JobStatus {
        let mut s = JobStatus {
            state: job.state(),
            tasks: job.spec.tasks,
            queued: 0,
            active: 0,
            done: 0,
            failed: 0,
            cancelled: 0,
            evictions: 0,
            reason: job.reason.clone(),
        };
        for t in &job.tasks {
            s.evictions += t.evictions;
            match t.state {
                TaskState::Queued => s.queued += 1,
                TaskState::Active(_) => s.active += 1,
                TaskState::Done => s.done += 1,
                TaskState::Failed => s.failed += 1,
                TaskState::Cancelled => s.cancelled += 1,
            }
        }
        if s.failed > 0 && s.reason.is_none() {
            s.reason = Some("a task failed on every worker that was tried".into());
        }
        s
    }
}

/// A replica of a service that can receive requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Organisation.
    pub org: Name,
    /// Service.
    pub service: Name,
    /// Worker.
    pub worker: Name,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Number of requests that the replica handles concurrently.
    pub slots: u32,
    /// Number of connections that the replica accepts.
    pub connections: u32,
    /// Whether the replica is about to stop.
    pub leaving: bool,
}

/// Status of a worker as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name.
    pub name: Name,
    /// Health.
    pub health: Health,
    /// Whether the worker is quarantined.
    pub quarantined: bool,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Total resources.
    pub total: Size,
    /// Reserved resources.
    pub used: Size,
    /// Number of attempts that reserve resources on the worker.
    #[serde(rename = "residents")]
    pub allocations: u32,
}

/// Status of a shard as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Name.
    pub shard: Name,
    /// Epoch of its owner.
    pub epoch: u64,
    /// Number of open jobs without services.
    pub jobs: u32,
    /// Upper bound on the number of queued tasks.
    pub queued: u32,
    /// Number of attempts that may be running.
    pub active: u32,
    /// Milliseconds since the last contact with the table service.
    pub store_age: Millis,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Ids of open jobs whose tasks are too large for every worker.
    pub blocked: Vec<Name>,
}

impl ShardScheduler {
    /// Returns a version that increases with each change of [`ShardScheduler::targets`].
    pub fn targets_version(&self) -> u64 {
        self.targets_version
    }

    /// Returns the replicas that can receive requests.
    pub fn targets(&self) -> Vec<TargetInfo> {
        let mut out = Vec::new();
        for w in &self.workers {
            for r in &w.allocations {
                if !r.service || !r.is_running {
                    continue;
                }
                let Some(job) = self.state.job(r.attempt.job) else {
                    continue;
                };
                let org = self.orgs.iter().find(|o| o.name == job.spec.key.org);
                let service = org.and_then(|o| o.service(&job.spec.kind));
                let Some(service) = service else { continue };
                out.push(TargetInfo {
                    org: job.spec.key.org.clone(),
                    service: service.name.clone(),
                    worker: w.name.clone(),
                    addr: w.service_addr,
                    slots: service.slots,
                    connections: service.connections,
                    leaving: w.leaving || r.stop.is_some(),
                });
            }
        }
        out
    }

    /// Returns the maximum of each resource over all workers.
    pub fn largest_worker(&self) -> Size {
        let mut size = Size::default();
        for w in &self.workers {
            size = size.max(&w.capacity);
        }
        size
    }

    /// Returns the status of the shard.
    pub fn status(&self, now: Millis) -> ShardStatus {
        let largest = self.largest_worker();
        let mut status = ShardStatus {
            shard: self.shard.name.clone(),
            epoch: self.epoch,
            jobs: 0,
            queued: self.queue.len() as u32,
            active: 0,
            store_age: now.saturating_sub(self.store_seen_at),
            workers: Vec::with_capacity(self.workers.len()),
            blocked: Vec::new(),
        };
        for job in self.state.jobs() {
            if job.open_tasks == 0 || job.spec.service {
                continue;
            }
            status.jobs += 1;
            if !job.spec.size.fits_in(&largest) {
                status.blocked.push(job.spec.key.id.clone());
            }
        }
        for w in &self.workers {
            status.active += w.allocations.len() as u32;
            status.workers.push(WorkerStatus {
                name: w.name.clone(),
                health: w.health,
                quarantined: w.quarantines > 0 && now < w.quarantined_until,
                leaving: w.leaving,
                total: w.capacity,
                used: w.reserved,
                allocations: w.allocations.len() as u32,
            });
        }
        status
    }
}
