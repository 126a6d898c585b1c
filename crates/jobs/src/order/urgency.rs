//! Sorts the open jobs into the order in which they are placed.

use crate::{
    model::{
        ids::JobId,
        job::{CriticalPath, JobState},
        policy::QueuePolicy,
        record::Outcome,
        task::Task,
    },
    order::estimates::EstimateModel,
    scheduler::Scheduler,
};

/// Waiting time after which a task of a long-running job is overdue, in milliseconds: the
/// job goes before all others, and a worker is reserved for the task. Users count a
/// long-running task as lost that waits for 6 s while there is free capacity, however
/// fragmented.
const OVERDUE_MS: u64 = 2000;

/// Waiting time after which users are about to count a task of a long-running job as lost, in
/// milliseconds: 6 s, less the time that a start takes on a slow link.
const NEARLY_LOST_MS: u64 = 4000;

/// Time that a task takes including its start, in percent of its estimate.
const RUN_TIME_PERCENT: u64 = 105;

/// Time between two computations of a job's critical path, in milliseconds. Placement goes
/// through all open jobs up to 100 times a second, and objectives are a second or more.
const CRITICAL_PATH_PERIOD_MS: u64 = 100;

/// Multiplier that hashes job ids to a pseudo-random order: 2^64 divided by the golden
/// ratio.
const ORDER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Urgency of a job; smaller values are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// A long-running job with a task that has waited for long.
    Overdue,
    /// A job that has started and can meet its objective, or a job without an
    /// objective.
    Started,
    /// A job that has not started and can meet its objective.
    NotStarted,
    /// A long-running job without an overdue task. It has no objective, and a core
    /// earns four times as much with short jobs.
    LongRunning,
    /// A job that can no longer meet its objective.
    Late,
}

impl Scheduler {
    /// Sorts the open jobs into the order in which they are placed.
    ///
    /// With more work than capacity, first come, first served makes all jobs late. Jobs
    /// that can no longer meet their objective therefore come last, and of the others
    /// those that have started come first. The rest wait in an order that is
    /// independent of age and size, so that some are on time rather than all late.
    pub(crate) fn sort_open_jobs(&mut self) {
        self.update_critical_paths();
        let mut keys: Vec<(Urgency, u32, u64, JobId)> = Vec::with_capacity(self.open_jobs.len());
        for &id in &self.open_jobs {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let policy = self.policy(&state.job.queue);
            let priority = policy.map_or(u32::MAX, |p| p.priority);
            let urgency = self.urgency(state, policy);
            let order = id.0.wrapping_mul(ORDER_MULTIPLIER);
            keys.push((urgency, priority, order, id));
        }
        keys.sort_unstable();
        self.late_jobs = keys.iter().filter(|k| k.0 == Urgency::Late).count();
        self.open_jobs = keys.into_iter().map(|k| k.3).collect();
    }

    /// Recomputes the critical paths of open jobs that are out of date.
    fn update_critical_paths(&mut self) {
        let no_model = EstimateModel::default();
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get_mut(id) else {
                continue;
            };
            let computed_at = state.critical_path.map(|(_, at)| at);
            if computed_at.is_some_and(|at| self.now < at + CRITICAL_PATH_PERIOD_MS) {
                continue;
            }
            let model = self.estimates.get(&state.job.queue).unwrap_or(&no_model);
            state.critical_path = Some((state.compute_critical_path(model, self.now), self.now));
        }
    }

    fn urgency(&self, state: &JobState, policy: Option<&QueuePolicy>) -> Urgency {
        let spec = &state.job.spec;
        let has_started = state.outcome == Outcome::Active;
        let Some(policy) = policy.filter(|_| spec.schedule.repetitions == 0) else {
            return Urgency::Started;
        };
        if spec.steps.iter().any(|s| s.long_running) {
            return match self.is_overdue(state) {
                true => Urgency::Overdue,
                false => Urgency::LongRunning,
            };
        }
        match (self.is_late(state, policy), has_started) {
            (true, _) => Urgency::Late,
            (false, true) => Urgency::Started,
            (false, false) => Urgency::NotStarted,
        }
    }

    /// Returns whether a job can no longer meet its objective. Scheduled and long-running jobs
    /// have none.
    pub(crate) fn is_late(&self, state: &JobState, policy: &QueuePolicy) -> bool {
        let spec = &state.job.spec;
        if spec.schedule.repetitions > 0 || spec.steps.iter().any(|s| s.long_running) {
            return false;
        }
        let path = state
            .critical_path
            .map_or(CriticalPath::default(), |(path, _)| path);
        let objective = (path.total as f64 * policy.stretch) as u64;
        let objective = objective.saturating_add(policy.latency);
        let remaining = path.remaining * RUN_TIME_PERCENT / 100;
        self.now + remaining > state.known_since.saturating_add(objective)
    }

    /// Returns whether a task of a long-running job is overdue.
    pub(crate) fn is_overdue(&self, state: &JobState) -> bool {
        // A lent task that returns has waited.
        self.any_waiting(state, |t, ms| t.lent_until > 0 || ms > OVERDUE_MS)
    }

    /// Returns whether users are about to count a task of a long-running job as lost.
    pub(crate) fn is_nearly_lost(&self, state: &JobState) -> bool {
        self.any_waiting(state, |_, ms| ms > NEARLY_LOST_MS)
    }

    /// Returns whether a condition holds for any waiting task and the milliseconds for which it
    /// has waited.
    fn any_waiting(&self, state: &JobState, condition: impl Fn(&Task, u64) -> bool) -> bool {
        let steps = state
            .repetitions
            .iter()
            .flatten()
            .filter(|s| s.unassigned > 0);
        let mut tasks = steps.flat_map(|s| &s.tasks);
        tasks.any(|t| {
            let since = state.known_since.max(t.idle_since).max(t.retry_at);
            t.is_waiting(self.now) && condition(t, self.now.saturating_sub(since))
        })
    }
}
