//! Simulation of a shard with its workers in virtual time, for measuring placement.
//!
//! On a worker, tasks slow each other down according to an interference table that is hidden from
//! the scheduler. Workers report slowdowns with a lag.

use std::sync::Arc;

use gorsespur_core::{
    Millis,
    name::Name,
    placement::{BAND_COUNT, PlacementPolicy},
    shard::{
        Action, End, Event, JobKey, JobSpec, Record, ShardId, ShardScheduler, ShardSettings,
        ShardState, Takeover, WorkerInfo,
    },
    size::Size,
    template::{OrgLimits, Organisation, Priority, Service, Team, Weights},
};
use gorsespur_stand::{Ledger, MemoryCheckpoints, SimSettings, SimWorker, Slowdown};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::clients::LatencyHistogram;

const STEP_MS: Millis = 20;

const START_MS: Millis = 1_000_000;

/// Interval between two latency samples of the services.
const SAMPLE_INTERVAL_MS: Millis = 100;

/// Time at the start that is not measured, since the utilisation of the workers still rises.
const WARMUP_MS: Millis = 20_000;

/// Number of kinds of batch tasks.
pub(crate) const JOB_KINDS: usize = 8;

/// Name of the service.
const SERVICE: &str = "service";

/// Mean latency of a service without interference.
const BASE_LATENCY_US: f64 = 4_000.0;

/// Representative load of each load band.
const BAND_LOADS: [f64; BAND_COUNT] = [0.3, 0.7, 0.9];

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct PlacementSimSettings {
    pub workers: usize,
    pub replicas: u32,
    pub weights: Weights,
    pub policy: PlacementPolicy,
    /// Time that urgent tasks wait before other tasks are evicted. `None` means the default.
    pub preempt_after: Option<Millis>,
    pub seed: u64,
    pub table_seed: u64,
    pub strength: f64,
    pub report_lag: Millis,
    pub duration: Millis,
    /// Whether the scheduler gets the hidden table.
    pub oracle: bool,
}

/// Results after the warm-up.
#[derive(Debug, Clone)]
pub(crate) struct PlacementSimResult {
    pub latencies: LatencyHistogram,
    pub completed: u64,
    /// Sum of the declared run times of the completed tasks, without slowdowns.
    pub work_ms: u64,
    pub evictions: u64,
    /// Maximum and mean waiting time of urgent tasks. Includes the warm-up.
    pub urgent_max_ms: Millis,
    pub urgent_mean_ms: f64,
}

struct UrgentTask {
    id: Name,
    submitted_at: Millis,
}

/// A shard scheduler with simulated workers.
pub(crate) struct PlacementSim {
    settings: PlacementSimSettings,
    scheduler: ShardScheduler,
    workers: Vec<SimWorker>,
    worker_names: Vec<Name>,
    rng: SmallRng,
    load_rng: SmallRng,
    now: Millis,
    job_count: u64,
    pending_urgent: Vec<UrgentTask>,
    urgent_waits: Vec<Millis>,
    result: PlacementSimResult,
    queued_jobs: u64,
}

fn kind_name(kind: usize) -> Name {
    format!("kind{kind}").into()
}

fn organisation(settings: &PlacementSimSettings) -> Arc<Organisation> {
    let quota = Size::new(u64::MAX / 4, u64::MAX / 4, u32::MAX / 4);
    let mut teams = Vec::new();
    for kind in 0..JOB_KINDS {
        let name = kind_name(kind);
        teams.push(Team { name, quota });
    }
    Arc::new(Organisation {
        name: "org".into(),
        weights: settings.weights,
        limits: OrgLimits {
            open_jobs: 1_000_000,
            queued_requests: 64,
            retry_percent: 10,
            task_evictions: 3,
            hold: 60_000,
        },
        teams,
        services: vec![Service {
            name: SERVICE.into(),
            replicas: settings.replicas,
            size: Size::new(6_000, 16 << 30, 0),
            slots: 8,
            connections: 60,
            deadline: 1_000,
        }],
        jobs: Vec::new(),
    })
}

impl PlacementSim {
    pub fn new(settings: PlacementSimSettings) -> PlacementSim {
        let shard_id = ShardId {
            name: "floor".into(),
            index: 0,
            count: 1,
        };
        let defaults = ShardSettings::default();
        let shard_settings = ShardSettings {
            preempt_after: settings.preempt_after.unwrap_or(defaults.preempt_after),
            policy: settings.policy,
            retention: 1_000,
            ..defaults
        };
        let takeover = Takeover {
            epoch: 1,
            state: ShardState::default(),
            next_record: 0,
            inherited_hold: 60_000,
            settled: true,
        };
        let scheduler =
            ShardScheduler::new(shard_id, shard_settings, settings.seed, takeover, START_MS);
        let ledger = Arc::new(Ledger::default());
        let checkpoints = Arc::new(MemoryCheckpoints::default());
        let mut workers = Vec::new();
        let mut worker_names = Vec::new();
        for i in 0..settings.workers {
            let name: Name = format!("w{i:03}").into();
            let sim = SimSettings {
                name: name.clone(),
                size: Size::new(30_000, 125 << 30, 0),
                period: 1_000,
                lag: settings.report_lag,
                slowdown: Slowdown {
                    seed: settings.table_seed,
                    strength: settings.strength,
                    shift: 0,
                },
            };
            workers.push(SimWorker::new(sim, 1, ledger.clone(), checkpoints.clone()));
            worker_names.push(name);
        }
        PlacementSim {
            rng: SmallRng::seed_from_u64(settings.seed),
            load_rng: SmallRng::seed_from_u64(settings.seed + 77),
            scheduler,
            workers,
            worker_names,
            now: START_MS,
            job_count: 0,
            pending_urgent: Vec::new(),
            urgent_waits: Vec::new(),
            result: PlacementSimResult {
                latencies: LatencyHistogram::new(),
                completed: 0,
                work_ms: 0,
                evictions: 0,
                urgent_max_ms: 0,
                urgent_mean_ms: 0.0,
            },
            queued_jobs: 0,
            settings,
        }
    }

    /// Runs the simulation. The hidden table changes half-way.
    pub fn run(mut self) -> PlacementSimResult {
        self.apply_event(&Event::Organisations(vec![organisation(&self.settings)]));
        let list = self.worker_list();
        self.apply_event(&list);
        let half_time = START_MS + self.settings.duration / 2;
        let end = START_MS + self.settings.duration;
        let mut shifted = false;
        while self.now < end {
            if self.now >= half_time && !shifted {
                shifted = true;
                self.shift_table();
            }
            self.step();
        }
        let waits = &self.urgent_waits;
        self.result.urgent_max_ms = waits.iter().copied().max().unwrap_or(0);
        let sum: Millis = waits.iter().sum();
        self.result.urgent_mean_ms = sum as f64 / waits.len().max(1) as f64;
        self.result
    }

    fn shift_table(&mut self) {
        let slowdown = self.slowdown(1);
        for w in &mut self.workers {
            w.set_slowdown(slowdown.clone());
        }
    }

    fn slowdown(&self, shift: u64) -> Slowdown {
        Slowdown {
            seed: self.settings.table_seed,
            strength: self.settings.strength,
            shift,
        }
    }

    fn worker_list(&self) -> Event {
        let mut list = Vec::new();
        for (i, name) in self.worker_names.iter().enumerate() {
            let addr = ([127, 0, 0, 1], 1_000 + i as u16).into();
            list.push(WorkerInfo {
                name: name.clone(),
                zone: "zone".into(),
                rack: format!("r{}", i / 8).into(),
                addr,
                target: addr,
                size: Size::new(30_000, 125 << 30, 0),
                leaving: false,
            });
        }
        let counts = vec![list.len() as u32];
        Event::Workers { list, counts }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.settings.oracle && self.now.is_multiple_of(1_000) {
            self.set_true_interference();
        }
        for w in &mut self.workers {
            w.advance(self.now);
        }
        self.submit_jobs();
        self.apply_event(&Event::StoreSeen(60_000));
        self.apply_event(&Event::Tick);
        if self.now >= START_MS + WARMUP_MS && self.now.is_multiple_of(SAMPLE_INTERVAL_MS) {
            self.sample_latencies();
        }
    }

    /// Sets the scheduler's interference model to the current hidden table.
    fn set_true_interference(&mut self) {
        let shift = u64::from(self.now >= START_MS + self.settings.duration / 2);
        let slowdown = self.slowdown(shift);
        let mut kinds: Vec<Name> = (0..JOB_KINDS).map(kind_name).collect();
        kinds.push(SERVICE.into());
        let org = Name::from("org");
        for victim in &kinds {
            for other in &kinds {
                for (band, load) in BAND_LOADS.iter().enumerate() {
                    let adds = slowdown.contribution(victim, other, *load) as f32;
                    self.scheduler
                        .set_interference((&org, victim), (&org, other), band, adds);
                }
            }
        }
    }

    /// Submits normal jobs so that three per worker are queued, and urgent jobs at random.
    fn submit_jobs(&mut self) {
        let wanted = self.settings.workers as u64 * 3;
        let mut specs = Vec::new();
        while self.queued_jobs < wanted {
            let kind = self.rng.random_range(0..JOB_KINDS);
            let run_time = self.rng.random_range(2_000..10_000);
            specs.push(self.job_spec(kind, run_time, Priority::Normal));
            self.queued_jobs += 1;
        }
        let rate = self.settings.workers as f64 / 24.0;
        if self
            .load_rng
            .random_bool((rate * STEP_MS as f64 / 1_000.0).min(1.0))
        {
            let kind = self.load_rng.random_range(0..JOB_KINDS);
            let spec = self.job_spec(kind, 1_000, Priority::Urgent);
            self.pending_urgent.push(UrgentTask {
                id: spec.key.id.clone(),
                submitted_at: self.now,
            });
            specs.push(spec);
        }
        if !specs.is_empty() {
            self.apply_event(&Event::Submit(specs));
        }
    }

    fn job_spec(&mut self, kind: usize, run_time: Millis, priority: Priority) -> JobSpec {
        self.job_count += 1;
        JobSpec {
            key: JobKey {
                org: "org".into(),
                id: format!("job{}", self.job_count).into(),
            },
            kind: kind_name(kind),
            team: kind_name(kind),
            tasks: 1,
            size: Size::new(3_000, 6 << 30, 0),
            run_time,
            priority,
            checkpoint: true,
            attempts: 3,
            service: false,
        }
    }

    fn apply_event(&mut self, event: &Event) {
        let actions = self.scheduler.step(self.now, event);
        let mut answers = Vec::new();
        let mut committed = None;
        for action in actions {
            match action {
                Action::Append { first, records, .. } => {
                    committed = Some(first + records.len() as u64);
                    self.count_records(&records);
                }
                Action::Exchange {
                    worker, request, ..
                } => {
                    let Ok(i) = self.worker_names.binary_search(&worker) else {
                        continue;
                    };
                    let answer = self.workers[i].exchange(self.now, &request);
                    answers.push(Event::Answer { worker, answer });
                }
                Action::Fenced { .. } => {}
            }
        }
        if let Some(upto) = committed {
            self.apply_event(&Event::Committed(upto));
        }
        for event in answers {
            self.apply_event(&event);
        }
    }

    fn count_records(&mut self, records: &[Record]) {
        let counted = self.now >= START_MS + WARMUP_MS;
        for record in records {
            match record {
                Record::Started { attempt, .. } => {
                    let Some(job) = self.scheduler.state().job(attempt.job) else {
                        continue;
                    };
                    if job.spec.service || attempt.attempt > 1 {
                        continue;
                    }
                    if job.spec.priority != Priority::Urgent {
                        self.queued_jobs -= 1;
                        continue;
                    }
                    let id = &job.spec.key.id;
                    if let Some(i) = self.pending_urgent.iter().position(|task| task.id == *id) {
                        let task = self.pending_urgent.swap_remove(i);
                        self.urgent_waits.push(self.now - task.submitted_at);
                    }
                }
                Record::Ended { attempt, end } if counted => {
                    let Some(job) = self.scheduler.state().job(attempt.job) else {
                        continue;
                    };
                    match end {
                        End::Done => {
                            self.result.completed += 1;
                            self.result.work_ms += job.spec.run_time;
                        }
                        End::Evicted { .. } => self.result.evictions += 1,
                        End::Failed | End::Lost | End::Refused | End::Stopped => {}
                    }
                }
                _ => {}
            }
        }
    }

    /// Draws one latency from each replica of the service.
    fn sample_latencies(&mut self) {
        for w in &self.workers {
            if !w.has_replica(SERVICE) {
                continue;
            }
            let uniform: f64 = self.load_rng.random_range(1e-9..1.0);
            let us = BASE_LATENCY_US
                * (0.5 + 0.5 * (-uniform.ln()).min(6.0))
                * w.service_slowdown(SERVICE);
            self.result.latencies.record(us as u64);
        }
    }
}
