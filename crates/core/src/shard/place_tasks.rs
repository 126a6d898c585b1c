//! Placement of queued tasks.

use rand::Rng;

use super::{
    AttemptId, Job, ReadyTask, Record, Reservation, ShardScheduler, StopReason, Task, TaskRef,
    TaskShape, TaskState, Worker,
};
use crate::{
    Millis,
    placement::{Band, PlacementPolicy},
    size::Size,
    template::Priority,
};

/// Number of random workers that are compared for one task.
const PROBED_WORKERS: usize = 32;

/// Largest number of workers in a shard for which all are compared.
const MAX_FULL_SCAN_WORKERS: usize = 48;

/// Maximum number of tasks of a team and priority that are skipped in one pass without blocking
/// their shape. Services and tasks that failed on some worker are such tasks: others of equal class
/// and size may fit where they don't.
const LOOKAHEAD_TASKS: usize = 8;

/// Maximum number of blocked tasks of a shape for which others are preempted in one pass.
const MAX_PREEMPTING_TASKS: usize = 8;

/// Time after which placement is retried although nothing changed.
const RETRY_INTERVAL_MS: Millis = 200;

/// Score that is added for each worker of the rack that has a replica of the same service.
const SAME_RACK_PENALTY: f32 = 0.2;

/// Weight of the load in the score of [`PlacementPolicy::Interference`].
const LOAD_WEIGHT: f32 = 0.25;

/// Factor on the slowdown of a service, since one replica serves many callers.
const SERVICE_SLOWDOWN_FACTOR: f64 = 5.0;

/// Weight of a team's quota use in the choice between candidates.
const FAIRNESS_WEIGHT: f64 = 0.5;

/// Reduction of the cost of a placement for each second that the task has waited.
const AGING_PER_SECOND: f64 = 0.01;

/// Maximum ratio of the observed size to the declared one.
const MAX_SIZE_CORRECTION: u64 = 4;

/// A queued task with the properties that its placement depends on.
#[derive(Debug)]
pub(super) struct PlacementRequest {
    pub task: TaskRef,
    pub size: Size,
    pub class: u16,
    pub service: bool,
    pub priority: Priority,
    /// Workers that the task failed on; they are not tried again while there are others.
    pub avoid: Vec<crate::name::Name>,
}

impl PlacementRequest {
    /// Returns the shape of the task; tasks of one shape fit on the same workers.
    ///
    /// Returns `None` for replicas of services and for tasks that avoid workers.
    fn shape(&self) -> Option<TaskShape> {
        let is_unique = self.service || !self.avoid.is_empty();
        (!is_unique).then_some(TaskShape {
            class: self.class,
            size: self.size,
        })
    }
}

/// The first placeable task of a team, with the best worker for it.
struct Candidate {
    team: u16,
    since: Millis,
    request: PlacementRequest,
    worker: usize,
    score: f32,
}

/// A shape of a team's tasks that no worker has capacity for in this pass.
#[derive(PartialEq)]
struct SkippedShape {
    team: u16,
    shape: TaskShape,
}

/// Tasks, shapes and sizes that could not be placed in a pass over one priority.
#[derive(Default)]
struct Unplaced {
    tasks: Vec<(u16, ReadyTask)>,
    skipped: Vec<SkippedShape>,
    /// Sizes that fit on no worker; larger ones are not tried in this pass.
    sizes: Vec<Size>,
}

impl Unplaced {
    fn is_skipped(&self, team: u16, shape: &TaskShape) -> bool {
        let mut skipped = self.skipped.iter();
        skipped.any(|s| s.team == team && s.shape == *shape)
    }
}

impl ShardScheduler {
    /// Places queued tasks on workers, in the order of their priorities.
    pub(super) fn place_tasks(&mut self, now: Millis) {
        if !self.placement_due && now < self.placed_at + RETRY_INTERVAL_MS {
            return;
        }
        self.placement_due = false;
        self.placed_at = now;
        let mut remaining = self.settings.max_placements;
        for priority in Priority::ALL {
            self.place_priority(now, priority, &mut remaining);
        }
        self.placement_due |= remaining == 0;
    }

    /// Places the tasks of a priority, at most `remaining` of them.
    ///
    /// Finds the best worker for the first task of each team and places the best of these
    /// candidates, so that scarce capacity goes to the task that fits it best. Then only the team
    /// of the placed task and teams whose candidate chose the same worker get a new candidate.
    fn place_priority(&mut self, now: Millis, priority: Priority, remaining: &mut usize) {
        let mut unplaced = Unplaced::default();
        let mut candidates = Vec::new();
        for team in self.queue.teams(priority) {
            candidates.extend(self.next_candidate(now, priority, team, &mut unplaced));
        }
        while *remaining > 0 && !candidates.is_empty() {
            *remaining -= 1;
            let best = self.best_candidate(now, &candidates);
            let candidate = candidates.swap_remove(best);
            let taken = candidate.worker;
            self.start_task(now, &candidate);
            let next = self.next_candidate(now, priority, candidate.team, &mut unplaced);
            let mut displaced = Vec::new();
            for i in (0..candidates.len()).rev() {
                if candidates[i].worker == taken {
                    displaced.push(candidates.swap_remove(i));
                }
            }
            candidates.extend(next);
            for candidate in displaced {
                let ready = ReadyTask {
                    task: candidate.request.task,
                    since: candidate.since,
                };
                self.queue.push_front(priority, candidate.team, ready);
                candidates.extend(self.next_candidate(
                    now,
                    priority,
                    candidate.team,
                    &mut unplaced,
                ));
            }
        }
        for candidate in candidates {
            let ready = ReadyTask {
                task: candidate.request.task,
                since: candidate.since,
            };
            self.queue.push_front(priority, candidate.team, ready);
        }
        for (team, ready) in unplaced.tasks.into_iter().rev() {
            self.queue.push_front(priority, team, ready);
        }
    }

    /// Takes the first task of a team that is still queued and that a worker has capacity for.
    fn next_candidate(
        &mut self,
        now: Millis,
        priority: Priority,
        team: u16,
        unplaced: &mut Unplaced,
    ) -> Option<Candidate> {
        while unplaced.tasks.iter().filter(|t| t.0 == team).count() < LOOKAHEAD_TASKS {
            let is_skipped = |shape: &TaskShape| unplaced.is_skipped(team, shape);
            let ready = self.queue.pop_oldest(priority, team, is_skipped)?;
            let Some(request) = self.placement_request(ready.task) else {
                continue;
            };
            if !self.teams[usize::from(team)].fits_quota(&request.size) {
                unplaced.tasks.push((team, ready));
                return None;
            }
            let unplaceable = unplaced.sizes.iter().any(|s| s.fits_in(&request.size));
            let found = if unplaceable {
                None
            } else {
                self.choose_worker(now, &request)
            };
            if let Some((worker, score)) = found {
                return Some(Candidate {
                    team,
                    since: ready.since,
                    request,
                    worker,
                    score,
                });
            }
            self.consider_preempting(now, &request, ready.since);
            let Some(shape) = request.shape() else {
                unplaced.tasks.push((team, ready));
                continue;
            };
            if !unplaceable {
                unplaced.sizes.push(request.size);
            }
            self.queue.push_blocked(priority, team, ready, shape);
            if !unplaced.is_skipped(team, &shape) {
                unplaced.skipped.push(SkippedShape { team, shape });
                self.preempt_for_blocked(now, team, priority, &shape);
            }
        }
        None
    }

    /// Preempts others for urgent tasks that are blocked behind the first of their shape.
    fn preempt_for_blocked(
        &mut self,
        now: Millis,
        team: u16,
        priority: Priority,
        shape: &TaskShape,
    ) {
        if priority != Priority::Urgent {
            return;
        }
        let blocked = self
            .queue
            .first_blocked(priority, team, shape, MAX_PREEMPTING_TASKS);
        for ready in blocked.into_iter().skip(1) {
            if let Some(request) = self.placement_request(ready.task) {
                self.consider_preempting(now, &request, ready.since);
            }
        }
    }

    /// Returns the index of the candidate to be placed next.
    ///
    /// The baseline policies order candidates by their team's quota use and then by age.
    /// [`PlacementPolicy::Interference`] takes the candidate with the lowest cost; age lowers the
    /// cost, so that no task starves.
    fn best_candidate(&self, now: Millis, candidates: &[Candidate]) -> usize {
        let is_learning = self.settings.policy == PlacementPolicy::Interference;
        let value = |c: &Candidate| {
            let quota_load = self.teams[usize::from(c.team)].load();
            if !is_learning {
                return (quota_load, c.since as f64);
            }
            let age = now.saturating_sub(c.since) as f64 / 1_000.0;
            let value = f64::from(c.score) + FAIRNESS_WEIGHT * quota_load - AGING_PER_SECOND * age;
            (value, c.since as f64)
        };
        let mut best = 0;
        for i in 1..candidates.len() {
            if value(&candidates[i]) < value(&candidates[best]) {
                best = i;
            }
        }
        best
    }

    fn start_task(&mut self, now: Millis, candidate: &Candidate) {
        let Some(attempt) = self.next_attempt(candidate.request.task) else {
            return;
        };
        let worker = self.workers[candidate.worker].name.clone();
        let size = candidate.request.size;
        let record = Record::Started {
            attempt,
            worker,
            size,
        };
        self.append_record(now, record, 0);
    }

    /// Preempts others for an urgent task that has waited for capacity for `preempt_after`.
    fn consider_preempting(&mut self, now: Millis, request: &PlacementRequest, since: Millis) {
        let urgent = request.priority == Priority::Urgent && !request.service;
        if urgent && now >= since + self.settings.preempt_after {
            self.preempt(now, request);
        }
    }

    /// Returns the placement request of `task`, or `None` if the task is no longer queued.
    fn placement_request(&mut self, task: TaskRef) -> Option<PlacementRequest> {
        let job = self.state.job(task.job)?;
        let t = job.tasks.get(task.task as usize)?;
        if t.state != TaskState::Queued {
            return None;
        }
        let (org, kind) = (job.spec.key.org.clone(), job.spec.kind.clone());
        let (service, priority, declared) = (job.spec.service, job.spec.priority, job.spec.size);
        let avoid = t.failed_on.clone();
        let class = self.class_index(&org, &kind, service);
        Some(PlacementRequest {
            task,
            size: self.corrected_size(class, &declared),
            class,
            service,
            priority,
            avoid,
        })
    }

    /// Returns the declared size, raised to the peak usage of the class within limits.
    fn corrected_size(&self, class: u16, declared: &Size) -> Size {
        let observed = &self.classes[usize::from(class)].peak_usage;
        let cap = Size {
            cpu: declared.cpu * MAX_SIZE_CORRECTION,
            memory: declared.memory * MAX_SIZE_CORRECTION,
            accels: declared.accels,
        };
        declared.max(&observed.min(&cap))
    }

    fn next_attempt(&self, task: TaskRef) -> Option<AttemptId> {
        let job: &Job = self.state.job(task.job)?;
        let t: &Task = job.tasks.get(task.task as usize)?;
        Some(AttemptId {
            job: task.job,
            task: task.task,
            attempt: t.attempt + 1,
        })
    }

    /// Returns the index of the best worker with capacity and its score; lower is better.
    ///
    /// In a large shard random workers are compared first, and all only if none of these has
    /// capacity.
    fn choose_worker(&mut self, now: Millis, request: &PlacementRequest) -> Option<(usize, f32)> {
        let n = self.workers.len();
        if n <= MAX_FULL_SCAN_WORKERS {
            return self.best_worker(now, request, 0..n);
        }
        let mut probes = [0; PROBED_WORKERS];
        for p in &mut probes {
            *p = self.rng.random_range(0..n);
        }
        let found = self.best_worker(now, request, probes.into_iter());
        found.or_else(|| self.best_worker(now, request, 0..n))
    }

    fn best_worker(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        indices: impl Iterator<Item = usize>,
    ) -> Option<(usize, f32)> {
        let mut best = None;
        let mut lowest = f32::INFINITY;
        let can_avoid = self.workers.len() > request.avoid.len();
        for i in indices {
            let w = &self.workers[i];
            if !w.accepts_tasks(now) || !request.size.fits_in(&w.available_for(request.task, now)) {
                continue;
            }
            if can_avoid && request.avoid.contains(&w.name) {
                continue;
            }
            let has_same_job = |r: &super::Allocation| r.attempt.job == request.task.job;
            if request.service && w.allocations.iter().any(has_same_job) {
                continue;
            }
            let mut score = match self.settings.policy {
                PlacementPolicy::Random => self.rng.random::<f32>(),
                PlacementPolicy::LeastLoaded => load_after(w, &request.size),
                PlacementPolicy::Interference => self.expected_cost(w, request),
            };
            if request.service {
                score +=
                    SAME_RACK_PENALTY * self.job_workers_in_rack(&w.rack, request.task.job) as f32;
            }
            if score < lowest {
                lowest = score;
                best = Some((i, score));
            }
        }
        best
    }

    fn job_workers_in_rack(&self, rack: &str, job: u32) -> usize {
        let mut count = 0;
        for w in &self.workers {
            if *w.rack != *rack {
                continue;
            }
            count += usize::from(w.allocations.iter().any(|r| r.attempt.job == job));
        }
        count
    }

    /// Returns the expected cost of a placement: the slowdowns that it adds to the task and its
    /// neighbours, weighted by their classes, and the weighted load of the worker.
    fn expected_cost(&self, w: &Worker, request: &PlacementRequest) -> f32 {
        let load = load_after(w, &request.size);
        let band = Band::of(f64::from(load));
        let mut cost = LOAD_WEIGHT * load;
        let own_weight = self.slowdown_weight(request.class);
        for r in &w.allocations {
            let on_neighbour = self.interference.estimate(r.class, request.class, band);
            let on_task = self.interference.estimate(request.class, r.class, band);
            cost += self.slowdown_weight(r.class) * on_neighbour.added_slowdown
                + own_weight * on_task.added_slowdown;
        }
        cost
    }

    /// Returns the weight of a slowdown of tasks of `class`.
    pub(super) fn slowdown_weight(&self, class: u16) -> f32 {
        let c = &self.classes[usize::from(class)];
        let weight = if c.service {
            c.weights.tail_latency * SERVICE_SLOWDOWN_FACTOR
        } else {
            c.weights.throughput
        };
        weight as f32
    }

    /// Evicts attempts from the worker that needs the fewest evictions, and reserves capacity for
    /// the task there.
    fn preempt(&mut self, now: Millis, request: &PlacementRequest) {
        let task = request.task;
        let has_reservation = |w: &Worker| {
            w.reservation
                .is_some_and(|r| r.task == task && r.until > now)
        };
        if self.workers.iter().any(has_reservation) {
            return;
        }
        let mut best: Option<(usize, Vec<AttemptId>)> = None;
        for i in 0..self.workers.len() {
            let w = &self.workers[i];
            let is_reserved = w.reservation.is_some_and(|r| r.until > now);
            if !w.accepts_tasks(now) || is_reserved || !request.size.fits_in(&w.capacity) {
                continue;
            }
            let Some(victims) = self.victims(w, &request.size) else {
                continue;
            };
            if best.as_ref().is_none_or(|b| victims.len() < b.1.len()) {
                best = Some((i, victims));
            }
        }
        let Some((i, victims)) = best else { return };
        let w = &mut self.workers[i];
        w.reservation = Some(Reservation {
            task,
            size: request.size,
            until: now + self.settings.reservation,
        });
        w.dirty = true;
        for id in victims {
            if let Some(r) = w.allocation_mut(id) {
                r.stop = Some(StopReason::Preempted);
            }
        }
    }

    /// Returns attempts whose eviction frees enough resources for `size`, or `None` if there are
    /// not enough.
    ///
    /// Bulk attempts are chosen first, and the latest started ones among equal priorities.
    fn victims(&self, w: &Worker, size: &Size) -> Option<Vec<AttemptId>> {
        let mut evictable = Vec::new();
        let mut free = w.available();
        for r in &w.allocations {
            if r.stop.is_some() {
                free = free.saturating_add(&r.size);
                continue;
            }
            let limit = self.classes[usize::from(r.class)].max_evictions;
            let (_, task, _) = self.state.active_task(r.attempt)?;
            if r.service || r.priority == Priority::Urgent || task.evictions >= limit {
                continue;
            }
            evictable.push((r.priority, r.since, r.attempt, r.size));
        }
        evictable.sort_by_key(|o| std::cmp::Reverse((o.0, o.1, o.2)));
        let mut out = Vec::new();
        for (_, _, id, freed) in evictable {
            if size.fits_in(&free) {
                break;
            }
            free = free.saturating_add(&freed);
            out.push(id);
        }
        size.fits_in(&free).then_some(out)
    }
}

fn load_after(w: &Worker, size: &Size) -> f32 {
    w.reserved.saturating_add(size).load(&w.capacity) as f32
}
