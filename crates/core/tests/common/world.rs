//! The world of one shard.

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

/// Virtual time of one step.
const STEP: Millis = 20;

/// Lease of the shard and time between renewals.
const LEASE: Millis = 4_000;
const RENEW: Millis = 1_000;

/// Time limit of an exchange.
const TIMEOUT: Millis = 800;

/// Length of a fault that lasts.
pub const LASTS: Millis = 9_000;

/// Rates of the workers' clocks in thousandths; leases allow for a hundredth.
const RATES: [u64; 3] = [1_000, 992, 1_008];

/// How late a delayed request arrives.
const LATE: Millis = 18_000;

/// Settings of a world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    pub workers: usize,
    pub hold: Millis,
    pub shard: ShardSettings,
    pub seed: u64,
    /// Replicas of a service.
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

/// A worker and the faults of its link.
pub struct Node {
    pub name: Name,
    pub sim: Option<SimWorker>,
    pub cut: bool,
    /// The only owner that reaches it, if not all do.
    pub only: Option<usize>,
    pub paused: bool,
    pub lose: bool,
    pub late: bool,
    pub twice: bool,
    pub leaving: bool,
    pub listed: bool,
    /// Rate of its clock in thousandths.
    rate: u64,
    boot: u64,
}

impl Node {
    /// Returns its clock's reading.
    pub fn clock(&self, now: Millis) -> Millis {
        now * self.rate / 1_000
    }
}

/// A request on its way.
struct Flight {
    at: Millis,
    owner: usize,
    worker: usize,
    request: WorkerRequest,
    answered: bool,
}

/// Something that happens later.
pub struct Later {
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

/// One shard with everything around it.
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
    claim: LeaseWatch,
    inbox: Vec<JobSpec>,
    flights: Vec<Flight>,
    no_answers: Vec<(Millis, usize, Name, u64)>,
    pub later: Vec<Later>,
    checkpoints: Arc<MemoryCheckpoints>,
    pub count: u64,
}

/// Returns an organisation with one service.
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

/// Returns a job of `tasks` tasks.
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
            claim: LeaseWatch::new(LEASE),
            inbox: Vec::new(),
            flights: Vec::new(),
            no_answers: Vec::new(),
            later: Vec::new(),
            checkpoints: Arc::new(MemoryCheckpoints::default()),
            count: 0,
            settings,
        };
        for i in 0..world.settings.workers {
            let mut node = Node {
                name: format!("w{i:02}").into(),
                sim: None,
                cut: false,
                only: None,
                paused: false,
                lose: false,
                late: false,
                twice: false,
                leaving: false,
                listed: true,
                rate: RATES[i % RATES.len()],
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

    /// Submits a job; it is in the inbox from now on.
    pub fn submit(&mut self, spec: JobSpec) {
        self.submitted.push((spec.key.clone(), spec.tasks));
        self.inbox.push(spec);
    }

    /// Returns the state of a job by the journal.
    pub fn status(&self, key: &JobKey) -> Option<JobStatus> {
        let mut book = ShardState::default();
        for record in &self.journal {
            book.apply(record);
        }
        book.find(key).map(JobStatus::of)
    }

    /// Tells whether every submitted job has ended.
    pub fn finished(&self) -> bool {
        let mut book = ShardState::default();
        for record in &self.journal {
            book.apply(record);
        }
        self.submitted
            .iter()
            .all(|(k, _)| book.find(k).is_some_and(|j| j.open_tasks == 0))
    }

    /// Returns the owner that the row names.
    pub fn current(&self) -> Option<&Owner> {
        self.owners
            .iter()
            .find(|o| o.epoch == self.row.epoch && !o.dead)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job has ended, at most for `limit`; tells whether so.
    pub fn run_until_finished(&mut self, limit: Millis) -> bool {
        let end = self.now + limit;
        while self.now < end {
            self.run(500);
            if self.finished() {
                return true;
            }
        }
        false
    }

    /// Ends every fault that can end.
    pub fn heal(&mut self) {
        self.store_down = false;
        for later in std::mem::take(&mut self.later) {
            self.undo(later.what);
        }
        for node in &mut self.nodes {
            node.cut = false;
            node.only = None;
            node.paused = false;
            node.lose = false;
            node.late = false;
            node.twice = false;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due: Vec<Later> = {
            let now = self.now;
            let all = std::mem::take(&mut self.later);
            let (due, rest) = all.into_iter().partition(|l| l.at <= now);
            self.later = rest;
            due
        };
        for later in due {
            self.undo(later.what);
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

    /// A contender watches the row and takes the shard when it may.
    fn take_over(&mut self) {
        if self.store_down {
            return;
        }
        self.claim.observe(self.now, Some(&self.row), self.version);
        if !self.claim.can_acquire(self.now) {
            return;
        }
        let inherited = self.row.hold;
        self.row.epoch += 1;
        self.row.owner = Some("sched".into());
        self.row.hold = self.settings.hold.max(inherited);
        self.version += 1;
        let mut book = ShardState::default();
        for record in &self.journal {
            book.apply(record);
        }
        let takeover = Takeover {
            epoch: self.row.epoch,
            state: book,
            next_record: self.journal.len() as u64,
            inherited_hold: self.row.hold,
            settled: false,
        };
        let place = ShardId {
            name: "zone.0".into(),
            index: 0,
            count: 1,
        };
        let seed = self.settings.seed + self.row.epoch;
        let machine =
            ShardScheduler::new(place, self.settings.shard.clone(), seed, takeover, self.now);
        self.owners.push(Owner {
            machine,
            tenure: OwnerLease::new(LEASE, self.now),
            epoch: self.row.epoch,
            version: self.version,
            backlog: VecDeque::new(),
            renewed: self.now,
            paused: false,
            dead: false,
            store_cut: false,
            orgs_known: false,
        });
    }

    fn step_owner(&mut self, i: usize) {
        let now = self.now;
        if self.owners[i].dead || self.owners[i].paused {
            return;
        }
        self.owners[i].tenure.tick(now);
        self.write(i);
        if self.owners[i].dead {
            return;
        }
        let mut events = Vec::new();
        if !self.owners[i].orgs_known {
            self.owners[i].orgs_known = true;
            let org = org(self.settings.hold, self.settings.replicas);
            events.push(Event::Organisations(vec![org]));
        }
        if now.is_multiple_of(500) || self.owners[i].machine.workers().is_empty() {
            events.push(self.list());
        }
        let reads = !self.store_down && !self.owners[i].store_cut;
        if !self.inbox.is_empty() && reads && self.owners[i].epoch == self.row.epoch {
            events.push(Event::Submit(self.inbox.clone()));
        }
        if self.owners[i].tenure.can_act() {
            events.push(Event::Tick);
        }
        for event in events {
            self.feed(i, &event);
        }
    }

    fn list(&self) -> Event {
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

    /// Feeds an event to an owner and does what it wants.
    pub fn feed(&mut self, i: usize, event: &Event) {
        let actions = self.owners[i].machine.step(self.now, event);
        for action in actions {
            match action {
                Action::Append { records, .. } => self.owners[i].backlog.extend(records),
                Action::Exchange {
                    worker, request, ..
                } => self.send(i, &worker, request),
                Action::Fenced { .. } => self.owners[i].renewed = 0,
            }
        }
    }

    fn send(&mut self, owner: usize, worker: &Name, request: WorkerRequest) {
        let found = self.nodes.iter().position(|n| n.name == *worker);
        let Some(w) = found else { return };
        let (now, node) = (self.now, &self.nodes[w]);
        let seq = request.seq;
        let flight = |at: Millis, answered: bool| Flight {
            at,
            owner,
            worker: w,
            request: request.clone(),
            answered,
        };
        let other = node.only.is_some_and(|o| o != owner);
        if node.cut || other || node.sim.is_none() {
            self.no_answers
                .push((now + TIMEOUT, owner, worker.clone(), seq));
            return;
        }
        if node.late {
            self.flights.push(flight(now + LATE, false));
            self.no_answers
                .push((now + TIMEOUT, owner, worker.clone(), seq));
            return;
        }
        if node.twice {
            self.flights.push(flight(now + 400, false));
            self.flights.push(flight(now + 2_500, false));
            self.flights.push(flight(now + LATE, false));
        }
        self.flights.push(flight(now + STEP, true));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.flights);
        let mut answers = Vec::new();
        for mut f in all {
            let node = &mut self.nodes[f.worker];
            if f.at > now {
                self.flights.push(f);
                continue;
            }
            if node.paused {
                if f.answered {
                    let seq = f.request.seq;
                    self.no_answers
                        .push((now + TIMEOUT, f.owner, node.name.clone(), seq));
                }
                f.answered = false;
                self.flights.push(f);
                continue;
            }
            let clock = node.clock(now);
            let Some(sim) = node.sim.as_mut() else {
                continue;
            };
            let answer: WorkerAnswer = sim.exchange(clock, &f.request);
            let seq = f.request.seq;
            if !f.answered {
                continue;
            }
            if node.lose || node.cut {
                self.no_answers
                    .push((now + TIMEOUT, f.owner, node.name.clone(), seq));
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
            self.feed(owner, &event);
        }
    }

    /// Writes an owner's records, conditional on the row's version.
    fn write(&mut self, i: usize) {
        let now = self.now;
        let o = &mut self.owners[i];
        let due = !o.backlog.is_empty() || now >= o.renewed + RENEW;
        if !due || self.store_down || o.store_cut {
            return;
        }
        if o.version != self.version {
            o.dead = true;
            return;
        }
        self.version += 1;
        o.version = self.version;
        o.renewed = now;
        o.tenure.confirm(now);
        for record in o.backlog.drain(..) {
            if let Record::Submitted(spec) = &record {
                self.inbox.retain(|s| s.key != spec.key);
            }
            self.journal.push(record);
        }
        let committed = self.journal.len() as u64;
        self.feed(i, &Event::StoreSeen(self.settings.hold));
        self.feed(i, &Event::Committed(committed));
    }
}
