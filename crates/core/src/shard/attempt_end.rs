//! Ends of attempts: retry delays, and attribution of failures to workers or tasks.

use super::{AttemptId, End, Record, ShardScheduler, TaskRef};
use crate::Millis;

/// Delay before a failed task is retried; doubles with each failure.
const RETRY_DELAY_MS: Millis = 500;

/// Longest delay before a failed task is retried.
const MAX_RETRY_DELAY_MS: Millis = 60_000;

/// Delay before a task whose start was refused is queued again.
const REFUSED_DELAY_MS: Millis = 100;

/// Longest delay before a failed replica of a service is retried.
const MAX_REPLICA_DELAY_MS: Millis = 5_000;

impl ShardScheduler {
    /// Records the end of an attempt on worker `i` and returns the record's number.
    pub(super) fn end_attempt(&mut self, now: Millis, i: usize, id: AttemptId, end: End) -> u64 {
        self.record_outcome(now, i, id, end);
        let delay = self.retry_delay(id, end);
        self.append_record(now, Record::Ended { attempt: id, end }, delay)
    }

    fn retry_delay(&self, id: AttemptId, end: End) -> Millis {
        let Some((job, task, _)) = self.state.active_task(id) else {
            return 0;
        };
        let max_delay = if job.spec.service {
            MAX_REPLICA_DELAY_MS
        } else {
            MAX_RETRY_DELAY_MS
        };
        match end {
            End::Failed => (RETRY_DELAY_MS << task.failures.min(10)).min(max_delay),
            End::Refused => REFUSED_DELAY_MS,
            End::Done if job.spec.service => RETRY_DELAY_MS,
            End::Done | End::Lost | End::Evicted { .. } | End::Stopped => 0,
        }
    }

    /// Counts the end of an attempt in the statistics and quarantines the worker if needed.
    ///
    /// A failure counts against the worker only if tasks of the class mostly succeed on other
    /// workers; otherwise it is attributed to the task.
    fn record_outcome(&mut self, now: Millis, i: usize, id: AttemptId, end: End) {
        let w = &self.workers[i];
        let Some(r) = w.allocation(id) else { return };
        let class = r.class;
        let done = match end {
            End::Done => true,
            End::Failed => false,
            End::Lost | End::Refused | End::Evicted { .. } | End::Stopped => return,
        };
        let on_worker = w.stats_of(class);
        let c = &mut self.classes[usize::from(class)];
        let done_elsewhere = c.done.saturating_sub(on_worker.done.into());
        let failed_elsewhere = c.failed.saturating_sub(on_worker.failed.into());
        if done {
            c.done += 1;
        } else {
            c.failed += 1;
        }
        let w = &mut self.workers[i];
        w.record_end(class, done);
        if done {
            w.failure_streak.clear();
            self.placement_due |= w.quarantines > 0;
            w.quarantines = 0;
            return;
        }
        if failed_elsewhere > done_elsewhere {
            return;
        }
        let task = TaskRef {
            job: id.job,
            task: id.task,
        };
        if w.failure_streak.contains(&task) {
            return;
        }
        w.failure_streak.push(task);
        let on_probation = w.quarantines > 0;
        if w.failure_streak.len() < self.settings.quarantine_threshold && !on_probation {
            return;
        }
        let length =
            (self.settings.quarantine << w.quarantines.min(16)).min(self.settings.max_quarantine);
        w.quarantined_until = now + length;
        w.quarantines += 1;
        w.failure_streak.clear();
    }
}
