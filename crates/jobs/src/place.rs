//! Which task runs where.

use std::sync::Arc;

use crate::{
    ids::{JobId, TaskId},
    job::JobState,
    machine::Machine,
    misfit::Misfit,
    request::Request,
    sample::Image,
    slack::Slack,
    spec::Step,
    task::{Run, Stage},
    worker::Worker,
};

/// A job of which nothing runs for this long may have a task beyond the share of
/// processors that filling tasks are given, in milliseconds.
const STARVED: u64 = 1500;

/// A task does not go back to the worker that it failed on for this long, and not
/// to one that others failed on, in milliseconds.
const AVOID: u64 = 2500;

/// What a serving task of the same image on a worker adds to its score, in
/// thousandths of the worker's processors.
const ALIKE: i64 = 200;

/// What one of another image takes off.
const UNLIKE: i64 = 400;

/// What a headroom that is less by one takes off.
const DISTURBED: f64 = 250.0;

/// Why tasks of a step can't all be placed now.
enum Placed {
    /// All that waited are placed.
    All,
    /// Some are not.
    Short,
}

/// What one pass of placement found out.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// What serving tasks bear, by worker; worked out when it is needed.
    slack: Vec<Option<Slack>>,
    misfits: Vec<Misfit>,
    /// Workers that are kept free for overdue tasks.
    pub(crate) held: Vec<u32>,
}

impl Machine {
    /// Places tasks that wait, the most urgent jobs first.
    pub(crate) fn place(&mut self) {
        self.sort_open();
        let mut pass = Pass {
            slack: vec![None; self.fleet.workers.len()],
            ..Pass::default()
        };
        for at in 0..self.open.len() {
            let id = self.open[at];
            self.place_job(id, &mut pass);
        }
    }

    fn place_job(&mut self, id: JobId, pass: &mut Pass) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let job = state.job.clone();
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            return;
        };
        let mut idle = nothing_runs(state) && self.now > state.seen + STARVED;
        for time in 0..state.times.len() {
            for (at, step) in job.spec.steps.iter().enumerate() {
                let Some(state) = self.jobs.get(&id) else {
                    return;
                };
                if state.times[time][at].is_done() || !state.is_ready(time, at) {
                    continue;
                }
                let first = TaskId {
                    job: id,
                    time: time as u32,
                    step: at as u32,
                    index: 0,
                };
                let placed = match step.gang {
                    true => self.place_gang(first, step, &service, pass),
                    false => self.place_step(first, step, &service, (&mut idle, pass)),
                };
                if matches!(placed, Placed::Short) {
                    break;
                }
            }
        }
    }

    fn place_step(
        &mut self,
        first: TaskId,
        step: &Step,
        service: &Arc<str>,
        (idle, pass): (&mut bool, &mut Pass),
    ) -> Placed {
        for index in 0..step.count {
            let id = TaskId { index, ..first };
            let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
            let Some(task) = task.filter(|t| t.is_waiting(self.now)) else {
                continue;
            };
            let recent = self.now < task.pause + AVOID;
            let request = Request {
                first,
                step,
                service,
                avoid: task.avoid.filter(|_| recent),
                starved: *idle,
            };
            let Some(slot) = self.choose(request, pass) else {
                let state = self.jobs.get(&id.job).filter(|j| self.is_overdue(j));
                if let Some(state) = state.filter(|_| step.lasting) {
                    let runs = &state.times[id.time as usize][id.step as usize];
                    self.hold_room(runs, step, service, pass);
                }
                return Placed::Short;
            };
            *idle = false;
            pass.slack[slot as usize] = None;
            self.plan(id, slot, step, None);
        }
        Placed::All
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        first: TaskId,
        step: &Step,
        service: &Arc<str>,
        pass: &mut Pass,
    ) -> Placed {
        let Some(state) = self.jobs.get(&first.job) else {
            return Placed::All;
        };
        let tasks = &state.times[first.time as usize][first.step as usize].tasks;
        if tasks.iter().any(|t| !t.is_waiting(self.now)) {
            return Placed::All;
        }
        let run = tasks.iter().map(|t| t.last).max().unwrap_or(0) + 1;
        let request = Request {
            first,
            step,
            service,
            avoid: None,
            starved: false,
        };
        let mut planned = Vec::new();
        for index in 0..step.count {
            let Some(slot) = self.choose(request, pass) else {
                break;
            };
            pass.slack[slot as usize] = None;
            let id = TaskId { index, ..first };
            self.plan(id, slot, step, Some(run));
            planned.push(id);
        }
        if planned.len() == step.count as usize {
            return Placed::All;
        }
        for id in planned {
            self.clear(id);
        }
        Placed::Short
    }

    fn plan(&mut self, id: TaskId, slot: u32, step: &Step, number: Option<u32>) {
        let now = self.now;
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else {
            return;
        };
        task.last = number.unwrap_or(task.last + 1);
        let run = Run::new(slot, Stage::Planned, now);
        let worker = self.fleet.get_mut(slot);
        task.run = Some(run);
        worker.reserve(id, step);
        worker.probes += 1;
        worker.probed = now;
        self.mark(id.job);
    }

    /// Returns the best worker for a task of a step, if any can take it.
    fn choose(&self, request: Request<'_>, pass: &mut Pass) -> Option<u32> {
        let Request {
            first,
            step,
            service,
            avoid,
            starved,
        } = request;
        let state = self.jobs.get(&first.job)?;
        let runs = &state.times[first.time as usize][first.step as usize];
        let image = state.images[first.step as usize];
        let misfit = Misfit::new(&request, image);
        if !starved && pass.misfits.iter().any(|m| m.covers(&misfit)) {
            return None;
        }
        let mut best: Option<(i64, u32)> = None;
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            if !self.fits(worker, step, service, starved) || avoid == Some(slot) {
                continue;
            }
            if avoid.is_some() && worker.failures > 0 || !step.fill && pass.held.contains(&slot) {
                continue;
            }
            if step.spread > 0 && runs.on_worker(slot) >= step.spread {
                continue;
            }
            let mut points = score(worker, step);
            if step.target > 0 {
                points += self.alike(worker, image);
                points -= (self.pressure_on(slot, image) * DISTURBED) as i64;
            }
            if step.fill {
                let slack = pass.slack[slot as usize].get_or_insert_with(|| self.slack(slot));
                let excess = slack.excess(&self.pairs, image, worker.share(step.cpu));
                if slack.over || excess > 0.0 && !starved {
                    continue;
                }
                points -= (excess * DISTURBED) as i64;
            }
            if best.is_none_or(|(b, _)| points > b) {
                best = Some((points, slot));
            }
        }
        // What any worker may take, others of the same kind may as well.
        let plain = step.label.is_none() && step.spread == 0 && avoid.is_none();
        if best.is_none() && plain && !starved {
            pass.misfits.push(misfit);
        }
        best.map(|(_, slot)| slot)
    }

    /// Returns how well a serving task suits those that a worker has.
    ///
    /// Images differ in what disturbs them. Where a worker serves one image only,
    /// what disturbs the others can fill there.
    fn alike(&self, worker: &Worker, image: Image) -> i64 {
        let mut points = 0;
        for id in &worker.runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            if state.job.spec.steps[id.step as usize].target == 0 {
                continue;
            }
            points += match state.images[id.step as usize] == image {
                true => ALIKE,
                false => -UNLIKE,
            };
        }
        points
    }
}

fn nothing_runs(state: &JobState) -> bool {
    let mut tasks = state.times.iter().flatten().flat_map(|s| &s.tasks);
    tasks.all(|t| t.run.is_none())
}

/// Returns how well a worker suits a task of a step; more is better.
fn score(worker: &Worker, step: &Step) -> i64 {
    let room = worker.capacity();
    let free = (room.cpu + worker.spare) as i64 - (worker.used.cpu + worker.filling) as i64;
    let mut score = free * 1000 / (room.cpu as i64).max(1);
    if let (Some(rack), Some(info)) = (&step.rack, &worker.info)
        && info.labels.contains(rack)
    {
        score += 5000;
    }
    score - (worker.slowness as i64 - 100).max(0) * 5
}
