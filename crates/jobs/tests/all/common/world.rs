//! Owners, a store and workers in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use gorsespur_jobs::{
    Batch, Event, Job, JobId, Lending, Outcome, QueueFigures, QueuePolicy, QueueShare,
    RemovedQueue, Scheduler, Settings, Spec, Stats, Takeover, TaskId, WorkerInfo,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::ledger::Ledger;

use super::{
    Checker, Restart, SimWorker,
    clock::OwnerClock,
    crash::{Crasher, RESTART_MS},
    orders::{Held, HeldOrder, Message},
    sim::SimRun,
};

/// Duration of one step of the simulation, in milliseconds.
pub const TICK_MS: u64 = 5;

/// Default duration of a write to the store, in milliseconds.
const WRITE_MS: u64 = 10;

/// Rows beyond which the log is shortened. The limit is low enough that each test reaches it.
const MAX_LOG_ROWS: usize = 6;

/// Number of availability zones. Workers are assigned to them round-robin.
pub const ZONES: usize = 2;

/// Size and fault rates of a world.
#[derive(Debug, Clone, Copy)]
pub struct WorldSettings {
    pub workers: usize,
    pub attempts: u32,
    pub seed: u64,
    /// Share of answers that are lost, in percent.
    pub lost_percent: u32,
    /// Whether workers report their start time and restart under the same name.
    pub reuse_names: bool,
    /// The bounds within which long-running tasks pause for short work.
    pub lending: Option<Lending>,
}

impl Default for WorldSettings {
    fn default() -> WorldSettings {
        WorldSettings {
            workers: 4,
            attempts: 3,
            seed: 1,
            lost_percent: 0,
            reuse_names: false,
            lending: None,
        }
    }
}

/// A batch being written to the store, and the time at which the write is done.
pub(super) type Write = (u64, Batch);

/// An owner's scheduler, and the messages to and from it.
pub(super) struct Owner {
    pub(super) scheduler: Scheduler,
    pub(super) epoch: u64,
    pub(super) slots: BTreeMap<u32, usize>,
    pub(super) messages: Vec<(u64, Message)>,
    pub(super) commit: Option<Write>,
    /// End of the current turn.
    pub(super) busy_until: u64,
    /// Time until which the owner's link is busy with earlier messages.
    pub(super) link_until: u64,
    pub(super) paused: bool,
    /// When the owner last resumed after a pause.
    pub(super) woke_at: u64,
    /// When a write was done whose answer the owner has not read yet.
    pub(super) unread_commit: Option<u64>,
    pub(super) stepped_down: bool,
    pub(super) clock: OwnerClock,
}

/// A simulation of owners, a store and workers.
pub struct World {
    pub now: u64,
    pub settings: WorldSettings,
    pub workers: Vec<SimWorker>,
    pub checker: Checker,
    pub store_down: bool,
    /// Tasks that crash each worker that starts them.
    pub crashers: Vec<Crasher>,
    /// Whether the machine of a worker that a task crashes says nothing until the worker is back.
    pub silent_crashes: bool,
    /// Names of earlier incarnations, each with the index of its worker.
    pub former_ids: BTreeMap<Arc<str>, usize>,
    /// Milliseconds until a crashed worker restarts.
    pub restart_ms: u64,
    /// How a crashed worker restarts if it keeps its name.
    pub restart: Restart,
    /// Rows of ended incarnations whose workers kept their names.
    pub past_rows: Vec<(usize, WorkerInfo)>,
    /// Share of unanswered orders that are carried out later nevertheless, in percent.
    pub delay_percent: u32,
    /// Upper bound of the delay of such an order, in milliseconds.
    pub max_delay_ms: u64,
    /// Whether polls may be carried out late as well.
    pub delays_polls: bool,
    /// Upper bound of the random delay of each answer to a poll, in milliseconds.
    pub max_lag_ms: u64,
    /// Rows that expire, each with the time at which it does.
    pub expiring_rows: Vec<(u64, Arc<str>)>,
    /// Whether owners no longer receive the workers' rows.
    pub watch_down: bool,
    /// Upper bound of the random duration of an owner's turn, in milliseconds. 0 for turns that
    /// take no time.
    pub max_turn_ms: u64,
    /// Share of the arrived answers that a turn does not read yet, in percent.
    pub unread_percent: u32,
    /// Milliseconds for which a start occupies an owner's link.
    pub link_ms: u64,
    /// Milliseconds from a new owner's claim of the lease until it reads the answer.
    pub claim_ms: u64,
    /// Milliseconds for which an owner that lost the lease continues before it detects the loss.
    /// A write that was under way when the owner was paused completes during the pause.
    pub unaware_ms: u64,
    /// Whether a new owner imports what the previous one learned.
    pub keeps_learned: bool,
    /// Duration of a write to the store, in milliseconds.
    pub write_ms: u64,
    /// Orders to hold back, each with the index of its worker.
    pub(super) holds: Vec<(usize, Held)>,
    pub(super) held: Vec<HeldOrder>,
    /// The workers' rows in the store.
    pub(super) rows: Vec<Option<WorkerInfo>>,
    /// Rows of new incarnations: when to publish each, its worker and its start time.
    pub(super) pending_rows: Vec<(u64, usize, Option<u64>)>,
    pub ledger: Ledger,
    /// The configuration in force.
    pub policies: Vec<QueuePolicy>,
    /// The policies under which jobs were accepted.
    pub(super) accepted_under: BTreeMap<JobId, QueuePolicy>,
    pub(super) jobs: BTreeMap<JobId, Arc<Job>>,
    pub(super) cancelled: Vec<JobId>,
    /// Evacuated zones, each with the time of the request.
    pub(super) evacuated: BTreeMap<Arc<str>, u64>,
    pub(super) owners: Vec<Owner>,
    pub(super) epoch: u64,
    pub(super) renewed_at: u64,
    pub(super) rng: SmallRng,
}

impl World {
    pub fn new(settings: WorldSettings) -> World {
        let now = 3_600_000;
        let mut world = World {
            now,
            settings,
            workers: Vec::new(),
            checker: Checker::default(),
            store_down: false,
            crashers: Vec::new(),
            silent_crashes: false,
            former_ids: BTreeMap::new(),
            restart_ms: RESTART_MS,
            restart: Restart::default(),
            past_rows: Vec::new(),
            delay_percent: 0,
            max_delay_ms: 0,
            delays_polls: false,
            max_lag_ms: 0,
            expiring_rows: Vec::new(),
            watch_down: false,
            max_turn_ms: 0,
            unread_percent: 0,
            link_ms: 0,
            claim_ms: 0,
            unaware_ms: 0,
            keeps_learned: true,
            write_ms: WRITE_MS,
            holds: Vec::new(),
            held: Vec::new(),
            rows: Vec::new(),
            pending_rows: Vec::new(),
            ledger: Ledger::default(),
            policies: vec![queue_policy("q", settings.attempts)],
            accepted_under: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cancelled: Vec::new(),
            evacuated: BTreeMap::new(),
            owners: Vec::new(),
            epoch: 0,
            renewed_at: now,
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        for at in 0..settings.workers {
            let rate = 98 + (at as u64 % 3);
            world
                .workers
                .push(SimWorker::new(&format!("w{at}"), now, rate));
        }
        world.init_workers();
        world.take_over(0);
        world
    }

    /// Starts a new owner without notifying the old one. `inherited` is the time at which all
    /// leases of earlier owners have expired.
    pub fn take_over(&mut self, inherited: u64) {
        self.epoch += 1;
        let learned = self.owners.last().map(|o| o.scheduler.learned());
        let asked_at = self.now - self.claim_ms;
        let takeover = Takeover {
            asked_at,
            prior_leases_end: inherited,
        };
        let mut scheduler = Scheduler::new(settings(self.settings.lending), self.now, takeover);
        if let Some(learned) = learned.filter(|_| self.keeps_learned) {
            scheduler.import_learned(&learned);
        }
        self.ledger.restore(&mut scheduler, self.jobs.values());
        let mut owner = Owner {
            scheduler,
            epoch: self.epoch,
            slots: BTreeMap::new(),
            messages: Vec::new(),
            commit: None,
            busy_until: 0,
            link_until: 0,
            paused: false,
            woke_at: self.now,
            unread_commit: None,
            stepped_down: false,
            clock: OwnerClock::new(self.now),
        };
        let policies = Event::Queues(self.policies.clone());
        owner.scheduler.handle(self.now, self.now, policies);
        for (id, job) in &self.jobs {
            if let Some(policy) = self.accepted_under.get(id) {
                let event = Event::AcceptedUnder(policy.clone());
                owner.scheduler.handle(self.now, self.now, event);
            }
            owner
                .scheduler
                .handle(self.now, self.now, Event::Accepted(job.clone()));
        }
        let zones: Vec<Arc<str>> = self.evacuated.keys().cloned().collect();
        owner
            .scheduler
            .handle(self.now, self.now, Event::Evacuated(zones.into()));
        for &id in &self.cancelled {
            owner
                .scheduler
                .handle(self.now, self.now, Event::Cancelled(id));
        }
        self.owners.push(owner);
        self.announce_all();
    }

    /// Pauses or resumes the newest owner.
    pub fn pause(&mut self, paused: bool) {
        if let Some(owner) = self.owners.last_mut() {
            owner.paused = paused;
        }
    }

    /// Resumes all paused owners but the newest one.
    pub fn resume_earlier(&mut self) {
        let now = self.now;
        let earlier = self.owners.len() - 1;
        for owner in &mut self.owners[..earlier] {
            if owner.paused {
                owner.paused = false;
                owner.woke_at = now;
            }
        }
    }

    /// Returns the end of all leases that the newest owner may have granted, as its successor
    /// computes it. The owner's last contact with the store may be half a second newer than the
    /// renewal that the successor saw.
    pub fn lease_end(&self) -> u64 {
        let settings = Settings::default();
        self.renewed_at.max(self.now) + 500 + settings.store_grace * 100 / 98 + 100
    }

    /// Suspends the machine of the newest owner for `ms` milliseconds.
    pub fn suspend(&mut self, ms: u64) {
        self.pause(true);
        self.run(ms);
        self.pause(false);
        if let Some(owner) = self.owners.last_mut() {
            owner.clock.suspended_ms += ms;
        }
    }

    pub fn notify(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = self.owners.last_mut() {
            let at = owner.clock.read(now);
            owner.scheduler.handle(at, now, event);
        }
    }

    pub fn submit(&mut self, id: u64, spec: Spec) -> JobId {
        let policy = self.policies.first().expect("a queue").clone();
        self.submit_under(policy, id, spec)
    }

    /// Submits a job to an instance whose configuration has this policy.
    pub fn submit_under(&mut self, policy: QueuePolicy, id: u64, spec: Spec) -> JobId {
        let queue = policy.queue.clone();
        self.notify(Event::AcceptedUnder(policy.clone()));
        self.accepted_under.insert(JobId(id), policy);
        self.submit_without_policy(&queue, id, spec)
    }

    /// Submits a job to an instance of an earlier version, which stores no policy with it.
    pub fn submit_without_policy(&mut self, queue: &str, id: u64, spec: Spec) -> JobId {
        let id = JobId(id);
        let job = Arc::new(Job {
            id,
            queue: queue.into(),
            accepted: 0,
            spec: Arc::new(spec),
        });
        self.jobs.insert(id, job.clone());
        self.notify(Event::Accepted(job));
        id
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, policies: &[QueuePolicy]) {
        self.policies = policies.to_vec();
        self.notify(Event::Queues(policies.to_vec()));
    }

    /// Returns the removed queues that have open jobs, as the newest owner sees them.
    pub fn removed_queues(&self) -> Vec<RemovedQueue> {
        let owner = self.owners.last();
        owner.map_or(Vec::new(), |o| o.scheduler.removed_queues())
    }

    /// Returns the submitted spec of a job.
    pub fn spec(&self, id: JobId) -> Spec {
        (*self.jobs[&id].spec).clone()
    }

    /// Returns the zone of a worker.
    pub fn zone(at: usize) -> Arc<str> {
        format!("z{}", at % ZONES).into()
    }

    /// Requests the evacuation of exactly these zones.
    pub fn evacuate(&mut self, zones: &[Arc<str>]) {
        let now = self.now;
        self.evacuated.retain(|z, _| zones.contains(z));
        for zone in zones {
            self.evacuated.entry(zone.clone()).or_insert(now);
        }
        let zones: Vec<Arc<str>> = self.evacuated.keys().cloned().collect();
        self.notify(Event::Evacuated(zones.into()));
    }

    pub fn cancel(&mut self, id: JobId) {
        self.cancelled.push(id);
        self.notify(Event::Cancelled(id));
    }

    /// Returns all submitted jobs.
    pub fn job_ids(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }

    /// Returns the outcome of a job in the store.
    pub fn outcome(&self, id: JobId) -> Outcome {
        self.ledger.outcome(id)
    }

    pub fn all_done(&self) -> bool {
        self.jobs.keys().all(|&id| {
            let is_long_running = self.jobs[&id].spec.steps.iter().any(|s| s.long_running);
            is_long_running || self.outcome(id).is_final()
        })
    }

    pub fn run_until_done(&mut self, limit: u64) -> bool {
        let end = self.now + limit;
        while self.now < end && !self.all_done() {
            self.step();
        }
        self.all_done()
    }

    /// Returns the counters of the newest owner.
    pub fn stats(&self) -> Stats {
        let owner = self.owners.last();
        owner.map(|o| o.scheduler.stats()).unwrap_or_default()
    }

    /// Returns the shares of the queues as the newest owner divides them.
    pub fn queue_shares(&self) -> Vec<QueueShare> {
        let owner = self.owners.last();
        owner.map_or(Vec::new(), |o| o.scheduler.queue_shares())
    }

    /// Returns what new jobs can expect by the newest owner.
    pub fn queue_figures(&self) -> Vec<QueueFigures> {
        let owner = self.owners.last();
        owner.map_or(Vec::new(), |o| o.scheduler.queue_figures())
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        self.sync_gangs();
        for worker in self.workers.iter_mut().filter(|w| w.alive) {
            worker.advance(self.now, TICK_MS);
            for checkpoint in worker.new_checkpoints.drain(..) {
                self.checker.checkpoints.record_written(checkpoint);
            }
        }
        self.crash_workers();
        for at in 0..self.owners.len() {
            self.deliver(at);
            self.write(at);
            self.decide(at);
        }
        self.checker.check(self.now, &self.workers);
    }

    /// Blocks the members of a gang until all of them run, and ends them together.
    fn sync_gangs(&mut self) {
        let mut member_counts: BTreeMap<(JobId, u32, u32, u32), u32> = BTreeMap::new();
        let key = |r: &SimRun| (r.task.job, r.task.repetition, r.task.step, r.run);
        for worker in self.workers.iter().filter(|w| w.alive) {
            for run in worker.runs.iter().filter(|r| r.gang.is_some()) {
                *member_counts.entry(key(run)).or_insert(0) += 1;
            }
        }
        for run in self.workers.iter_mut().flat_map(|w| &mut w.runs) {
            let members = member_counts.get(&key(run)).copied().unwrap_or(0);
            run.blocked = run.gang.is_some_and(|count| members < count);
            // Gangs without checkpoints only simulate the wait for missing members.
            let Some(count) = run.gang.filter(|_| run.checkpoints) else {
                continue;
            };
            run.assembled |= !run.blocked;
            let mut gang = (0..count).map(|index| TaskId { index, ..run.task });
            run.gang_done = gang.any(|t| self.checker.done.contains(&t));
        }
    }

    fn write(&mut self, at: usize) {
        let (now, epoch, down) = (self.now, self.epoch, self.store_down);
        let owner = &mut self.owners[at];
        if owner.paused && self.unaware_ms > 0 && !down && owner.epoch == epoch {
            let due = owner.commit.take_if(|(due, _)| *due <= now);
            if let Some((due, batch)) = due {
                owner.unread_commit = Some(due);
                self.ledger.apply(batch);
                self.renewed_at = now;
            }
        }
        if owner.paused || owner.stepped_down || down || owner.busy_until > now {
            return;
        }
        let at_owner = owner.clock.read(now);
        if let Some(due) = owner.unread_commit.take() {
            let asked_at = due - self.write_ms;
            owner
                .scheduler
                .handle(at_owner, now, Event::Committed { asked_at });
        }
        if owner.epoch < epoch {
            // Another owner has appended to the journal, so that the next write fails.
            owner.stepped_down = now >= owner.woke_at + self.unaware_ms;
            return;
        }
        if now.is_multiple_of(400) {
            owner
                .scheduler
                .handle(at_owner, now, Event::Renewed { asked_at: at_owner });
            self.renewed_at = now;
        }
        let owner = &mut self.owners[at];
        if !self.watch_down {
            owner
                .scheduler
                .handle(at_owner, now, Event::WorkersSynced { asked_at: at_owner });
        }
        let Some((due, batch)) = owner.commit.take_if(|(due, _)| *due <= now) else {
            return;
        };
        self.ledger.apply(batch);
        self.renewed_at = now;
        let asked_at = due - self.write_ms;
        owner
            .scheduler
            .handle(at_owner, now, Event::Committed { asked_at });
    }

    fn decide(&mut self, at: usize) {
        let now = self.now;
        let owner = &mut self.owners[at];
        if owner.paused || owner.stepped_down || owner.busy_until > now {
            return;
        }
        if self.max_turn_ms > 0 {
            owner.busy_until = now + self.rng.random_range(0..self.max_turn_ms);
        }
        let actions = owner.scheduler.decide(owner.clock.read(now), now);
        for action in actions {
            self.act(at, action);
        }
    }
}

/// Returns the policy of a queue on the service of all workers.
pub fn queue_policy(queue: &str, attempts: u32) -> QueuePolicy {
    QueuePolicy {
        version: 1,
        queue: queue.into(),
        service: "s".into(),
        priority: 0,
        attempts,
        stretch: 1.5,
        latency: 250,
    }
}

/// Returns the settings of an owner.
fn settings(lending: Option<Lending>) -> Settings {
    Settings {
        log_rows: MAX_LOG_ROWS,
        lending,
        ..Settings::default()
    }
}
