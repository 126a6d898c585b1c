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
const OVERDUE: u64 = 2000;

/// Time that a task takes against its estimate, in percent, with its start.
const USUAL_TIME: u64 = 105;

/// What is left of a job is worked out this often, in milliseconds: placement goes through
/// all open jobs up to 100 times a second, and objectives are a second and more.
const CHAIN_PERIOD: u64 = 100;

/// Multiplier that spreads jobs' names over all orders.
const LOTTERY: u64 = 0x9e37_79b9_7f4a_7c15;

/// How a job stands to its objective; the first come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It lasts, and a task of it has waited for long.
    Overdue,
    /// It can meet its objective, and has begun; or has none.
    Begun,
    /// It can meet its objective.
    Fresh,
    /// It has none: a core of a short job earns four times as much.
    Lasting,
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
        self.note_chains();
        let mut keys: Vec<(Standing, u32, u64, JobId)> = Vec::with_capacity(self.open_jobs.len());
        for &id in &self.open_jobs {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let policy = self.policy(&state.job.queue);
            let priority = policy.map_or(u32::MAX, |p| p.priority);
            let standing = self.standing(state, policy);
            let order = id.0.wrapping_mul(LOTTERY);
            keys.push((standing, priority, order, id));
        }
        keys.sort_unstable();
        self.late_jobs = keys.iter().filter(|k| k.0 == Standing::Late).count();
        self.open_jobs = keys.into_iter().map(|k| k.3).collect();
    }

    /// Works out the chains of the open jobs that were worked out a while ago.
    fn note_chains(&mut self) {
        let unknown = EstimateModel::default();
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get_mut(id) else {
                continue;
            };
            let known = state.critical_path.map(|(_, at)| at);
            if known.is_some_and(|at| self.now < at + CHAIN_PERIOD) {
                continue;
            }
            let guesses = self.estimates.get(&state.job.queue).unwrap_or(&unknown);
            state.critical_path = Some((state.compute_critical_path(guesses, self.now), self.now));
        }
    }

    fn standing(&self, state: &JobState, policy: Option<&QueuePolicy>) -> Standing {
        let spec = &state.job.spec;
        let begun = state.outcome == Outcome::Active;
        let Some(policy) = policy.filter(|_| spec.schedule.repetitions == 0) else {
            return Standing::Begun;
        };
        if spec.steps.iter().any(|s| s.long_running) {
            return match self.is_overdue(state) {
                true => Standing::Overdue,
                false => Standing::Lasting,
            };
        }
        let chain = state
            .critical_path
            .map_or(CriticalPath::default(), |(chain, _)| chain);
        let goal = (chain.total as f64 * policy.stretch) as u64 + policy.latency;
        let left = chain.remaining * USUAL_TIME / 100;
        match (self.now + left > state.known_since + goal, begun) {
            (true, _) => Standing::Late,
            (false, true) => Standing::Begun,
            (false, false) => Standing::Fresh,
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
            t.is_waiting(self.now) && self.now > since + OVERDUE
        })
    }
}
