//! What a queue is short of, and which runs of long-running tasks could be stopped for it.

use std::sync::Arc;

use crate::{
    entitlement::{Entitlement, WorkKind},
    lending::{
        Phase,
        choice::{LendingStep, Offer, Problem, Resource, Victim, Waiting},
        settings::Lending,
        waiting::Group,
    },
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    runs::worker::{Capacity, Worker, demand},
    scheduler::Scheduler,
};

/// A task whose last run has this number or a higher one is not lent. Each loan adds a run, and
/// the number is durable, so that no task is lent five times, whatever owners there are.
const MAX_RUNS: u32 = 5;

/// Maximum number of workers that one choice considers.
const MAX_OFFERS: usize = 256;

/// A step as its key, which is sorted, and what it may lend.
type StepKey = (TaskId, LendingStep);

impl Scheduler {
    /// Returns what a queue is short of and what may be stopped for it, if that is anything.
    pub(super) fn lending_problem(
        &mut self,
        row: &Entitlement,
        bounds: &Lending,
    ) -> Option<Problem> {
        let groups = self.waiting_groups(&row.queue, bounds);
        let mut asked = Capacity::default();
        for group in &groups {
            asked.add(group.size.times(u64::from(group.count)));
        }
        let resource = self.scarcest(&row.service, asked);
        let missing = resource.of(row.entitled);
        let missing = missing.saturating_sub(resource.of(row.demand.held));
        let shortage = missing.min(resource.of(asked));
        let shortage = shortage.saturating_sub(self.being_freed(&row.queue, resource));
        if shortage == 0 {
            return None;
        }
        let queues = self.lending_queues(&row.service);
        let mut excess: Vec<u64> = Vec::with_capacity(queues.len());
        for queue in &queues {
            let row = self.entitlement(queue, WorkKind::LongRunning)?;
            let held = resource.of(row.demand.held);
            let held = held.saturating_sub(self.being_stopped(queue, resource));
            excess.push(held.saturating_sub(resource.of(row.entitled)));
        }
        let mut steps = self.lending_steps(&queues, bounds);
        let offers = self.offers(&row.service, &groups, &steps);
        let waiting = groups.iter().map(|g| Waiting {
            size: g.size,
            count: g.count,
        });
        Some(Problem {
            resource,
            shortage,
            waiting: waiting.collect(),
            steps: steps.drain(..).map(|(_, step)| step).collect(),
            excess,
            offers,
        })
    }

    /// Returns the resource of which `asked` takes the larger share of a service's capacity.
    fn scarcest(&self, service: &Arc<str>, asked: Capacity) -> Resource {
        let room = self.service_capacity(service);
        let cpu = u128::from(asked.cpu) * u128::from(room.memory);
        let memory = u128::from(asked.memory) * u128::from(room.cpu);
        match cpu >= memory {
            true => Resource::Cpu,
            false => Resource::Memory,
        }
    }

    /// Returns how much is being freed for a queue.
    fn being_freed(&self, queue: &str, resource: Resource) -> u64 {
        let entries = self.lender.lent.iter().filter(|l| *l.queue == *queue);
        let stopping = entries.filter(|l| l.phase == Phase::Away && self.is_stopping(l.task));
        stopping.map(|l| resource.of(l.size)).sum()
    }

    /// Returns how much of what a queue's long-running runs hold is being stopped.
    fn being_stopped(&self, queue: &str, resource: Resource) -> u64 {
        let stopping = self.lender.lent.iter().filter(|l| self.is_stopping(l.task));
        let own = stopping.filter(|l| {
            let state = self.jobs.get(&l.task.job);
            state.is_some_and(|s| *s.job.queue == *queue)
        });
        own.map(|l| resource.of(l.size)).sum()
    }

    fn is_stopping(&self, id: TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let run = task.and_then(|t| t.run.as_ref());
        run.is_some_and(|r| !r.is_wanted())
    }

    /// Returns the queues of a service whose long-running tasks hold more than they are entitled
    /// to, sorted.
    fn lending_queues(&self, service: &str) -> Vec<Arc<str>> {
        let rows = &self.entitlements.rows;
        let rows = rows.iter().filter(|r| {
            let (held, entitled) = (r.demand.held, r.entitled);
            let has_excess = held.cpu > entitled.cpu || held.memory > entitled.memory;
            *r.service == *service && r.kind == WorkKind::LongRunning && has_excess
        });
        rows.map(|r| r.queue.clone()).collect()
    }

    /// Returns the steps of these queues that may lend tasks, sorted by their first task.
    fn lending_steps(&self, queues: &[Arc<str>], bounds: &Lending) -> Vec<StepKey> {
        let mut out = Vec::new();
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get(id) else {
                continue;
            };
            let Ok(queue) = queues.binary_search(&state.job.queue) else {
                continue;
            };
            for (repetition, steps) in (0..).zip(&state.repetitions) {
                for (step, runs) in (0..).zip(steps) {
                    let spec = &state.job.spec.steps[step as usize];
                    if !spec.long_running || spec.gang {
                        continue;
                    }
                    let working = runs.tasks.iter().filter(|t| {
                        let run = t.run.as_ref();
                        run.is_some_and(|r| self.is_at_work(r))
                    });
                    let away = spec.count - working.count() as u32;
                    let lent = runs.tasks.iter().filter(|t| t.lent_until > self.now);
                    let budget = spec.disruption_budget.unwrap_or(u32::MAX);
                    let most = bounds.max_tasks(spec.count).min(budget);
                    let first = TaskId {
                        job: *id,
                        repetition,
                        step,
                        index: 0,
                    };
                    let step = LendingStep {
                        left: most.saturating_sub(away),
                        lent: lent.count() as u32,
                        queue,
                    };
                    out.push((first, step));
                }
            }
        }
        out.sort_unstable_by_key(|(first, _)| *first);
        out
    }

    /// Returns whether a run works: it was confirmed, on a worker that stays.
    fn is_at_work(&self, run: &Run) -> bool {
        let worker = self.fleet.get(run.worker);
        matches!(run.stage, Stage::Confirmed(_)) && worker.is_available()
    }

    /// Returns what the next workers of a service can give.
    fn offers(&mut self, service: &Arc<str>, groups: &[Group], steps: &[StepKey]) -> Vec<Offer> {
        let service = self.fleet.service(service);
        let workers = self.fleet.workers.len();
        let begin = self.lender.next_slot;
        let mut offers = Vec::new();
        for offset in 0..workers {
            let slot = (begin + offset) % workers;
            if offers.len() == MAX_OFFERS {
                self.lender.next_slot = slot;
                break;
            }
            offers.extend(self.offer(slot as u32, &service, groups, steps));
        }
        offers
    }

    /// Returns what a worker can give, unless that is nothing.
    fn offer(
        &self,
        slot: u32,
        service: &Arc<str>,
        groups: &[Group],
        steps: &[StepKey],
    ) -> Option<Offer> {
        let worker = self.fleet.get(slot);
        let is_leaving = worker.leaving_since.is_some() || worker.process_ended;
        if is_leaving || worker.is_overcommitted() || self.is_reserved_for_any(slot) {
            return None;
        }
        let victims = self.victims(worker, steps)?;
        let mut suits = Vec::new();
        for (index, group) in groups.iter().enumerate() {
            let state = self.jobs.get(&group.first.job)?;
            let step = &state.job.spec.steps[group.first.step as usize];
            let is_eligible = self.check_eligibility(worker, step, service).is_ok();
            if is_eligible && !self.is_step_limit_reached(slot, group.first) {
                suits.push(index);
            }
        }
        let mut free = worker.capacity();
        free.subtract(worker.used);
        (!suits.is_empty()).then_some(Offer {
            free,
            suits,
            victims,
        })
    }

    /// Returns the runs on a worker that may be stopped. None while another run there is being
    /// stopped, since what it frees is not known to be taken yet.
    fn victims(&self, worker: &Worker, steps: &[StepKey]) -> Option<Vec<Victim>> {
        if worker.long_running_tasks == 0 {
            return None;
        }
        let mut victims = Vec::new();
        for &id in &worker.runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            let Some(task) = state.task(id) else {
                continue;
            };
            let Some(run) = &task.run else {
                continue;
            };
            if !run.is_wanted() {
                return None;
            }
            let first = TaskId { index: 0, ..id };
            let Ok(step) = steps.binary_search_by_key(&first, |(first, _)| *first) else {
                continue;
            };
            let may_stop = run.has_settled(self.now)
                && task.last_run < MAX_RUNS
                && !task.crashes.is_suspect()
                && steps[step].1.left > 0;
            if may_stop {
                let size = demand(&state.job.spec.steps[id.step as usize]);
                victims.push(Victim {
                    task: id,
                    step,
                    size,
                });
            }
        }
        (!victims.is_empty()).then_some(victims)
    }
}
