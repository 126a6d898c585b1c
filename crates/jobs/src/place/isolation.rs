//! Isolates tasks that may crash their workers.
//!
//! The load pattern is a task that crashes each worker that starts it, beside many tasks
//! that are not at fault. A suspect runs in isolation until it has outlived the time within
//! which workers crashed: no other task starts on its worker, so that a crash affects no
//! others and is attributed to the suspect.
//!
//! The suspects that have waited for longest come first: in the order of their ids, newer ones
//! with lower ids would overtake others for as long as workers crash.
//!
//! Limits: an empty worker is preferred; if there is none for a while, the worker that
//! loses least in a crash is used. A part of the workers is kept free of suspects. Some of
//! the suspects whose crashes may be chance run beside other tasks. A new owner does not know for
//! how long the suspects that it inherits have waited.

use std::cmp::Reverse;

use crate::{
    model::{ids::TaskId, task::Task},
    place::{
        pass::Pass,
        rank::base_rating,
        request::{LoanAccess, Request},
        starvation::PlacementRule,
        tasks::GangPlacement,
    },
    runs::{crashes::JUST_STARTED_MS, worker::Worker},
    scheduler::Scheduler,
};

/// Time for which a suspect waits for an empty worker, in milliseconds: short tasks end and
/// crashed workers return within it.
const ISOLATION_WAIT_MS: u64 = 1500;

/// Time for which a suspect in a gang waits for a worker of its own, in milliseconds. It
/// then runs beside other tasks, since a gang may have more members than there are workers
/// for suspects.
const GANG_ISOLATION_WAIT_MS: u64 = 2 * ISOLATION_WAIT_MS;

/// One in this many workers may isolate a task that is the likely cause of a crash.
const WORKERS_PER_LIKELY_SUSPECT: usize = 2;

/// One in this many workers may isolate a suspect whose crashes may be chance.
const WORKERS_PER_UNLIKELY_SUSPECT: usize = 8;

/// One in this many workers, at least one, is kept free of suspects when no other task
/// waits.
const WORKERS_PER_SPARE: usize = 8;

impl Task {
    /// Returns whether the next run of the task has to be isolated.
    ///
    /// A suspect whose crashes may be chance waits for isolation no longer than
    /// [`ISOLATION_WAIT_MS`]: after two power losses there are many of them.
    pub(crate) fn needs_isolation(&self, now: u64) -> bool {
        let is_within_wait = now <= self.idle_since + ISOLATION_WAIT_MS;
        self.crashes.is_likely_cause() || self.crashes.is_suspect() && is_within_wait
    }
}

/// Numbers of suspects and of the workers that isolate them, for the log.
#[derive(Debug, Default)]
pub(crate) struct IsolationLoad {
    /// Suspects that wait and need isolation.
    pub(crate) waiting: usize,
    /// Those of them that are the likely cause of a crash.
    pub(crate) waiting_likely: usize,
    /// Workers that isolate a suspect.
    pub(crate) isolating: usize,
    /// Those of them whose suspect is being stopped, as after a restart of the worker.
    pub(crate) held: usize,
    /// Workers that may isolate a likely cause while other tasks wait.
    pub(crate) max_isolating: usize,
}

impl Scheduler {
    /// Returns the numbers of suspects and of the workers that isolate them.
    pub(crate) fn isolation_load(&self) -> IsolationLoad {
        let mut load = IsolationLoad::default();
        for id in &self.suspects {
            let state = self.jobs.get(&id.job).filter(|j| !j.outcome.is_final());
            let task = state.and_then(|j| j.task(*id));
            let Some(task) = task.filter(|t| t.is_waiting(self.now)) else {
                continue;
            };
            load.waiting += usize::from(task.needs_isolation(self.now));
            load.waiting_likely += usize::from(task.crashes.is_likely_cause());
        }
        let mut workers = Pass::new(&self.fleet, self.now).open_workers.len();
        for worker in self.fleet.workers.iter().filter(|w| w.is_isolating()) {
            load.isolating += 1;
            let task = worker.isolated_task;
            let task = task.and_then(|id| self.jobs.get(&id.job)?.task(id));
            let run = task.and_then(|t| t.run.as_ref());
            load.held += usize::from(run.is_none_or(|r| !r.is_wanted()));
        }
        workers += load.isolating;
        load.max_isolating = (workers / WORKERS_PER_LIKELY_SUSPECT).max(1);
        load
    }

    /// Records that a task may crash its workers.
    pub(crate) fn add_suspect(&mut self, id: TaskId) {
        if let Err(at) = self.suspects.binary_search(&id) {
            self.suspects.insert(at, id);
        }
    }

    /// Places the waiting suspects before other tasks take the empty workers.
    pub(super) fn place_suspects(&mut self, pass: &mut Pass) {
        let mut suspects = std::mem::take(&mut self.suspects);
        suspects.retain(|&id| self.is_open_suspect(id));
        let waiting = self.by_waiting_time(&suspects);
        self.suspects = suspects;
        let mut tried_gang = None;
        for id in waiting {
            if pass.starts_left == 0 {
                break;
            }
            // A gang is tried once for all its members.
            let first = TaskId { index: 0, ..id };
            if tried_gang == Some(first) && self.is_gang_member(id) {
                continue;
            }
            tried_gang = Some(first);
            self.place_suspect(id, pass);
        }
    }

    /// Returns the suspects without a run, those that have waited for longest first, and the
    /// members of a gang next to each other.
    fn by_waiting_time(&self, suspects: &[TaskId]) -> Vec<TaskId> {
        let waiting = suspects.iter().filter_map(|&id| {
            let state = self.jobs.get(&id.job)?;
            let task = state.task(id).filter(|t| t.run.is_none())?;
            // Members of a gang wait together, but may have lost their runs one after the other.
            let first = match state.job.spec.steps[id.step as usize].gang {
                true => state.task(TaskId { index: 0, ..id })?,
                false => task,
            };
            Some((first.idle_since, id))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    /// Places suspects on idle workers once all other tasks are placed.
    pub(super) fn place_suspects_on_idle(&mut self, pass: &mut Pass) {
        if pass.is_over_budget() || !pass.unplaceable.is_empty() {
            return;
        }
        pass.others_are_placed = true;
        self.place_suspects(pass);
    }

    /// Returns whether a task is a suspect and not done.
    fn is_open_suspect(&self, id: TaskId) -> bool {
        let state = self.jobs.get(&id.job).filter(|j| !j.outcome.is_final());
        let task = state.and_then(|j| j.task(id));
        task.is_some_and(|t| !t.done && t.crashes.is_suspect())
    }

    fn is_gang_member(&self, id: TaskId) -> bool {
        let state = self.jobs.get(&id.job);
        state.is_some_and(|j| j.job.spec.steps[id.step as usize].gang)
    }

    fn place_suspect(&mut self, id: TaskId, pass: &mut Pass) {
        let Some(state) = self.jobs.get(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let step = &job.spec.steps[id.step as usize];
        let task = state.task(id).filter(|t| t.is_waiting(self.now));
        let Some(task) = task.filter(|t| t.needs_isolation(self.now)) else {
            return;
        };
        let is_likely_cause = task.crashes.is_likely_cause();
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            return;
        };
        let service = self.fleet.service(&service);
        let request = Request {
            first_task: TaskId { index: 0, ..id },
            step,
            image: state.images[id.step as usize],
            service: &service,
            failed_worker: None,
            starved: true,
            access: LoanAccess::Full,
            nearly_lost: false,
        };
        let is_placed = match step.gang {
            true => matches!(self.place_gang(request, pass), GangPlacement::All),
            false => self.place_isolated(id, &request, pass),
        };
        if !is_placed && is_likely_cause {
            self.reserve_for_suspect(&request, pass);
        }
    }

    /// Places a suspect on a worker of its own; returns whether one was found.
    fn place_isolated(&mut self, id: TaskId, request: &Request<'_>, pass: &mut Pass) -> bool {
        let Some(slot) = self.find_isolated_worker(id, request, pass) else {
            return false;
        };
        self.place_on(id, slot, request.step, PlacementRule::Isolation);
        self.isolate(id, slot, pass);
        pass.starts_left -= 1;
        true
    }

    /// Keeps other tasks off a worker while a suspect runs there.
    pub(super) fn isolate(&mut self, id: TaskId, slot: u32, pass: &mut Pass) {
        self.fleet.get_mut(slot).isolated_task = Some(id);
        pass.update_free_capacity(slot, &self.fleet);
        pass.open_workers.retain(|&s| s != slot);
    }

    /// Returns a worker for a suspect: an empty one or, after [`ISOLATION_WAIT_MS`],
    /// the one that loses least in a crash.
    pub(super) fn find_isolated_worker(
        &self,
        id: TaskId,
        request: &Request<'_>,
        pass: &Pass,
    ) -> Option<u32> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        let workers_per_suspect = match task.crashes.is_likely_cause() {
            true => WORKERS_PER_LIKELY_SUSPECT,
            false => WORKERS_PER_UNLIKELY_SUSPECT,
        };
        if !self.can_isolate_more(workers_per_suspect, pass) {
            return None;
        }
        let empty =
            self.least_loaded_worker(request, pass, |w| w.runs.is_empty() && w.orphans.is_empty());
        if empty.is_some()
            || pass.others_are_placed
            || self.now <= task.idle_since + ISOLATION_WAIT_MS
        {
            return empty;
        }
        // A run that had just started there could be suspected of the crash as well.
        self.least_loaded_worker(request, pass, |w| self.now > w.probed_at + JUST_STARTED_MS)
    }

    /// Returns whether one more worker may isolate a suspect, at one in
    /// `workers_per_suspect` workers.
    fn can_isolate_more(&self, workers_per_suspect: usize, pass: &Pass) -> bool {
        let isolating = self
            .fleet
            .workers
            .iter()
            .filter(|w| w.is_isolating())
            .count();
        let workers = isolating + pass.open_workers.len();
        let max_isolating = match pass.others_are_placed {
            true => workers - workers.div_ceil(WORKERS_PER_SPARE),
            false => (workers / workers_per_suspect).max(1),
        };
        isolating < max_isolating
    }

    /// Returns whether a gang member has waited too long for a worker of its own.
    pub(super) fn has_waited_for_isolation(&self, id: TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        task.is_some_and(|t| self.now > t.idle_since + GANG_ISOLATION_WAIT_MS)
    }

    /// Keeps new tasks off the worker on which a suspect may soon run beside others, so
    /// that fewer are there by then. Reserves one worker at a time, however many
    /// suspects wait.
    fn reserve_for_suspect(&self, request: &Request<'_>, pass: &mut Pass) {
        if pass.others_are_placed
            || !self.can_isolate_more(WORKERS_PER_LIKELY_SUSPECT, pass)
            || std::mem::replace(&mut pass.has_suspect_reservation, true)
        {
            return;
        }
        if let Some(slot) = self.least_loaded_worker(request, pass, |_| true) {
            pass.open_workers.retain(|&s| s != slot);
        }
    }

    /// Returns the suitable worker that can take a request and loses least in a crash:
    /// the one with the fewest long-running tasks, then the fewest runs.
    fn least_loaded_worker(
        &self,
        request: &Request<'_>,
        pass: &Pass,
        is_suitable: impl Fn(&Worker) -> bool,
    ) -> Option<u32> {
        let workers = pass
            .open_workers
            .iter()
            .map(|&slot| (slot, self.fleet.get(slot)));
        let fitting = workers.filter(|&(slot, w)| {
            let fits = self.check_fit(w, request.step, request.service, request.starved);
            is_suitable(w) && fits.is_ok() && !self.is_at_step_limit(slot, request)
        });
        let worker = fitting.min_by_key(|&(slot, w)| {
            let load = (w.long_running_tasks, w.runs.len());
            (load, Reverse(base_rating(w, request.step)), slot)
        });
        worker.map(|(slot, _)| slot)
    }
}
