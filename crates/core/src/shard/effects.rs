//! Updates of the soft state after records change the shard state.

use super::{
    Allocation, AttemptId, Effect, FinishedJob, JobStatus, ShardScheduler, StopReason, TaskRef,
};
use crate::{Millis, name::Name, size::Size};

impl ShardScheduler {
    /// Updates the soft state for one effect of record `number`.
    ///
    /// A task that the effect queues becomes ready after `delay`.
    pub(super) fn apply_effect(&mut self, now: Millis, effect: Effect, number: u64, delay: Millis) {
        match effect {
            Effect::Queued(task) => self.enqueue(now, task, delay),
            Effect::Reserved {
                attempt,
                worker,
                size,
            } => self.reserve(now, attempt, &worker, &size, number),
            Effect::Freed { attempt, worker } => self.free_attempt(attempt, &worker),
            Effect::StopRequested { attempt, worker } => self.request_stop(attempt, &worker),
            Effect::Finished { job } => self.finish_job(now, job),
        }
    }

    /// Adds a queued task to the queue of its team, ready after `delay`.
    pub(super) fn enqueue(&mut self, now: Millis, task: TaskRef, delay: Millis) {
        let Some(job) = self.state.job(task.job) else {
            return;
        };
        let (org, team) = (job.spec.key.org.clone(), job.spec.team.clone());
        let (priority, service) = (job.spec.priority, job.spec.service);
        let team = self.team_index(&org, &team, service);
        if delay > 0 {
            self.queue.push_delayed(now + delay, priority, team, task);
        } else {
            self.queue.push(priority, team, task, now);
        }
        self.placement_due = true;
    }

    /// Reserves resources on a worker for an attempt that record number `record` started.
    pub(super) fn reserve(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        worker: &Name,
        size: &Size,
        record: u64,
    ) {
        let Some(job) = self.state.job(attempt.job) else {
            return;
        };
        let spec = &job.spec;
        let (org, kind, team) = (spec.key.org.clone(), spec.kind.clone(), spec.team.clone());
        let (priority, service) = (spec.priority, spec.service);
        let class = self.class_index(&org, &kind, service);
        let hold = self.classes[usize::from(class)].hold;
        let team = self.team_index(&org, &team, service);
        let team = &mut self.teams[usize::from(team)];
        team.used = team.used.saturating_add(size);
        let Ok(i) = self.workers.binary_search_by(|w| w.name.cmp(worker)) else {
            return;
        };
        let w = &mut self.workers[i];
        if w.reservation
            .is_some_and(|r| r.task.job == attempt.job && r.task.task == attempt.task)
        {
            w.reservation = None;
        }
        w.add(Allocation {
            attempt,
            size: *size,
            class,
            priority,
            service,
            hold,
            start_record: record,
            sent_seq: None,
            is_running: false,
            since: now,
            stop: None,
            cpu_percent: 100,
            slowdown: 1.0,
            throttle_changed_at: 0,
        });
        if service {
            self.targets_version += 1;
        }
    }

    fn free_attempt(&mut self, attempt: AttemptId, worker: &Name) {
        self.placement_due = true;
        let Ok(i) = self.workers.binary_search_by(|w| w.name.cmp(worker)) else {
            return;
        };
        let Some(allocation) = self.workers[i].remove(attempt) else {
            return;
        };
        let clock = self.workers[i].last_clock;
        self.workers[i].history.end(attempt, clock);
        if allocation.service {
            self.targets_version += 1;
        }
        let Some(job) = self.state.job(attempt.job) else {
            return;
        };
        let (org, team) = (job.spec.key.org.clone(), job.spec.team.clone());
        let team = self.team_index(&org, &team, allocation.service);
        let team = &mut self.teams[usize::from(team)];
        team.used = team.used.saturating_sub(&allocation.size);
    }

    fn request_stop(&mut self, attempt: AttemptId, worker: &Name) {
        let Ok(i) = self.workers.binary_search_by(|w| w.name.cmp(worker)) else {
            return;
        };
        let w = &mut self.workers[i];
        w.dirty = true;
        if let Some(r) = w.allocation_mut(attempt) {
            r.stop = Some(StopReason::Cancelled);
            self.targets_version += u64::from(r.service);
        }
    }

    fn finish_job(&mut self, now: Millis, job: u32) {
        let Some(found) = self.state.job(job) else {
            return;
        };
        if found.spec.service {
            return;
        }
        let mut attempts = Vec::new();
        if found.spec.checkpoint {
            attempts.extend(found.tasks.iter().map(|t| t.attempt));
        }
        self.finished.push(FinishedJob {
            spec: found.spec.clone(),
            status: JobStatus::of(found),
            number: job,
            attempts,
        });
        self.close_queue
            .push_back((now + self.settings.retention, job));
    }

    /// Requests a stop of every attempt on a leaving worker, so that its tasks are moved.
    pub(super) fn drain_worker(&mut self, i: usize) {
        let w = &mut self.workers[i];
        for r in &mut w.allocations {
            if r.stop.is_none() {
                r.stop = Some(StopReason::Leaving);
            }
        }
        w.dirty = true;
    }
}
