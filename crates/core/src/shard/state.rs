//! The journalled state of a shard.

use serde::{Deserialize, Serialize};

use super::{AttemptId, End, Job, JobKey, JobSpec, Record, Task, TaskRef, TaskState};
use crate::{name::Name, size::Size};

/// Attempts lost with their workers after which a task has failed for good.
const MAX_LOST: u32 = 20;

/// Failures for each allowed worker after which a task has failed for good,
/// where the shard has too few workers to try.
const FAILS_PER_WORKER: usize = 4;

/// What applying a record changed, for the soft state to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A task waits for a worker.
    Queued(TaskRef),
    /// An attempt reserves room on a worker.
    Reserved {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
        /// The room.
        size: Size,
    },
    /// An attempt no longer reserves room on a worker.
    Freed {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
    },
    /// An attempt is to be stopped since its job was cancelled.
    StopRequested {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
    },
    /// No task of the job is open.
    Finished {
        /// Number of the job.
        job: u32,
    },
}

/// Position of a job by its caller's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    key: JobKey,
    no: u32,
}

/// Every job of a shard that has not left it.
///
/// The same records applied in the same order give the same book.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    jobs: Vec<Job>,
    keys: Vec<Entry>,
    next: u32,
}

impl ShardState {
    /// Returns the jobs by number.
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Returns the job with this number.
    pub fn job(&self, no: u32) -> Option<&Job> {
        let i = self.jobs.binary_search_by_key(&no, |j| j.number).ok()?;
        Some(&self.jobs[i])
    }

    /// Returns the job with this key.
    pub fn find(&self, key: &JobKey) -> Option<&Job> {
        let i = self.keys.binary_search_by(|e| e.key.cmp(key)).ok()?;
        self.job(self.keys[i].no)
    }

    /// Returns the number that the next submitted job gets.
    pub fn next_job(&self) -> u32 {
        self.next
    }

    /// Returns the task of an attempt if the attempt is its current one.
    pub fn active_task(&self, id: AttemptId) -> Option<(&Job, &Task, &Name)> {
        let job = self.job(id.job)?;
        let task = job.tasks.get(id.task as usize)?;
        match &task.state {
            TaskState::Active(worker) if task.attempt == id.attempt => Some((job, task, worker)),
            _ => None,
        }
    }

    /// Applies a record and returns what it changed; unknown subjects change nothing.
    pub fn apply(&mut self, record: &Record) -> Vec<Effect> {
        let mut out = Vec::new();
        match record {
            Record::Submitted(spec) => self.submit(spec, &mut out),
            Record::Rejected { job, reason } => self.reject(*job, reason, &mut out),
            Record::Started {
                attempt,
                worker,
                size,
            } => self.start(*attempt, worker, size, &mut out),
            Record::Ended { attempt, end } => self.end(*attempt, *end, &mut out),
            Record::Cancelled { job } => self.cancel(*job, &mut out),
            Record::Resized { job, tasks } => self.resize(*job, *tasks, &mut out),
            Record::Closed { job } => self.close(*job),
        }
        out
    }

    fn job_mut(&mut self, no: u32) -> Option<&mut Job> {
        let i = self.jobs.binary_search_by_key(&no, |j| j.number).ok()?;
        Some(&mut self.jobs[i])
    }

    fn submit(&mut self, spec: &JobSpec, out: &mut Vec<Effect>) {
        let Err(i) = self.keys.binary_search_by(|e| e.key.cmp(&spec.key)) else {
            return;
        };
        let no = self.next;
        self.next += 1;
        let key = spec.key.clone();
        self.keys.insert(i, Entry { key, no });
        self.jobs.push(Job::new(no, spec.clone()));
        for task in 0..spec.tasks {
            out.push(Effect::Queued(TaskRef { job: no, task }));
        }
        if spec.tasks == 0 && !spec.service {
            out.push(Effect::Finished { job: no });
        }
    }

    fn reject(&mut self, no: u32, reason: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(no) else { return };
        for task in &mut job.tasks {
            if task.state != TaskState::Queued {
                continue;
            }
            task.state = TaskState::Failed;
            job.open_tasks -= 1;
        }
        job.reason = Some(reason.clone());
        if job.open_tasks == 0 {
            out.push(Effect::Finished { job: no });
        }
    }

    fn start(&mut self, id: AttemptId, worker: &Name, size: &Size, out: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(id.task as usize) else {
            return;
        };
        task.state = TaskState::Active(worker.clone());
        task.attempt = id.attempt;
        out.push(Effect::Reserved {
            attempt: id,
            worker: worker.clone(),
            size: *size,
        });
    }

    fn end(&mut self, id: AttemptId, end: End, out: &mut Vec<Effect>) {
        let Some((_, _, worker)) = self.active_task(id) else {
            return;
        };
        let worker = worker.clone();
        out.push(Effect::Freed {
            attempt: id,
            worker: worker.clone(),
        });
        let Some(job) = self.job_mut(id.job) else {
            return;
        };
        let service = job.spec.service;
        let attempts = job.spec.attempts as usize;
        let dropped = service && id.task >= job.spec.tasks;
        let cancelled = job.cancelled || dropped;
        let task = &mut job.tasks[id.task as usize];
        task.state = match end {
            End::Done if !service => TaskState::Done,
            End::Done => TaskState::Queued,
            End::Failed => {
                if let Err(i) = task.failed_on.binary_search(&worker) {
                    task.failed_on.insert(i, worker);
                }
                task.failures += 1;
                let spread = task.failed_on.len() >= attempts;
                let tired = task.failures as usize >= attempts * FAILS_PER_WORKER;
                let last = !service && (spread || tired);
                if last {
                    TaskState::Failed
                } else {
                    TaskState::Queued
                }
            }
            End::Lost => {
                task.lost_attempts += 1;
                let last = !service && task.lost_attempts >= MAX_LOST;
                if last {
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
            out.push(Effect::Queued(TaskRef {
                job: id.job,
                task: id.task,
            }));
            return;
        }
        job.open_tasks -= 1;
        if job.open_tasks == 0 {
            out.push(Effect::Finished { job: id.job });
        }
    }

    fn cancel(&mut self, no: u32, out: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(no) else { return };
        if job.cancelled || job.open_tasks == 0 {
            return;
        }
        job.cancelled = true;
        drop_tasks(job, 0, out);
        if job.open_tasks == 0 {
            out.push(Effect::Finished { job: no });
        }
    }

    fn resize(&mut self, no: u32, tasks: u32, out: &mut Vec<Effect>) {
        let Some(job) = self.job_mut(no) else { return };
        job.spec.tasks = tasks;
        drop_tasks(job, tasks, out);
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
            out.push(Effect::Queued(TaskRef { job: no, task: i }));
        }
    }

    fn close(&mut self, no: u32) {
        let Ok(i) = self.jobs.binary_search_by_key(&no, |j| j.number) else {
            return;
        };
        let job = self.jobs.remove(i);
        if let Ok(k) = self.keys.binary_search_by(|e| e.key.cmp(&job.spec.key)) {
            self.keys.remove(k);
        }
    }
}

/// Cancels the queued tasks from index `from` on and marks active ones unwanted.
fn drop_tasks(job: &mut Job, from: u32, out: &mut Vec<Effect>) {
    for (i, task) in job.tasks.iter_mut().enumerate().skip(from as usize) {
        match &task.state {
            TaskState::Queued => {
                task.state = TaskState::Cancelled;
                job.open_tasks -= 1;
            }
            TaskState::Active(worker) => out.push(Effect::StopRequested {
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
