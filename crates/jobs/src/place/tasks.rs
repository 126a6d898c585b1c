//! Places the tasks that wait.

use crate::{
    machine::Machine,
    model::{
        ids::{JobId, TaskId},
        spec::Step,
        task::{Run, Stage},
    },
    place::{
        pass::{Coverage, Pass},
        rank::Ranking,
        request::Request,
        unplaceable::Unplaceable,
    },
};

/// A job of which nothing runs for this long may have a task beyond the share of
/// processors that filling tasks are given, in milliseconds: else one that disturbs
/// everywhere might never begin.
///
/// Not while the fleet is crowded: then most jobs wait for as long, and with a task of each
/// beyond its share all are slowed (filling jobs earned 0.60 of their worth so on 350 full
/// workers, 0.65 without that, 15 days with trouble).
const STARVED: u64 = 1500;

/// A task does not go back to the worker that it failed on for this long, and not
/// to one that others failed on, in milliseconds.
const AVOID: u64 = 2500;

/// A member of a gang, in the order in which they are placed: those that run apart come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Member {
    /// Whether it may run beside others.
    beside: bool,
    index: u32,
}

/// A place that was chosen in this pass, and what its task was like before.
#[derive(Debug)]
struct Assigned {
    id: TaskId,
    slot: u32,
    /// Number of its last run.
    last: u32,
    /// When it last lost its run.
    cleared: u64,
}

/// What became of a gang.
pub(super) enum Placed {
    /// All that waited are placed.
    All,
    /// None is.
    Unplaced,
}

impl Machine {
    /// Places tasks that wait, the most urgent jobs first, as far as one pass goes.
    ///
    /// Nothing is placed while it is not known which workers are about to leave.
    pub(crate) fn place_tasks(&mut self) -> Coverage {
        if !self.fleet.is_fresh(self.now, &self.settings) {
            self.stats.skipped_passes += 1;
            return Coverage::Whole;
        }
        self.sort_open_jobs();
        let mut pass = Pass::new(&self.fleet, self.now);
        pass.reservations = self.current_reservations();
        if let Some(bound) = self.window.limit() {
            pass.starts_left = bound.saturating_sub(self.starting());
        }
        self.place_suspects(&mut pass);
        let timely = self.open_jobs.len() - self.late_jobs;
        for at in 0..self.open_jobs.len() {
            if at == timely {
                self.place_aged_jobs(&mut pass);
            }
            if pass.starts_left == 0 {
                self.stats.throttled_passes += 1;
                break;
            }
            if pass.is_over_budget() {
                self.stats.truncated_passes += 1;
                break;
            }
            let id = self.open_jobs[at];
            self.place_job(id, &mut pass);
        }
        self.place_suspects_on_idle(&mut pass);
        self.stats.ratings += pass.ratings as u64;
        match pass.is_over_budget() {
            true => Coverage::Partial,
            false => Coverage::Whole,
        }
    }

    /// Returns how many runs are placed and have not been answered for.
    fn starting(&self) -> usize {
        let runs = self.fleet.workers.iter().flat_map(|w| &w.runs);
        let stages = runs.filter_map(|&id| {
            let run = self.jobs.get(&id.job)?.task(id)?.run.as_ref();
            run.map(|r| r.stage)
        });
        let under_way = stages.filter(|s| matches!(s, Stage::Planned | Stage::Sent(_)));
        under_way.count()
    }

    fn place_job(&mut self, id: JobId, pass: &mut Pass) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let job = state.job.clone();
        let long = self.now > state.known_since + STARVED;
        let is_still = long && !state.has_runs();
        let times = state.repetitions.len();
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            return;
        };
        let service = self.fleet.service(&service);
        let mut idle = is_still && !pass.is_crowded(&service);
        for time in 0..times {
            for (at, step) in job.spec.steps.iter().enumerate() {
                let Some(state) = self.jobs.get(&id) else {
                    return;
                };
                let nothing_waits = state.repetitions[time][at].unassigned == 0;
                if nothing_waits || !state.is_ready(time, at) {
                    continue;
                }
                let request = Request {
                    first_task: TaskId {
                        job: id,
                        repetition: time as u32,
                        step: at as u32,
                        index: 0,
                    },
                    step,
                    image: state.images[at],
                    service: &service,
                    failed_worker: None,
                    starved: idle && step.best_effort,
                };
                // What waits of one step holds back no other one: that may ask for less.
                match step.gang {
                    true => {
                        self.place_gang(request, pass);
                    }
                    false => self.place_step(request, pass),
                }
                idle = idle && self.jobs.get(&id).is_some_and(|j| !j.has_runs());
            }
        }
    }

    /// Places the tasks of a step that wait; the first one beyond the usual share if the
    /// job has starved.
    fn place_step(&mut self, mut request: Request<'_>, pass: &mut Pass) {
        let (step, first) = (request.step, request.first_task);
        let mut ranking: Option<Ranking> = None;
        let state = self.jobs.get(&first.job);
        let runs = state.map(|j| &j.repetitions[first.repetition as usize][first.step as usize]);
        let waiting = runs.map_or(Vec::new(), |r| r.waiting_tasks(self.now));
        for index in waiting {
            if pass.starts_left == 0 {
                return;
            }
            let id = TaskId { index, ..first };
            request.failed_worker = self.worker_to_avoid(id);
            let Some(slot) = self.choose_worker(&request, &mut ranking, pass) else {
                self.reserve_worker(&request, pass);
                return;
            };
            request.starved = false;
            self.place_on(id, slot, step);
            pass.starts_left -= 1;
            pass.update_free_capacity(slot, &self.fleet);
        }
    }

    /// Returns the worker on which a task failed of late.
    pub(super) fn worker_to_avoid(&self, id: TaskId) -> Option<u32> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        let recent = self.now < task.retry_at + AVOID;
        task.failed_worker.filter(|_| recent)
    }

    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(&mut self, request: Request<'_>, pass: &mut Pass) -> Placed {
        let (step, first) = (request.step, request.first_task);
        let Some(state) = self.jobs.get(&first.job) else {
            return Placed::All;
        };
        let tasks = &state.repetitions[first.repetition as usize][first.step as usize].tasks;
        if tasks.iter().any(|t| !t.is_waiting(self.now)) {
            return Placed::All;
        }
        let run = tasks.iter().map(|t| t.last_run).max().unwrap_or(0) + 1;
        // Suspects come first, while there are empty workers.
        let mut members: Vec<Member> = (0..)
            .zip(tasks)
            .map(|(index, task)| Member {
                beside: !task.needs_isolation(self.now),
                index,
            })
            .collect();
        members.sort_unstable();
        let (starts, misfits) = (pass.starts_left, pass.unplaceable.len());
        pass.starts_left = starts.saturating_sub(step.count as usize);
        let placed = self.assign_members(&request, &members, run, pass);
        if placed.len() == step.count as usize {
            for member in placed {
                self.fleet.get_mut(member.slot).note_probe(self.now);
            }
            self.share_checkpoint(first);
            return Placed::All;
        }
        pass.starts_left = starts;
        if !placed.is_empty() {
            // What did not fit beside its members may fit without them.
            pass.unplaceable.truncate(misfits);
        }
        for member in placed {
            pass.reopen(member.slot);
            self.unassign(&member);
            pass.update_free_capacity(member.slot, &self.fleet);
        }
        Placed::Unplaced
    }

    /// Places members of a gang as its next run, until one finds no worker.
    fn assign_members(
        &mut self,
        request: &Request<'_>,
        members: &[Member],
        run: u32,
        pass: &mut Pass,
    ) -> Vec<Assigned> {
        let mut ranking: Option<Ranking> = None;
        let mut placed = Vec::new();
        for &Member { beside, index } in members {
            let id = TaskId {
                index,
                ..request.first_task
            };
            let apart = match beside {
                true => None,
                false => self.find_isolated_worker(id, request, pass),
            };
            let slot = match apart {
                None if beside || self.has_waited_for_isolation(id) => {
                    self.choose_worker(request, &mut ranking, pass)
                }
                slot => slot,
            };
            let Some(slot) = slot else {
                break;
            };
            placed.extend(self.assign(id, slot, request.step, Some(run)));
            if apart.is_some() {
                self.isolate(id, slot, pass);
            }
            pass.update_free_capacity(slot, &self.fleet);
        }
        placed
    }

    /// Places a task on a worker, as one of those that it is tried with.
    pub(super) fn place_on(&mut self, id: TaskId, slot: u32, step: &Step) {
        if self.assign(id, slot, step, None).is_some() {
            self.fleet.get_mut(slot).note_probe(self.now);
        }
    }

    /// Places a task on a worker, as the next run or as that with a number; returns what takes
    /// this back.
    fn assign(
        &mut self,
        id: TaskId,
        slot: u32,
        step: &Step,
        number: Option<u32>,
    ) -> Option<Assigned> {
        let now = self.now;
        let state = self.jobs.get_mut(&id.job)?;
        let runs = state.step_mut(id.repetition, id.step)?;
        let task = &mut runs.tasks[id.index as usize];
        let assigned = Assigned {
            id,
            slot,
            last: task.last_run,
            cleared: task.idle_since,
        };
        task.last_run = number.unwrap_or(task.last_run + 1);
        runs.set_run(id.index as usize, Run::new(slot, Stage::Planned, now));
        let worker = self.fleet.get_mut(slot);
        worker.reserve(id, step);
        if step.best_effort {
            worker.own_load.record_best_effort(true, now);
        }
        self.mark_dirty(id.job);
        Some(assigned)
    }

    /// Takes a place back that was chosen in this pass: its task has waited all the while, and
    /// nothing of it has to be made durable.
    fn unassign(&mut self, assigned: &Assigned) {
        let id = assigned.id;
        self.clear_run(id);
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        if let Some(task) = task {
            task.last_run = assigned.last;
            task.idle_since = assigned.cleared;
        }
    }

    /// Returns the best worker for a task of a step, if any can take it; `ranking` serves
    /// the tasks of the step that are alike.
    pub(super) fn choose_worker(
        &mut self,
        request: &Request<'_>,
        ranking: &mut Option<Ranking>,
        pass: &mut Pass,
    ) -> Option<u32> {
        if request.failed_worker.is_some() {
            pass.count_ratings();
            let mut own = self.rank(request, pass);
            return self.best(&mut own, request, pass);
        }
        let misfit = Unplaceable::new(request);
        if pass.unplaceable.iter().any(|m| m.implies(&misfit)) {
            return None;
        }
        let mut own = None;
        let ranking = if request.starved { &mut own } else { ranking };
        if ranking.is_none() {
            pass.count_ratings();
            *ranking = Some(self.rank(request, pass));
        }
        let best = self.best(ranking.as_mut()?, request, pass);
        // A worker that has as many tasks of one step as it may have takes those of another one.
        if best.is_none() && request.step.max_per_worker == 0 {
            pass.unplaceable.push(misfit);
        }
        best
    }
}
