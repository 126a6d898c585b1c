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

/// Workers that are compared for one task.
const PROBES: usize = 32;

/// Shards up to this many workers compare all of them.
const FULL: usize = 48;

/// Tasks of a lane that may be passed over in one round, of those that stand for themselves
/// alone: others of their shape may find room where they don't.
const LOOKAHEAD: usize = 8;

/// Tasks of a shape for which room is made at a time.
const PREEMPTING: usize = 8;

/// Time after which placement is tried although nothing changed.
const RETRY: Millis = 200;

/// Added for each replica of the same service in the rack.
const RACK: f32 = 0.2;

/// Share of the load in the score of the learning policy.
const LOAD: f32 = 0.25;

/// Factor on slowdowns of services: one replica answers for many callers.
const TAIL: f64 = 5.0;

/// Weight of a team's use of its quota in the choice between lanes.
const FAIRNESS: f64 = 0.5;

/// What a second of waiting lowers the cost of a place by.
const AGING: f64 = 0.01;

/// Most that the observed size may exceed the declared one.
const CORRECTION: u64 = 4;

/// What a placement needs to know of a task.
#[derive(Debug)]
pub(super) struct Wanted {
    pub task: TaskRef,
    pub size: Size,
    pub class: u16,
    pub service: bool,
    pub priority: Priority,
    /// Workers that it failed on; they are not tried again while there are
    /// others.
    pub avoid: Vec<crate::name::Name>,
}

impl Wanted {
    /// Returns what it has in common with the tasks that find room where it does; nothing if it
    /// stands for itself alone.
    fn shape(&self) -> Option<TaskShape> {
        let alone = self.service || !self.avoid.is_empty();
        (!alone).then_some(TaskShape {
            class: self.class,
            size: self.size,
        })
    }
}

/// The first task of a lane that has a place.
struct Head {
    team: u16,
    since: Millis,
    wanted: Wanted,
    worker: usize,
    score: f32,
}

/// A shape of a team's tasks.
#[derive(PartialEq)]
struct Passed {
    team: u16,
    shape: TaskShape,
}

/// What is left over while a priority is placed.
#[derive(Default)]
struct Leftover {
    tasks: Vec<(u16, ReadyTask)>,
    /// Shapes that found no room in this round.
    passed: Vec<Passed>,
    /// Sizes that fit nowhere.
    stuck: Vec<Size>,
}

impl Leftover {
    fn is_passed(&self, team: u16, shape: &TaskShape) -> bool {
        let mut passed = self.passed.iter();
        passed.any(|p| p.team == team && p.shape == *shape)
    }
}

impl ShardScheduler {
    /// Gives queued tasks to workers: urgent first.
    pub(super) fn place_tasks(&mut self, now: Millis) {
        if !self.placement_due && now < self.placed_at + RETRY {
            return;
        }
        self.placement_due = false;
        self.placed_at = now;
        let mut left = self.settings.max_placements;
        for priority in Priority::ALL {
            self.place_priority(now, priority, &mut left);
        }
        self.placement_due |= left == 0;
    }

    /// Places the tasks of a priority.
    ///
    /// The first task of each lane looks for its best place; then the best of
    /// these pairs is taken, so that scarce room goes to the task that suits
    /// it. Only lanes whose place was taken look again.
    fn place_priority(&mut self, now: Millis, priority: Priority, left: &mut usize) {
        let mut over = Leftover::default();
        let mut heads = Vec::new();
        for team in self.queue.teams(priority) {
            heads.extend(self.next_head(now, priority, team, &mut over));
        }
        while *left > 0 && !heads.is_empty() {
            *left -= 1;
            let best = self.best_head(now, &heads);
            let head = heads.swap_remove(best);
            let taken = head.worker;
            self.start_task(now, &head);
            let next = self.next_head(now, priority, head.team, &mut over);
            let mut again = Vec::new();
            for i in (0..heads.len()).rev() {
                if heads[i].worker == taken {
                    again.push(heads.swap_remove(i));
                }
            }
            heads.extend(next);
            for head in again {
                let ready = ReadyTask {
                    task: head.wanted.task,
                    since: head.since,
                };
                self.queue.push_front(priority, head.team, ready);
                heads.extend(self.next_head(now, priority, head.team, &mut over));
            }
        }
        for head in heads {
            let ready = ReadyTask {
                task: head.wanted.task,
                since: head.since,
            };
            self.queue.push_front(priority, head.team, ready);
        }
        for (team, ready) in over.tasks.into_iter().rev() {
            self.queue.push_front(priority, team, ready);
        }
    }

    /// Takes the first task of a lane that is still queued and has a place.
    fn next_head(
        &mut self,
        now: Millis,
        priority: Priority,
        team: u16,
        over: &mut Leftover,
    ) -> Option<Head> {
        while over.tasks.iter().filter(|t| t.0 == team).count() < LOOKAHEAD {
            let is_passed = |shape: &TaskShape| over.is_passed(team, shape);
            let ready = self.queue.pop_oldest(priority, team, is_passed)?;
            let Some(wanted) = self.wanted(ready.task) else {
                continue;
            };
            if !self.teams[usize::from(team)].fits_quota(&wanted.size) {
                over.tasks.push((team, ready));
                return None;
            }
            let stuck = over.stuck.iter().any(|s| s.fits_in(&wanted.size));
            let found = if stuck {
                None
            } else {
                self.choose(now, &wanted)
            };
            if let Some((worker, score)) = found {
                return Some(Head {
                    team,
                    since: ready.since,
                    wanted,
                    worker,
                    score,
                });
            }
            self.consider_preempting(now, &wanted, ready.since);
            let Some(shape) = wanted.shape() else {
                over.tasks.push((team, ready));
                continue;
            };
            if !stuck {
                over.stuck.push(wanted.size);
            }
            self.queue.push_blocked(priority, team, ready, shape);
            if !over.is_passed(team, &shape) {
                over.passed.push(Passed { team, shape });
                self.preempt_line(now, team, priority, &shape);
            }
        }
        None
    }

    /// Makes room for urgent tasks that are held up behind the first of their shape.
    fn preempt_line(&mut self, now: Millis, team: u16, priority: Priority, shape: &TaskShape) {
        if priority != Priority::Urgent {
            return;
        }
        let held = self.queue.first_blocked(priority, team, shape, PREEMPTING);
        for ready in held.into_iter().skip(1) {
            if let Some(wanted) = self.wanted(ready.task) {
                self.consider_preempting(now, &wanted, ready.since);
            }
        }
    }

    /// Returns the head to be placed next.
    ///
    /// The baselines go by the teams' use and then by age. The learning policy
    /// takes the pair with the lowest cost; age lowers it, so that no task
    /// waits for ever for the place that suits it.
    fn best_head(&self, now: Millis, heads: &[Head]) -> usize {
        let learns = self.settings.policy == PlacementPolicy::Interference;
        let value = |h: &Head| {
            let use_ = self.teams[usize::from(h.team)].load();
            if !learns {
                return (use_, h.since as f64);
            }
            let age = now.saturating_sub(h.since) as f64 / 1_000.0;
            let value = f64::from(h.score) + FAIRNESS * use_ - AGING * age;
            (value, h.since as f64)
        };
        let mut best = 0;
        for i in 1..heads.len() {
            if value(&heads[i]) < value(&heads[best]) {
                best = i;
            }
        }
        best
    }

    fn start_task(&mut self, now: Millis, head: &Head) {
        let Some(attempt) = self.next_attempt(head.wanted.task) else {
            return;
        };
        let worker = self.workers[head.worker].name.clone();
        let size = head.wanted.size;
        let record = Record::Started {
            attempt,
            worker,
            size,
        };
        self.append_record(now, record, 0);
    }

    /// Makes room for an urgent task that has waited in vain for some.
    fn consider_preempting(&mut self, now: Millis, wanted: &Wanted, since: Millis) {
        let urgent = wanted.priority == Priority::Urgent && !wanted.service;
        if urgent && now >= since + self.settings.preempt_after {
            self.preempt(now, wanted);
        }
    }

    /// Returns what placing `task` needs, or nothing if it is no longer queued.
    fn wanted(&mut self, task: TaskRef) -> Option<Wanted> {
        let job = self.state.job(task.job)?;
        let t = job.tasks.get(task.task as usize)?;
        if t.state != TaskState::Queued {
            return None;
        }
        let (org, kind) = (job.spec.key.org.clone(), job.spec.kind.clone());
        let (service, priority, declared) = (job.spec.service, job.spec.priority, job.spec.size);
        let avoid = t.failed_on.clone();
        let class = self.class_index(&org, &kind, service);
        Some(Wanted {
            task,
            size: self.corrected(class, &declared),
            class,
            service,
            priority,
            avoid,
        })
    }

    /// Returns the declared size, raised to what tasks of the class were seen to use.
    fn corrected(&self, class: u16, declared: &Size) -> Size {
        let seen = &self.classes[usize::from(class)].peak_usage;
        let cap = Size {
            cpu: declared.cpu * CORRECTION,
            memory: declared.memory * CORRECTION,
            accels: declared.accels,
        };
        declared.max(&seen.min(&cap))
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

    /// Returns the best worker with room and its score; lower is better.
    fn choose(&mut self, now: Millis, wanted: &Wanted) -> Option<(usize, f32)> {
        let n = self.workers.len();
        if n <= FULL {
            return self.best(now, wanted, 0..n);
        }
        let mut probes = [0; PROBES];
        for p in &mut probes {
            *p = self.rng.random_range(0..n);
        }
        let found = self.best(now, wanted, probes.into_iter());
        found.or_else(|| self.best(now, wanted, 0..n))
    }

    fn best(
        &mut self,
        now: Millis,
        wanted: &Wanted,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<(usize, f32)> {
        let mut best = None;
        let mut least = f32::INFINITY;
        let spread = self.workers.len() > wanted.avoid.len();
        for i in candidates {
            let w = &self.workers[i];
            if !w.accepts_tasks(now) || !wanted.size.fits_in(&w.available_for(wanted.task, now)) {
                continue;
            }
            if spread && wanted.avoid.contains(&w.name) {
                continue;
            }
            let twin = |r: &super::Allocation| r.attempt.job == wanted.task.job;
            if wanted.service && w.allocations.iter().any(twin) {
                continue;
            }
            let mut score = match self.settings.policy {
                PlacementPolicy::Random => self.rng.random::<f32>(),
                PlacementPolicy::LeastLoaded => load_after(w, &wanted.size),
                PlacementPolicy::Interference => self.expected_cost(w, wanted),
            };
            if wanted.service {
                score += RACK * self.in_rack(&w.rack, wanted.task.job) as f32;
            }
            if score < least {
                least = score;
                best = Some((i, score));
            }
        }
        best
    }

    fn in_rack(&self, rack: &str, job: u32) -> usize {
        let mut count = 0;
        for w in &self.workers {
            if *w.rack != *rack {
                continue;
            }
            count += usize::from(w.allocations.iter().any(|r| r.attempt.job == job));
        }
        count
    }

    /// Returns the expected slowdown that the placement adds, by the weights of
    /// those who bear it, and a share of the load.
    fn expected_cost(&self, w: &Worker, wanted: &Wanted) -> f32 {
        let load = load_after(w, &wanted.size);
        let band = Band::of(f64::from(load));
        let mut cost = LOAD * load;
        let mine = self.slowdown_weight(wanted.class);
        for r in &w.allocations {
            let to_them = self.interference.estimate(r.class, wanted.class, band);
            let to_me = self.interference.estimate(wanted.class, r.class, band);
            cost += self.slowdown_weight(r.class) * to_them.added_slowdown
                + mine * to_me.added_slowdown;
        }
        cost
    }

    /// Returns the weight of a slowdown of a class.
    pub(super) fn slowdown_weight(&self, class: u16) -> f32 {
        let c = &self.classes[usize::from(class)];
        let weight = if c.service {
            c.weights.tail_latency * TAIL
        } else {
            c.weights.throughput
        };
        weight as f32
    }

    /// Makes room for an urgent task by evicting others.
    fn preempt(&mut self, now: Millis, wanted: &Wanted) {
        let task = wanted.task;
        let kept = |w: &Worker| {
            w.reservation
                .is_some_and(|r| r.task == task && r.until > now)
        };
        if self.workers.iter().any(kept) {
            return;
        }
        let mut best: Option<(usize, Vec<AttemptId>)> = None;
        for i in 0..self.workers.len() {
            let w = &self.workers[i];
            let taken = w.reservation.is_some_and(|r| r.until > now);
            if !w.accepts_tasks(now) || taken || !wanted.size.fits_in(&w.capacity) {
                continue;
            }
            let Some(victims) = self.victims(w, &wanted.size) else {
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
            size: wanted.size,
            until: now + self.settings.reservation,
        });
        w.dirty = true;
        for id in victims {
            if let Some(r) = w.allocation_mut(id) {
                r.stop = Some(StopReason::Preempted);
            }
        }
    }

    /// Returns the fewest residents whose end makes room: bulk first, then the
    /// ones that started last.
    fn victims(&self, w: &Worker, size: &Size) -> Option<Vec<AttemptId>> {
        let mut order = Vec::new();
        let mut room = w.available();
        for r in &w.allocations {
            if r.stop.is_some() {
                room = room.saturating_add(&r.size);
                continue;
            }
            let limit = self.classes[usize::from(r.class)].max_evictions;
            let (_, task, _) = self.state.active_task(r.attempt)?;
            if r.service || r.priority == Priority::Urgent || task.evictions >= limit {
                continue;
            }
            order.push((r.priority, r.since, r.attempt, r.size));
        }
        order.sort_by_key(|o| std::cmp::Reverse((o.0, o.1, o.2)));
        let mut out = Vec::new();
        for (_, _, id, held) in order {
            if size.fits_in(&room) {
                break;
            }
            room = room.saturating_add(&held);
            out.push(id);
        }
        size.fits_in(&room).then_some(out)
    }
}

fn load_after(w: &Worker, size: &Size) -> f32 {
    w.reserved.saturating_add(size).load(&w.capacity) as f32
}
