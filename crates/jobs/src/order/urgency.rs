//! The order in which jobs are placed.

use crate::{
    machine::Machine,
    model::{
        ids::JobId,
        job::{CriticalPath, JobState},
        policy::QueuePolicy,
        record::Outcome,
    },
    order::estimates::EstimateModel,
};

/// A lasting task that has waited for this long goes before all others, and a worker
/// is kept free for it, in milliseconds: the users count one that waits for 6 s beside
/// room, in pieces of whatever size, as lost.
const OVERDUE_MS: u64 = 2000;

/// Time that a task takes against its estimate, in percent, with its start.
const RUN_TIME_PERCENT: u64 = 105;

/// What is left of a job is worked out this often, in milliseconds: placement goes through
/// all open jobs up to 100 times a second, and objectives are a second and more.
const CRITICAL_PATH_PERIOD_MS: u64 = 100;

/// Multiplier that spreads jobs' names over all orders.
const ORDER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// How a job stands to its objective; the first come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It lasts, and a task of it has waited for long.
    Overdue,
    /// It can meet its objective, and has begun; or has none.
    Started,
    /// It can meet its objective.
    NotStarted,
    /// It has none: a core of a short job earns four times as much.
    LongRunning,
    /// It can't.
    Late,
}

impl Machine {
    /// Sorts the open jobs into the order in which they are placed.
    ///
    /// With more work than room, first come first served makes all jobs late. So
    /// those that can't meet their objective any more come last, and of the others
    /// those that have begun come first; the rest wait in an order that does not
    /// depend on their age or size, so that some are in time and not all late.
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

    /// Works out the chains of the open jobs that were worked out a while ago.
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
        let path = state
            .critical_path
            .map_or(CriticalPath::default(), |(path, _)| path);
        let objective = (path.total as f64 * policy.stretch) as u64 + policy.latency;
        let remaining = path.remaining * RUN_TIME_PERCENT / 100;
        match (
            self.now + remaining > state.known_since + objective,
            has_started,
        ) {
            (true, _) => Urgency::Late,
            (false, true) => Urgency::Started,
            (false, false) => Urgency::NotStarted,
        }
    }

    /// Tells whether a task of a lasting job has waited for long.
    pub(crate) fn is_overdue(&self, state: &JobState) -> bool {
        let steps = state
            .repetitions
            .iter()
            .flatten()
            .filter(|s| s.unassigned > 0);
        let mut tasks = steps.flat_map(|s| &s.tasks);
        tasks.any(|t| {
            let since = state.known_since.max(t.idle_since).max(t.retry_at);
            t.is_waiting(self.now) && self.now > since + OVERDUE_MS
        })
    }
}
