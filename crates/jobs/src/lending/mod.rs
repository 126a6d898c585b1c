//! Lends the capacity of long-running tasks to short work while it is short.
//!
//! The load pattern is capacity that shrinks, or a burst of short jobs, while long-running tasks
//! hold most of what is there. These run until their callers cancel them, in a minute or later;
//! short jobs have to be done within seconds. While a queue's short jobs hold less than they are
//! entitled to, runs of long-running steps that hold more than theirs are stopped, and their tasks
//! return a few seconds later.
//!
//! Limits: never more of a step than its disruption budget, whatever else of it is away, and a
//! share of it at most; a task is away for a few seconds, at most four times, and stays for longer
//! than that in between; gangs are not lent, nor lent for. What is lent is in memory: a new owner
//! takes lent tasks for waiting ones.

mod choice;
#[cfg(test)]
mod choice_tests;
mod loans;
mod offers;
pub(crate) mod settings;
mod waiting;

use std::sync::Arc;

use crate::{
    entitlement::{Entitlement, WorkKind},
    lending::settings::Lending,
    model::{ids::TaskId, task::Stage},
    runs::worker::{Capacity, demand},
    scheduler::Scheduler,
};

/// Time after a takeover in which nothing is lent, in milliseconds: tasks that an earlier owner
/// lent are back by then, and what the queues hold and ask for is known.
const TAKEOVER_MS: u64 = 5000;

/// Time without contact to the store after which nothing is lent, in milliseconds. The owner renews
/// its lease in less than half of it.
const STORE_MS: u64 = 1000;

/// Time between two choices, in milliseconds. The capacity is divided as often.
const CHOICE_PERIOD_MS: u64 = 200;

/// Lent tasks return once no queue has been short for this long, in milliseconds. Short jobs come
/// in groups, with moments between them in which none waits.
const CALM_MS: u64 = 500;

/// Whether a lent task may be placed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its run is being stopped, or it is held back.
    Away,
    /// It may be placed, first of all where its capacity was lent.
    Returning,
    /// It has a new run.
    Starting,
}

/// A task that is lent.
#[derive(Debug)]
struct Lent {
    task: TaskId,
    /// Number of the run that was stopped.
    run: u32,
    /// Slot of the worker.
    slot: u32,
    size: Capacity,
    /// The queue that was short.
    queue: Arc<str>,
    service: Arc<str>,
    /// When the stop was ordered.
    lent_at: u64,
    /// When the task may be placed again.
    due_at: u64,
    /// When a queue of the service was last short.
    short_at: u64,
    phase: Phase,
}

/// The lent tasks.
#[derive(Debug)]
pub(crate) struct Lender {
    lent: Vec<Lent>,
    /// When this owner took over.
    began_at: u64,
    chosen_at: u64,
    /// Slot of the worker at which the next choice begins.
    next_slot: usize,
}

impl Lender {
    /// Returns the state of an owner that takes over at `now`.
    pub(crate) fn new(now: u64) -> Lender {
        Lender {
            lent: Vec::new(),
            began_at: now,
            chosen_at: 0,
            next_slot: 0,
        }
    }
}

impl Scheduler {
    /// Lets lent tasks return whose time is over, or whose capacity nobody is short of any more.
    pub(crate) fn return_lent_tasks(&mut self) {
        for entry in &self.lender.lent {
            self.fleet.get_mut(entry.slot).lent = Capacity::default();
        }
        let mut lent = std::mem::take(&mut self.lender.lent);
        lent.retain_mut(|entry| self.update_lent(entry));
        for entry in lent.iter().filter(|l| l.phase != Phase::Starting) {
            self.fleet
                .get_mut(entry.slot)
                .lend(entry.size, entry.due_at);
        }
        self.lender.lent = lent;
        self.stats.lent_now = self.lender.lent.len() as u64;
    }

    /// Updates a lent task. Returns whether it is still lent or on its way back.
    fn update_lent(&mut self, lent: &mut Lent) -> bool {
        let now = self.now;
        let id = lent.task;
        let state = self.jobs.get(&id.job);
        let task = state
            .filter(|s| !s.outcome.is_final())
            .and_then(|s| s.task(id));
        if task.is_none_or(|t| t.done) {
            return false;
        }
        if self.is_service_short(&lent.service) {
            lent.short_at = now;
        }
        let is_free = self.has_room_for_return(lent);
        let is_called_back = now > lent.short_at + CALM_MS && is_free;
        if lent.phase == Phase::Away && (now >= lent.due_at || is_called_back) {
            lent.phase = Phase::Returning;
            lent.due_at = lent.due_at.min(now);
            let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
            if let Some(task) = task {
                task.lent_until = lent.due_at;
            }
            self.placement_due = true;
            return true;
        }
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let run = task.filter(|t| t.last_run > lent.run);
        let Some(run) = run.and_then(|t| t.run.as_ref()) else {
            return true;
        };
        lent.phase = Phase::Starting;
        if !matches!(run.stage, Stage::Confirmed(_)) {
            return true;
        }
        let away = now - lent.lent_at;
        self.stats.returned += 1;
        self.stats.longest_away_ms = self.stats.longest_away_ms.max(away);
        let worker = self.fleet.get(run.worker);
        log::info!(task = id.to_string().as_str(), worker = &*worker.id, queue = &*lent.queue, away_ms = away; "lending: returned");
        false
    }

    /// Stops runs of long-running tasks for the queues whose short jobs are short of capacity.
    /// Called after a pass of placement, which has left no task that fits.
    pub(crate) fn lend(&mut self) {
        let Some(bounds) = self.settings.lending else {
            return;
        };
        let is_early = self.now < self.lender.began_at + TAKEOVER_MS
            || self.now < self.lender.chosen_at + CHOICE_PERIOD_MS;
        // What is freed can be used only if starts are recorded and sent at once.
        let is_held_up = self.window.limit().is_some() || self.now > self.store_contact + STORE_MS;
        if is_early || is_held_up || !self.fleet.is_fresh(self.now, &self.settings) {
            return;
        }
        self.lender.chosen_at = self.now;
        let rows = &self.entitlements.rows;
        let short = rows.iter().filter(|r| r.is_short_of_capacity());
        let short: Vec<Entitlement> = short.cloned().collect();
        for row in short {
            let Some(problem) = self.lending_problem(&row, &bounds) else {
                continue;
            };
            let shortage = problem.shortage;
            for id in choice::choose(problem) {
                self.lend_task(id, &row, shortage, &bounds);
            }
        }
    }

    /// Stops the run of a task for a queue that is short.
    fn lend_task(&mut self, id: TaskId, row: &Entitlement, shortage: u64, bounds: &Lending) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let size = demand(&state.job.spec.steps[id.step as usize]);
        let Some(task) = state.task_mut(id) else {
            return;
        };
        let Some(slot) = task.run.as_ref().map(|r| r.worker) else {
            return;
        };
        let due_at = now + bounds.max_away();
        task.lent_until = due_at;
        let run = task.last_run;
        let worker = self.fleet.get_mut(slot);
        worker.lend(size, due_at);
        log::info!(task = id.to_string().as_str(), worker = &*worker.id, queue = &*row.queue, shortage, away_ms = bounds.max_away(); "lending: lent");
        self.stop_run(id);
        self.stats.lent += 1;
        self.lender.lent.push(Lent {
            task: id,
            run,
            slot,
            size,
            queue: row.queue.clone(),
            service: row.service.clone(),
            lent_at: now,
            due_at,
            short_at: now,
            phase: Phase::Away,
        });
    }

    /// Returns whether short jobs of any queue of a service are short of capacity.
    fn is_service_short(&self, service: &str) -> bool {
        let rows = &self.entitlements.rows;
        rows.iter()
            .any(|r| *r.service == *service && r.is_short_of_capacity())
    }
}

impl Entitlement {
    /// Returns whether these are short jobs that hold less than they are entitled to.
    fn is_short_of_capacity(&self) -> bool {
        self.kind == WorkKind::Short && self.is_short()
    }
}
