//! Where tasks run that may crash their workers.
//!
//! The load pattern that this answers: a task that crashes each worker that starts it, beside
//! many others that did nothing. What may be the cause runs apart until it has outlived the
//! time in which workers crashed: nothing else begins beside it, so that it takes no others
//! with it, and a crash that follows is its own.
//!
//! Limits: an empty worker is best; where there is none for a while, one with little to lose
//! does. A part of the workers is kept free of suspects, and of those that only chance speaks
//! against, some run beside others.

use std::cmp::Reverse;

use crate::{
    machine::Machine,
    model::{ids::TaskId, task::Task},
    place::{pass::Pass, rank::rating, request::Request, tasks::Placed},
    runs::{crashes::JUST_STARTED_MS, worker::Worker},
};

/// A suspect waits for an empty worker for this long, in milliseconds: short tasks end within,
/// and crashed workers are back.
const PATIENCE: u64 = 1500;

/// A member of a gang waits for a worker of its own for this long, in milliseconds: a gang may
/// have more members than workers may run suspects.
const GANG_PATIENCE: u64 = 2 * PATIENCE;

/// One in so many workers may run a likely suspect ...
const LIKELY_SHARE: usize = 2;

/// ... and one in so many a suspect that chance alone may speak against.
const UNLIKELY_SHARE: usize = 8;

/// Where nothing else waits suspects take all empty workers but one in so many, at least one.
const SPARE_SHARE: usize = 8;

impl Task {
    /// Tells whether its next run has to be apart from others.
    ///
    /// What only chance speaks against waits no longer than [`PATIENCE`]: after a loss of
    /// power that struck twice there are many of them.
    pub(crate) fn needs_isolation(&self, now: u64) -> bool {
        let waits = now <= self.idle_since + PATIENCE;
        self.crashes.is_likely_cause() || self.crashes.is_suspect() && waits
    }
}

impl Machine {
    /// Takes note that a task may crash its workers.
    pub(crate) fn add_suspect(&mut self, id: TaskId) {
        if let Err(at) = self.suspects.binary_search(&id) {
            self.suspects.insert(at, id);
        }
    }

    /// Places the suspects that wait, before others take the empty workers.
    pub(super) fn place_suspects(&mut self, pass: &mut Pass) {
        let mut left = std::mem::take(&mut self.suspects);
        left.retain(|&id| self.is_open_suspect(id));
        let mut tried = None;
        for &id in &left {
            if pass.starts_left == 0 {
                break;
            }
            // One try of a gang stands for all its members.
            let first = TaskId { index: 0, ..id };
            if tried == Some(first) && self.is_member(id) {
                continue;
            }
            tried = Some(first);
            self.place_suspect(id, pass);
        }
        self.suspects = left;
    }

    /// Places suspects on workers that nobody else has a use for, once all others have places.
    pub(super) fn place_suspects_on_idle(&mut self, pass: &mut Pass) {
        if pass.is_over_budget() || !pass.unplaceable.is_empty() {
            return;
        }
        pass.others_placed = true;
        self.place_suspects(pass);
    }

    /// Tells whether a task is a suspect and not done.
    fn is_open_suspect(&self, id: TaskId) -> bool {
        let state = self.jobs.get(&id.job).filter(|j| !j.outcome.is_final());
        let task = state.and_then(|j| j.task(id));
        task.is_some_and(|t| !t.done && t.crashes.is_suspect())
    }

    fn is_member(&self, id: TaskId) -> bool {
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
        let likely = task.crashes.is_likely_cause();
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
        };
        let placed = match step.gang {
            true => matches!(self.place_gang(request, pass), Placed::All),
            false => self.place_apart(id, &request, pass),
        };
        if !placed && likely {
            self.clear_way(&request, pass);
        }
    }

    /// Places a suspect; true if there is a worker for it.
    fn place_apart(&mut self, id: TaskId, request: &Request<'_>, pass: &mut Pass) -> bool {
        let Some(slot) = self.find_isolated_worker(id, request, pass) else {
            return false;
        };
        self.place_on(id, slot, request.step);
        self.isolate(id, slot, pass);
        pass.starts_left -= 1;
        true
    }

    /// Keeps others away from a worker while a suspect runs there.
    pub(super) fn isolate(&mut self, id: TaskId, slot: u32, pass: &mut Pass) {
        self.fleet.get_mut(slot).isolated_task = Some(id);
        pass.update_free_capacity(slot, &self.fleet);
        pass.open_workers.retain(|&s| s != slot);
    }

    /// Finds a worker for a suspect: an empty one, or after [`PATIENCE`] one with little to
    /// lose.
    pub(super) fn find_isolated_worker(
        &self,
        id: TaskId,
        request: &Request<'_>,
        pass: &Pass,
    ) -> Option<u32> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        let share = match task.crashes.is_likely_cause() {
            true => LIKELY_SHARE,
            false => UNLIKELY_SHARE,
        };
        if !self.may_host(share, pass) {
            return None;
        }
        let empty = self.best_apart(request, pass, |w| w.runs.is_empty() && w.orphans.is_empty());
        if empty.is_some() || pass.others_placed || self.now <= task.idle_since + PATIENCE {
            return empty;
        }
        // Whatever else had just begun there might be blamed as well.
        self.best_apart(request, pass, |w| self.now > w.probed_at + JUST_STARTED_MS)
    }

    /// Tells whether one more worker may run a suspect, of those of which one in `share` may.
    fn may_host(&self, share: usize, pass: &Pass) -> bool {
        let hosts = self
            .fleet
            .workers
            .iter()
            .filter(|w| w.is_isolating())
            .count();
        let all = hosts + pass.open_workers.len();
        let most = match pass.others_placed {
            true => all - all.div_ceil(SPARE_SHARE),
            false => (all / share).max(1),
        };
        hosts < most
    }

    /// Tells whether a member of a gang has waited in vain for a worker of its own.
    pub(super) fn has_waited_for_isolation(&self, id: TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        task.is_some_and(|t| self.now > t.idle_since + GANG_PATIENCE)
    }

    /// Keeps new tasks from the worker that a suspect will soon run on beside others, so that
    /// fewer are there then; from one at a time, whatever number of suspects waits.
    fn clear_way(&self, request: &Request<'_>, pass: &mut Pass) {
        if pass.others_placed
            || !self.may_host(LIKELY_SHARE, pass)
            || std::mem::replace(&mut pass.reserved_for_suspect, true)
        {
            return;
        }
        if let Some(slot) = self.best_apart(request, pass, |_| true) {
            pass.open_workers.retain(|&s| s != slot);
        }
    }

    /// Returns the worker with the least to lose that can take a request and suits.
    fn best_apart(
        &self,
        request: &Request<'_>,
        pass: &Pass,
        suits: impl Fn(&Worker) -> bool,
    ) -> Option<u32> {
        let workers = pass
            .open_workers
            .iter()
            .map(|&slot| (slot, self.fleet.get(slot)));
        let fitting = workers.filter(|&(slot, w)| {
            let fits = self.fits(w, request.step, request.service, request.starved);
            suits(w) && fits.is_ok() && !self.is_at_step_limit(slot, request)
        });
        let best = fitting.min_by_key(|&(slot, w)| {
            let stake = (w.long_running_tasks, w.runs.len());
            (stake, Reverse(rating(w, request.step)), slot)
        });
        best.map(|(slot, _)| slot)
    }
}
