//! The simulation of one shard.

use std::{collections::VecDeque, sync::Arc};

use gorsespur_core::{
    Millis,
    name::Name,
    owner::{LeaseWatch, OwnerLease, ShardRow},
    shard::{
        Action, Event, JobKey, JobSpec, JobStatus, Record, ShardId, ShardScheduler, ShardSettings,
        ShardState, Takeover, WorkerAnswer, WorkerInfo, WorkerRequest,
    },
    size::Size,
    template::{OrgLimits, Organisation, Priority, Service, Team, Weights},
};
use gorsespur_stand::{Ledger, MemoryCheckpoints, SimSettings, SimWorker, Slowdown};

use super::owner::Owner;

/// Virtual time of one simulation step.
const STEP_MS: Millis = 20;

/// Lease of the shard.
const LEASE_MS: Millis = 4_000;

/// Time between renewals of the lease.
const RENEW_INTERVAL_MS: Millis = 1_000;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT_MS: Millis = 800;

/// Duration of a temporary fault.
pub const FAULT_MS: Millis = 9_000;

/// Rates of the workers' clocks in thousandths; leases tolerate a drift of one hundredth.
const CLOCK_RATES_PERMILLE: [u64; 3] = [1_000, 992, 1_008];

/// Delay of a delayed request.
const DELAY_MS: Millis = 18_000;

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    pub workers: usize,
    pub hold: Millis,
    pub shard: ShardSettings,
    pub seed: u64,
    /// Number of replicas of the service.
    pub replicas: u32,
}

impl Default for WorldSettings {
    fn default() -> WorldSettings {
        WorldSettings {
            workers: 4,
            hold: 12_000,
            shard: ShardSettings {
                retention: 10_000_000,
                ..ShardSettings::default()
            },
            seed: 1,
            replicas: 2,
        }
    }
}

/// A simulated worker and the faults of its connection.
pub struct Node {
    pub name: Name,
    pub sim: Option<SimWorker>,
    pub unreachable: bool,
    /// The only owner that can reach the worker; `None` if all can.
    pub only_owner: Option<usize>,
    pub paused: bool,
    pub loses_answers: bool,
    pub delays_requests: bool,
    pub duplicates_requests: bool,
    pub leaving: bool,
    pub listed: bool,
    /// Rate of the worker's clock in thousandths.
    clock_rate_permille: u64,
    boot: u64,
}

impl Node {
    /// Returns the time of the worker's clock.
    pub fn clock(&self, now: Millis) -> Millis {
        now * self.clock_rate_permille / 1_000
    }
}

/// A request that is in flight to a worker.
struct Delivery {
    at: Millis,
    owner: usize,
    worker: usize,
    request: WorkerRequest,
    expects_answer: bool,
}

/// The scheduled end of a fault.
pub struct ScheduledUndo {
    pub at: Millis,
    pub what: Undo,
}

pub enum Undo {
    Owner(usize),
    Store,
    StoreLink(usize),
    Worker(usize),
    Fails(usize),
}

/// A shard with its owners, store and workers.
pub struct World {
    pub now: Millis,
    pub settings: WorldSettings,
    pub ledger: Arc<Ledger>,
    pub owners: Vec<Owner>,
    pub nodes: Vec<Node>,
    pub journal: Vec<Record>,
    pub submitted: Vec<(JobKey, u32)>,
    pub store_down: bool,
    pub row: ShardRow,
    version: u64,
    lease_watch: LeaseWatch,
    inbox: Vec<JobSpec>,
    deliveries: Vec<Delivery>,
    no_answers: Vec<(Millis, usize, Name, u64)>,
    pub scheduled_undos: Vec<ScheduledUndo>,
    checkpoints: Arc<MemoryCheckpoints>,
    pub urgent_count: u64,
}

/// Returns an organisation with one team and one service.
pub fn org(hold: Millis, replicas: u32) -> Arc<Organisation> {
    let team = |name: &str| Team {
        name: name.into(),
        quota: Size::new(1_000_000, 1 << 50, 100),
    };
    Arc::new(Organisation {
        name: "weld".into(),
        weights: Weights::default(),
        limits: OrgLimits {
            open_jobs: 100_000,
            queued_requests: 64,
            retry_percent: 10,
            task_evictions: 5,
            hold,
        },
        teams: vec![team("certification")],
        services: vec![Service {
            name: "qualification".into(),
            replicas,
            size: Size::new(4_000, 8 << 30, 0),
            slots: 8,
            connections: 60,
            deadline: 1_000,
        }],
        jobs: Vec::new(),
    })
}

/// Returns a job with `tasks` tasks.
pub fn spec(id: &str, tasks: u32, run: Millis, priority: Priority) -> JobSpec {
    JobSpec {
        key: JobKey {
            org: "weld".into(),
            id: id.into(),
        },
        kind: "renewal".into(),
        team: "certification".into(),
        tasks,
        size: Size::new(6_000, 10 << 30, 0),
        run_time: run,
        priority,
        checkpoint: true,
        attempts: 3,
        service: false,
    }
}

impl World {
    pub fn new(settings: WorldSettings) -> World {
        let nowhere = ([127, 0, 0, 1], 1).into();
        let mut world = World {
            now: 3_600_000,
            ledger: Arc::new(Ledger::default()),
            owners: Vec::new(),
            nodes: Vec::new(),
            journal: Vec::new(),
            submitted: Vec::new(),
            store_down: false,
            row: ShardRow {
                epoch: 0,
                owner: None,
                addr: nowhere,
                token: 0,
                next_record: 0,
                first_record: 0,
                next_row: 0,
                first_row: 0,
                hold: 0,
                settled: true,
            },
            version: 1,
            lease_watch: LeaseWatch::new(LEASE_MS),
            inbox: Vec::new(),
            deliveries: Vec::new(),
            no_answers: Vec::new(),
            scheduled_undos: Vec::new(),
            checkpoints: Arc::new(MemoryCheckpoints::default()),
            urgent_count: 0,
            settings,
        };
        for i in 0..world.settings.workers {
            let mut node = Node {
                name: format!("w{i:02}").into(),
                sim: None,
                unreachable: false,
                only_owner: None,
                paused: false,
                loses_answers: false,
                delays_requests: false,
                duplicates_requests: false,
                leaving: false,
                listed: true,
                clock_rate_permille: CLOCK_RATES_PERMILLE[i % CLOCK_RATES_PERMILLE.len()],
                boot: 0,
            };
            world.boot(&mut node);
            world.nodes.push(node);
        }
        world.run(2_000);
        world
    }

    pub fn boot(&self, node: &mut Node) {
        node.boot += 1;
        let settings = SimSettings {
            name: node.name.clone(),
            size: Size::new(30_000, 125 << 30, 0),
            period: 1_000,
            lag: 2_000,
            slowdown: Slowdown {
                seed: 1,
                strength: 0.0,
                shift: 0,
            },
        };
        let (ledger, checkpoints) = (self.ledger.clone(), self.checkpoints.clone());
        let mut sim = SimWorker::new(settings, node.boot, ledger, checkpoints);
        sim.advance(node.clock(self.now));
        node.sim = Some(sim);
    }

    /// Submits a job to the inbox of the shard.
    pub fn submit(&mut self, spec: JobSpec) {
        self.submitted.push((spec.key.clone(), spec.tasks));
        self.inbox.push(spec);
    }

    /// Returns the status of a job according to the journal.
    pub fn status(&self, key: &JobKey) -> Option<JobStatus> {
        let mut state = ShardState::default();
        for record in &self.journal {
            state.apply(record);
        }
        state.find(key).map(JobStatus::of)
    }

    /// Returns whether every submitted job has ended.
    pub fn is_finished(&self) -> bool {
        let mut state = ShardState::default();
        for record in &self.journal {
            state.apply(record);
        }
        self.submitted
            .iter()
            .all(|(k, _)| state.find(k).is_some_and(|j| j.open_tasks == 0))
    }

    /// Returns the live owner with the epoch of the row.
    pub fn current(&self) -> Option<&Owner> {
        self.owners
            .iter()
            .find(|o| o.epoch == self.row.epoch && !o.dead)
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job has ended, for at most `limit`; returns whether every job has ended.
    pub fn run_until_finished(&mut self, limit: Millis) -> bool {
        let end = self.now + limit;
        while self.now < end {
            self.run(500);
            if self.is_finished() {
                return true;
            }
        }
        false
    }

    /// Ends all temporary faults.
    pub fn end_faults(&mut self) {
        self.store_down = false;
        for undo in std::mem::take(&mut self.scheduled_undos) {
            self.undo(undo.what);
        }
        for node in &mut self.nodes {
            node.unreachable = false;
            node.only_owner = None;
            node.paused = false;
            node.loses_answers = false;
            node.delays_requests = false;
            node.duplicates_requests = false;
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let due: Vec<ScheduledUndo> = {
            let now = self.now;
            let all = std::mem::take(&mut self.scheduled_undos);
            let (due, rest) = all.into_iter().partition(|l| l.at <= now);
            self.scheduled_undos = rest;
            due
        };
        for undo in due {
            self.undo(undo.what);
        }
        self.take_over();
        self.ledger.set_time(self.now);
        for node in &mut self.nodes {
            let clock = node.clock(self.now);
            if let Some(sim) = node.sim.as_mut().filter(|_| !node.paused) {
                sim.advance(clock);
            }
        }
        self.deliver();
        for i in 0..self.owners.len() {
            self.step_owner(i);
        }
    }

    /// Lets a contender watch the row and acquire the shard once its lease is over.
    fn take_over(&mut self) {
        if self.store_down {
            return;
        }
        self.lease_watch
            .observe(self.now, Some(&self.row), self.version);
        if !self.lease_watch.can_acquire(self.now) {
            return;
        }
        let inherited_hold = self.row.hold;
        self.row.epoch += 1;
        self.row.owner = Some("sched".into());
        self.row.hold = self.settings.hold.max(inherited_hold);
        self.version += 1;
        let mut state = ShardState::default();
        for record in &self.journal {
            state.apply(record);
        }
        let takeover = Takeover {
            epoch: self.row.epoch,
            state,
            next_record: self.journal.len() as u64,
            inherited_hold: self.row.hold,
            settled: false,
        };
        let id = ShardId {
            name: "zone.0".into(),
            index: 0,
            count: 1,
        };
        let seed = self.settings.seed + self.row.epoch;
        let scheduler =
            ShardScheduler::new(id, self.settings.shard.clone(), seed, takeover, self.now);
        self.owners.push(Owner {
            scheduler,
            lease: OwnerLease::new(LEASE_MS, self.now),
            epoch: self.row.epoch,
            version: self.version,
            backlog: VecDeque::new(),
            renewed_at: self.now,
            paused: false,
            dead: false,
            store_unreachable: false,
            has_orgs: false,
        });
    }

    fn step_owner(&mut self, i: usize) {
        let now = self.now;
        if self.owners[i].dead || self.owners[i].paused {
            return;
        }
        self.owners[i].lease.tick(now);
        self.write(i);
        if self.owners[i].dead {
            return;
        }
        let mut events = Vec::new();
        if !self.owners[i].has_orgs {
            self.owners[i].has_orgs = true;
            let org = org(self.settings.hold, self.settings.replicas);
            events.push(Event::Organisations(vec![org]));
        }
        if now.is_multiple_of(500) || self.owners[i].scheduler.workers().is_empty() {
            events.push(self.workers_event());
        }
        let reads = !self.store_down && !self.owners[i].store_unreachable;
        if !self.inbox.is_empty() && reads && self.owners[i].epoch == self.row.epoch {
            events.push(Event::Submit(self.inbox.clone()));
        }
        if self.owners[i].lease.can_act() {
            events.push(Event::Tick);
        }
        for event in events {
            self.handle_event(i, &event);
        }
    }

    fn workers_event(&self) -> Event {
        let mut list = Vec::new();
        for (i, node) in self.nodes.iter().enumerate() {
            if !node.listed {
                continue;
            }
            let addr = ([127, 0, 0, 1], 1_000 + i as u16).into();
            list.push(WorkerInfo {
                name: node.name.clone(),
                zone: "zone".into(),
                rack: format!("r{}", i / 2).into(),
                addr,
                target: addr,
                size: Size::new(30_000, 125 << 30, 0),
                leaving: node.leaving,
            });
        }
        let counts = vec![list.len() as u32];
        Event::Workers { list, counts }
    }

    /// Passes an event to the scheduler of an owner and carries out the resulting actions.
    pub fn handle_event(&mut self, i: usize, event: &Event) {
        let actions = self.owners[i].scheduler.step(self.now, event);
        for action in actions {
            match action {
                Action::Append { records, .. } => self.owners[i].backlog.extend(records),
                Action::Exchange {
                    worker, request, ..
                } => self.send(i, &worker, request),
                Action::Fenced { .. } => self.owners[i].renewed_at = 0,
            }
        }
    }

    fn send(&mut self, owner: usize, worker: &Name, request: WorkerRequest) {
        let found = self.nodes.iter().position(|n| n.name == *worker);
        let Some(w) = found else { return };
        let (now, node) = (self.now, &self.nodes[w]);
        let seq = request.seq;
        let delivery = |at: Millis, expects_answer: bool| Delivery {
            at,
            owner,
            worker: w,
            request: request.clone(),
            expects_answer,
        };
        let other = node.only_owner.is_some_and(|o| o != owner);
        if node.unreachable || other || node.sim.is_none() {
            self.no_answers
                .push((now + EXCHANGE_TIMEOUT_MS, owner, worker.clone(), seq));
            return;
        }
        if node.delays_requests {
            self.deliveries.push(delivery(now + DELAY_MS, false));
            self.no_answers
                .push((now + EXCHANGE_TIMEOUT_MS, owner, worker.clone(), seq));
            return;
        }
        if node.duplicates_requests {
            self.deliveries.push(delivery(now + 400, false));
            self.deliveries.push(delivery(now + 2_500, false));
            self.deliveries.push(delivery(now + DELAY_MS, false));
        }
        self.deliveries.push(delivery(now + STEP_MS, true));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.deliveries);
        let mut answers = Vec::new();
        for mut f in all {
            let node = &mut self.nodes[f.worker];
            if f.at > now {
                self.deliveries.push(f);
                continue;
            }
            if node.paused {
                if f.expects_answer {
                    let seq = f.request.seq;
                    self.no_answers.push((
                        now + EXCHANGE_TIMEOUT_MS,
                        f.owner,
                        node.name.clone(),
                        seq,
                    ));
                }
                f.expects_answer = false;
                self.deliveries.push(f);
                continue;
            }
            let clock = node.clock(now);
            let Some(sim) = node.sim.as_mut() else {
                continue;
            };
            let answer: WorkerAnswer = sim.exchange(clock, &f.request);
            let seq = f.request.seq;
            if !f.expects_answer {
                continue;
            }
            if node.loses_answers || node.unreachable {
                self.no_answers
                    .push((now + EXCHANGE_TIMEOUT_MS, f.owner, node.name.clone(), seq));
                continue;
            }
            answers.push((
                f.owner,
                Event::Answer {
                    worker: node.name.clone(),
                    answer,
                },
            ));
        }
        let due: Vec<_> = {
            let all = std::mem::take(&mut self.no_answers);
            let (due, rest) = all.into_iter().partition(|n| n.0 <= now);
            self.no_answers = rest;
            due
        };
        for (_, owner, worker, seq) in due {
            answers.push((owner, Event::NoAnswer { worker, seq }));
        }
        for (owner, event) in answers {
            if self.owners[owner].dead || self.owners[owner].paused {
                continue;
            }
            self.handle_event(owner, &event);
        }
    }

    /// Writes the pending records of an owner, on condition that the row has the expected version.
    fn write(&mut self, i: usize) {
        let now = self.now;
        let o = &mut self.owners[i];
        let due = !o.backlog.is_empty() || now >= o.renewed_at + RENEW_INTERVAL_MS;
        if !due || self.store_down || o.store_unreachable {
            return;
        }
        if o.version != self.version {
            o.dead = true;
            return;
        }
        self.version += 1;
        o.version = self.version;
        o.renewed_at = now;
        o.lease.confirm(now);
        for record in o.backlog.drain(..) {
            if let Record::Submitted(spec) = &record {
                self.inbox.retain(|s| s.key != spec.key);
            }
            self.journal.push(record);
        }
        let committed = self.journal.len() as u64;
        self.handle_event(i, &Event::StoreSeen(self.settings.hold));
        self.handle_event(i, &Event::Committed(committed));
    }
}
