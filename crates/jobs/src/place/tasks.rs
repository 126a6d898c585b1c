//! Places waiting tasks on workers.

use std::cmp::Reverse;

use crate::{
    model::{
        ids::{JobId, TaskId},
        spec::Step,
        task::{Run, Stage},
    },
    place::{
        pass::{Coverage, Pass},
        rank::Ranking,
        request::Request,
        starvation::PlacementRule,
        unplaceable::Unplaceable,
    },
    scheduler::Scheduler,
};

/// A job of this age without runs may place one task beyond the CPU share of best-effort
/// tasks, in milliseconds. Otherwise a task that interferes with every serving task might
/// never start.
///
/// This does not apply while the service is crowded: most jobs then wait for as long, and
/// one extra task of each would slow all of them down. On 350 full workers that lowered the
/// value earned by best-effort jobs from 0.65 to 0.60.
const STARVED_MS: u64 = 1500;

/// Time for which a task avoids the worker on which it failed, and workers with other
/// failures, in milliseconds after its backoff.
const AVOID_WORKER_MS: u64 = 2500;

/// A member of a gang. The order is that of placement: members that need isolation come
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Member {
    /// Whether the member may share its worker with other tasks.
    can_share: bool,
    index: u32,
}

/// An assignment made in this pass, with the previous state of its task.
#[derive(Debug)]
struct Assignment {
    id: TaskId,
    slot: u32,
    /// Number of the task's previous run.
    previous_run: u32,
    /// When the task lost its previous run.
    previous_idle_since: u64,
}

/// Result of placing a gang.
pub(super) enum GangPlacement {
    /// No member is left to place in this pass.
    All,
    /// No member is placed.
    Unplaced,
}

impl Scheduler {
    /// Places waiting tasks, those of the most urgent jobs first, within the budget of
    /// one pass.
    ///
    /// Places nothing while the workers' announcements are stale: any worker may be
    /// about to leave.
    pub(crate) fn place_tasks(&mut self) -> Coverage {
        if !self.fleet.is_fresh(self.now, &self.settings) {
            self.stats.skipped_passes += 1;
            return Coverage::Complete;
        }
        self.sort_open_jobs();
        let mut pass = Pass::new(&self.fleet, self.now);
        pass.reservations = self.current_reservations();
        if let Some(limit) = self.window.limit() {
            pass.starts_left = limit.saturating_sub(self.unanswered_starts());
        }
        self.place_suspects(&mut pass);
        let on_time_jobs = self.open_jobs.len() - self.late_jobs;
        for index in 0..self.open_jobs.len() {
            if index == on_time_jobs {
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
            let id = self.open_jobs[index];
            self.place_job(id, &mut pass);
        }
        self.place_suspects_on_idle(&mut pass);
        self.stats.ratings += pass.ratings as u64;
        match pass.is_over_budget() {
            true => Coverage::Partial,
            false => Coverage::Complete,
        }
    }

    /// Returns the number of placed runs whose start has not been answered.
    pub(crate) fn unanswered_starts(&self) -> usize {
        let runs = self.fleet.workers.iter().flat_map(|w| &w.runs);
        let stages = runs.filter_map(|&id| {
            let run = self.jobs.get(&id.job)?.task(id)?.run.as_ref();
            run.map(|r| r.stage)
        });
        let unanswered = stages.filter(|s| matches!(s, Stage::Planned | Stage::Sent(_)));
        unanswered.count()
    }

    fn place_job(&mut self, id: JobId, pass: &mut Pass) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let job = state.job.clone();
        let has_waited = self.now > state.known_since + STARVED_MS;
        let is_starved = has_waited && !state.has_runs();
        let repetitions = state.repetitions.len();
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            return;
        };
        let service = self.fleet.service(&service);
        let mut may_exceed_share = is_starved && !pass.is_crowded(&service);
        for repetition in 0..repetitions {
            for (step_index, step) in job.spec.steps.iter().enumerate() {
                let Some(state) = self.jobs.get(&id) else {
                    return;
                };
                let has_no_waiting = state.repetitions[repetition][step_index].unassigned == 0;
                if has_no_waiting || !state.is_ready(repetition, step_index) {
                    continue;
                }
                let first_task = TaskId {
                    job: id,
                    repetition: repetition as u32,
                    step: step_index as u32,
                    index: 0,
                };
                let request = Request {
                    first_task,
                    step,
                    image: state.images[step_index],
                    service: &service,
                    failed_worker: None,
                    starved: may_exceed_share && step.best_effort,
                    access: self.loan_access(first_task),
                    nearly_lost: step.long_running && self.is_nearly_lost(state),
                };
                // A step that finds no worker doesn't block later steps,
                // which may request less.
                match step.gang {
                    true => {
                        self.place_gang(request, pass);
                    }
                    false => self.place_step(request, pass),
                }
                may_exceed_share =
                    may_exceed_share && self.jobs.get(&id).is_some_and(|j| !j.has_runs());
            }
        }
    }

    /// Places the waiting tasks of a step. If the job is starved, the first one may
    /// exceed the CPU share of best-effort tasks.
    fn place_step(&mut self, mut request: Request<'_>, pass: &mut Pass) {
        let (step, first) = (request.step, request.first_task);
        let mut ranking: Option<Ranking> = None;
        let state = self.jobs.get(&first.job);
        let runs = state.map(|j| &j.repetitions[first.repetition as usize][first.step as usize]);
        let mut waiting = runs.map_or(Vec::new(), |r| r.waiting_tasks(self.now));
        if let Some(runs) = runs.filter(|_| step.long_running) {
            // Users count each of them as lost by itself.
            waiting.sort_by_key(|&index| {
                let task = &runs.tasks[index as usize];
                let access = task.loan_access(self.now);
                (Reverse(access), task.last_run == 0, task.idle_since)
            });
        }
        for index in waiting {
            if pass.starts_left == 0 {
                return;
            }
            let id = TaskId { index, ..first };
            request.failed_worker = self.worker_to_avoid(id);
            let access = self.task_loan_access(id);
            if request.access != access {
                // The ranking holds workers that this task may not take.
                request.access = access;
                ranking = None;
            }
            let Some(slot) = self.choose_worker(&request, &mut ranking, pass) else {
                self.reserve_worker(&request, pass);
                return;
            };
            let rule = match request.starved {
                true => PlacementRule::BeyondShare,
                false => PlacementRule::Order,
            };
            request.starved = false;
            self.place_on(id, slot, step, rule);
            self.use_reservation(slot, first, pass);
            pass.starts_left -= 1;
            pass.update_free_capacity(slot, &self.fleet);
        }
    }

    /// Returns the worker on which a task failed recently.
    pub(super) fn worker_to_avoid(&self, id: TaskId) -> Option<u32> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        let recent = self.now < task.retry_at + AVOID_WORKER_MS;
        task.failed_worker.filter(|_| recent)
    }

    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(&mut self, request: Request<'_>, pass: &mut Pass) -> GangPlacement {
        let (step, first) = (request.step, request.first_task);
        let Some(state) = self.jobs.get(&first.job) else {
            return GangPlacement::All;
        };
        let tasks = &state.repetitions[first.repetition as usize][first.step as usize].tasks;
        if tasks.iter().any(|t| !t.is_waiting(self.now)) {
            return GangPlacement::All;
        }
        let run = tasks.iter().map(|t| t.last_run).max().unwrap_or(0) + 1;
        // Suspects come first, while there are empty workers.
        let mut members: Vec<Member> = (0..)
            .zip(tasks)
            .map(|(index, task)| Member {
                can_share: !task.needs_isolation(self.now),
                index,
            })
            .collect();
        members.sort_unstable();
        let (starts_left, unplaceable_before) = (pass.starts_left, pass.unplaceable.len());
        pass.starts_left = starts_left.saturating_sub(step.count as usize);
        let placed = self.assign_members(&request, &members, run, pass);
        if placed.len() == step.count as usize {
            for member in placed {
                self.log_stall_end(member.id, member.slot, PlacementRule::Order);
                self.fleet.get_mut(member.slot).record_probe(self.now);
            }
            self.share_checkpoint(first);
            return GangPlacement::All;
        }
        pass.starts_left = starts_left;
        if !placed.is_empty() {
            // A task that doesn't fit beside its gang members may fit without
            // them.
            pass.unplaceable.truncate(unplaceable_before);
        }
        for member in placed {
            pass.reopen_worker(member.slot);
            self.unassign(&member);
            pass.update_free_capacity(member.slot, &self.fleet);
        }
        GangPlacement::Unplaced
    }

    /// Assigns members of a gang to workers as run number `run`, until one finds no
    /// worker.
    fn assign_members(
        &mut self,
        request: &Request<'_>,
        members: &[Member],
        run: u32,
        pass: &mut Pass,
    ) -> Vec<Assignment> {
        let mut ranking: Option<Ranking> = None;
        let mut placed = Vec::new();
        for &Member { can_share, index } in members {
            let id = TaskId {
                index,
                ..request.first_task
            };
            let isolated = match can_share {
                true => None,
                false => self.find_isolated_worker(id, request, pass),
            };
            let slot = match isolated {
                None if can_share || self.has_waited_for_isolation(id) => {
                    self.choose_worker(request, &mut ranking, pass)
                }
                slot => slot,
            };
            let Some(slot) = slot else {
                break;
            };
            placed.extend(self.assign(id, slot, request.step, Some(run)));
            if isolated.is_some() {
                self.isolate(id, slot, pass);
            }
            pass.update_free_capacity(slot, &self.fleet);
        }
        placed
    }

    /// Places a task on a worker by a rule and counts the run as a probe of the worker.
    pub(super) fn place_on(&mut self, id: TaskId, slot: u32, step: &Step, rule: PlacementRule) {
        if self.assign(id, slot, step, None).is_some() {
            self.log_stall_end(id, slot, rule);
            self.fleet.get_mut(slot).record_probe(self.now);
        }
    }

    /// Assigns a task to a worker, as run `number` or else the next one. Returns what
    /// [`Scheduler::unassign`] needs to undo the assignment.
    fn assign(
        &mut self,
        id: TaskId,
        slot: u32,
        step: &Step,
        number: Option<u32>,
    ) -> Option<Assignment> {
        let now = self.now;
        let state = self.jobs.get_mut(&id.job)?;
        let runs = state.step_mut(id.repetition, id.step)?;
        let task = &mut runs.tasks[id.index as usize];
        let assignment = Assignment {
            id,
            slot,
            previous_run: task.last_run,
            previous_idle_since: task.idle_since,
        };
        task.last_run = number.unwrap_or(task.last_run + 1);
        task.lent_until = 0;
        runs.set_run(id.index as usize, Run::new(slot, Stage::Planned, now));
        let worker = self.fleet.get_mut(slot);
        worker.reserve(id, step);
        if step.best_effort {
            worker.own_load.record_best_effort(true, now);
        }
        self.mark_dirty(id.job);
        Some(assignment)
    }

    /// Undoes an assignment of this pass. The task counts as waiting all the while, and
    /// no record has to become durable.
    fn unassign(&mut self, assignment: &Assignment) {
        let id = assignment.id;
        self.clear_run(id);
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        if let Some(task) = task {
            task.last_run = assignment.previous_run;
            task.idle_since = assignment.previous_idle_since;
        }
    }

    /// Returns the best worker for a task of a step, if any can take it. The `ranking`
    /// is shared by similar tasks of the step.
    pub(super) fn choose_worker(
        &mut self,
        request: &Request<'_>,
        ranking: &mut Option<Ranking>,
        pass: &mut Pass,
    ) -> Option<u32> {
        if request.failed_worker.is_some() {
            pass.count_ratings();
            let mut own_ranking = self.rank_workers(request, pass);
            return self.best_worker(&mut own_ranking, request, pass);
        }
        let unplaceable = Unplaceable::new(request);
        let is_ruled_out = pass.unplaceable.iter().any(|u| u.implies(&unplaceable));
        // The worker that is reserved for the request, or owes it capacity, refuses all others.
        let has_own = || {
            let first = request.first_task;
            pass.has_reservation(first)
                || request.step.long_running && self.has_loan_to_return(first)
        };
        if is_ruled_out && !has_own() {
            return None;
        }
        let mut own_ranking = None;
        let ranking = if request.starved {
            &mut own_ranking
        } else {
            ranking
        };
        if ranking.is_none() {
            pass.count_ratings();
            *ranking = Some(self.rank_workers(request, pass));
        }
        let worker = self.best_worker(ranking.as_mut()?, request, pass);
        // Failed requests of a step with a limit per worker do not apply to other steps:
        // a worker at the limit still takes their tasks.
        if worker.is_none() && request.step.max_per_worker == 0 {
            pass.unplaceable.push(unplaceable);
        }
        worker
    }
}
