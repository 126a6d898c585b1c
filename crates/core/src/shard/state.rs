//! State of a shard that is rebuilt from its journal.

use serde::{Deserialize, Serialize};

use super::{AttemptId, End, Job, JobKey, JobSpec, Record, Task, TaskRef, TaskState};
use crate::{name::Name, size::Size};

/// Number of lost attempts after which a task fails permanently.
const MAX_LOST_ATTEMPTS: u32 = 20;

/// Factor on a job's `attempts` that gives the number of failures after which a task fails
/// permanently although it failed on fewer distinct workers, as in a shard with few workers.
const MAX_FAILURES_PER_WORKER: usize = 4;

/// A change by a record that the soft state has to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A task was queued.
    Queued(TaskRef),
    /// An attempt reserves resources on a worker.
    Reserved {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
        /// The resources.
        size: Size,
    },
    /// An attempt no longer reserves resources on a worker.
    Freed {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
    },
    /// An attempt has to stop since its job was cancelled or its service shrank.
    StopRequested {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
    },
    /// No task of a job is open any more.
    Finished {
        /// Number of the job.
        job: u32,
    },
}

/// Entry of the index from a job's key to its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct JobIndexEntry {
    key: JobKey,
    #[serde(rename = "no")]
    number: u32,
}

/// All jobs of a shard that are not closed.
///
/// The state is deterministic: the same records in the same order result in the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    jobs: Vec<Job>,
    keys: Vec<JobIndexEntry>,
    next: u32,
}

impl ShardState {
    /// Returns the jobs, sorted by number.
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Returns the job with this number.
    pub fn job(&self, number: u32) -> Option<&Job> {
        let i = self.jobs.binary_search_by_key(&number, |j| j.number).ok()?;
        Some(&self.jobs[i])
    }

    /// Returns the job with this key.
    pub fn find(&self, key: &JobKey) -> Option<&Job> {
        let i = self.keys.binary_search_by(|e| e.key.cmp(key)).ok()?;
        self.job(self.keys[i].number)
    }

    /// Returns the number of the next submitted job.
    pub fn next_job(&self) -> u32 {
        self.next
    }

    /// Returns the job, task and worker of an attempt if the attempt is active.
    pub fn active_task(&self, id: AttemptId) -> Option<(&Job, &Task, &Name)> {
        let job = self.job(id.job)?;
        let task = job.tasks.get(id.task as usize)?;
        match &task.state {
            TaskState::Active(worker) if task.attempt == id.attempt => Some((job, task, worker)),
            _ => None,
        }
    }

    /// Applies a record and returns its effects.
    ///
    /// A record about an unknown job, task or attempt has no effect.
    pub fn apply(&mut self, record: &Record) -> Vec<Effect> {
        let mut effects = Vec::new();
        match record {
            Record::Submitted(spec) => self.submit(spec, &mut effects),
            Record::Rejected { job, reason } => self.reject(*job, reason, &mut effects),
            Record::Started {
                attempt,
                worker,
                size,
            } => self.start(*attempt, worker, size, &mut effects),
            Record::Ended { attempt, end } => self.end(*attempt, *end, &mut effects),
            Record::Cancelled { job } => self.cancel(*job, &mut effects),
            Record::Resized { job, tasks } => self.resize(*job, *tasks, &mut effects),
            Record::Closed { job } => self.close(*job),
        }
        effects
    }

    fn job_mut(&mut self, number: u32) -> Option<&mut Job> {
        let i = self.jobs.binary_search_by_key(&number, |j| j.number).ok()?;
        Some(&mut self.jobs[i])
    }

    fn submit(&mut self, spec: &JobSpec, effects: &mut Vec<Effect>) {
        let Err(i) = self.keys.binary_search_by(|e| e.key.cmp(&spec.key)) else {
            return;
        };
        let number = self.next;
        self.next += 1;
        let key = spec.key.clone();
        self.keys.insert(i, JobIndexEntry { key, number });
        self.jobs.push(Job::new(number, spec.clone()));
        for task in 0..spec.tasks {
            effects.push(Effect::Queued(TaskRef { job: number, task }));
        }
        if spec.tasks == 0 && !spec.service {
            effects.push(Effect::Finished { job: number });
        }
    }

    fn reject(&mut self, number: u32, reason: &Name, effects: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(number) else {
            return;
        };
        for task in &mut job.tasks {
            if task.state != TaskState::Queued {
                continue;
            }
            task.state = TaskState::Failed;
            job.open_tasks -= 1;
        }
        job.reason = Some(reason.clone());
        if job.open_tasks == 0 {
            effects.push(Effect::Finished { job: number });
        }
    }

    fn start(&mut self, id: AttemptId, worker: &Name, size: &Size, effects: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(id.task as usize) else {
            return;
        };
        task.state = TaskState::Active(worker.clone());
        task.attempt = id.attempt;
        effects.push(Effect::Reserved {
            attempt: id,
            worker: worker.clone(),
            size: *size,
        });
    }

    fn end(&mut self, id: AttemptId, end: End, effects: &mut Vec<Effect>) {
        let Some((_, _, worker)) = self.active_task(id) else {
            return;
        };
        let worker = worker.clone();
        effects.push(Effect::Freed {
            attempt: id,
            worker: worker.clone(),
        });
        let Some(job) = self.job_mut(id.job) else {
            return;
        };
        let service = job.spec.service;
        let attempts = job.spec.attempts as usize;
        let is_removed = service && id.task >= job.spec.tasks;
        let cancelled = job.cancelled || is_removed;
        let task = &mut job.tasks[id.task as usize];
        task.state = match end {
            End::Done if !service => TaskState::Done,
            End::Done => TaskState::Queued,
            End::Failed => {
                if let Err(i) = task.failed_on.binary_search(&worker) {
                    task.failed_on.insert(i, worker);
                }
                task.failures += 1;
                let tried_enough_workers = task.failed_on.len() >= attempts;
                let failed_too_often = task.failures as usize >= attempts * MAX_FAILURES_PER_WORKER;
                let is_final = !service && (tried_enough_workers || failed_too_often);
                if is_final {
                    TaskState::Failed
                } else {
                    TaskState::Queued
                }
            }
            End::Lost => {
                task.lost_attempts += 1;
                let is_final = !service && task.lost_attempts >= MAX_LOST_ATTEMPTS;
                if is_final {
                    TaskState::Failed
                } else {
                    TaskState::Queued
                }
            }
            End::Refused => TaskState::Queued,
            End::Evicted { saved } => {
                task.evictions += 1;
                if saved {
                    task.checkpoint_attempt = id.attempt;
                }
                TaskState::Queued
            }
            End::Stopped if service => TaskState::Queued,
            End::Stopped => TaskState::Cancelled,
        };
        if task.state == TaskState::Queued && cancelled {
            task.state = TaskState::Cancelled;
        }
        if task.state == TaskState::Queued {
            effects.push(Effect::Queued(TaskRef {
                job: id.job,
                task: id.task,
            }));
            return;
        }
        job.open_tasks -= 1;
        if job.open_tasks == 0 {
            effects.push(Effect::Finished { job: id.job });
        }
    }

    fn cancel(&mut self, number: u32, effects: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(number) else {
            return;
        };
        if job.cancelled || job.open_tasks == 0 {
            return;
        }
        job.cancelled = true;
        cancel_tasks(job, 0, effects);
        if job.open_tasks == 0 {
            effects.push(Effect::Finished { job: number });
        }
    }

    fn resize(&mut self, number: u32, tasks: u32, effects: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(number) else {
            return;
        };
        job.spec.tasks = tasks;
        cancel_tasks(job, tasks, effects);
        for i in 0..tasks {
            let known = (i as usize) < job.tasks.len();
            if !known {
                job.tasks.push(Task::default());
            } else if job.tasks[i as usize].state == TaskState::Cancelled {
                job.tasks[i as usize].state = TaskState::Queued;
            } else {
                continue;
            }
            job.open_tasks += 1;
            effects.push(Effect::Queued(TaskRef {
                job: number,
                task: i,
            }));
        }
    }

    fn close(&mut self, number: u32) {
        let Ok(i) = self.jobs.binary_search_by_key(&number, |j| j.number) else {
            return;
        };
        let job = self.jobs.remove(i);
        if let Ok(k) = self.keys.binary_search_by(|e| e.key.cmp(&job.spec.key)) {
            self.keys.remove(k);
        }
    }
}

/// Cancels the queued tasks from index `from` on and requests a stop of the active ones.
fn cancel_tasks(job: &mut Job, from: u32, effects: &mut Vec<Effect>) {
    for (i, task) in job.tasks.iter_mut().enumerate().skip(from as usize) {
        match &task.state {
            TaskState::Queued => {
                task.state = TaskState::Cancelled;
                job.open_tasks -= 1;
            }
            TaskState::Active(worker) => effects.push(Effect::StopRequested {
                attempt: AttemptId {
                    job: job.number,
                    task: i as u32,
                    attempt: task.attempt,
                },
                worker: worker.clone(),
            }),
            TaskState::Done | TaskState::Failed | TaskState::Cancelled => {}
        }
    }
}
