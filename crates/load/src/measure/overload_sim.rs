//! Simulation of entries and targets in virtual time, for measuring routing.
//!
//! Each entry has its own router. Routers share no state: a router gets only the number of
//! entries, its rank among them, and the load that targets report in their answers.

use std::{cmp::Reverse, collections::BinaryHeap};

use gorsespur_core::{
    Millis,
    route::{
        Arrival, AttemptOutcome, RouteAction, RouteEvent, RoutePolicy, RouteSettings, Router,
        Share, TargetList,
    },
    shard::TargetInfo,
    template::Priority,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::clients::LatencyHistogram;

/// Current size of one zone.
const ENTRY_COUNT: usize = 3;
const TARGET_COUNT: usize = 18;
const SLOTS_PER_TARGET: u32 = 8;

/// Mean service time of a request.
const MEAN_SERVICE_MS: f64 = 20.0;

/// Factor by which the service time of slow targets is longer.
const SLOWDOWN_FACTOR: f64 = 10.0;

/// Deadline of a request after its arrival.
const DEADLINE_MS: Millis = 1_000;

/// Time at the start that is not measured.
const WARMUP_MS: Millis = 2_000;

const START_MS: Millis = 1_000_000;

/// One-way delay between an entry and a target.
const NETWORK_DELAY_MS: Millis = 1;

/// Fault of a third of the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetFault {
    None,
    /// The targets break each connection after they receive the request.
    Failing,
    /// The targets are slower by `SLOWDOWN_FACTOR`.
    Slow,
    /// The targets refuse connections.
    Unreachable,
}

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct OverloadSettings {
    pub policy: RoutePolicy,
    pub load: f64,
    pub fault: TargetFault,
    pub seed: u64,
    pub duration: Millis,
}

/// Results after the warm-up.
#[derive(Debug, Clone)]
pub(crate) struct OverloadResult {
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    /// Answers that arrived after the deadline.
    pub late: u64,
    pub tries: u64,
    pub repeatable: u64,
    pub repeatable_ok: u64,
    /// Answers within the deadline as a share of the capacity.
    pub goodput: f64,
    pub urgent_latencies: LatencyHistogram,
    pub latencies: LatencyHistogram,
    /// Times from the arrival of refused requests to their refusal.
    pub refused_wait: LatencyHistogram,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival {
        entry: usize,
    },
    Receive {
        entry: usize,
        req: u64,
        attempt: u32,
        target: usize,
    },
    Finish {
        entry: usize,
        req: u64,
        attempt: u32,
        target: usize,
    },
    Response {
        entry: usize,
        req: u64,
        attempt: u32,
        end: AttemptEnd,
    },
    Hedge {
        entry: usize,
        req: u64,
    },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    Answered { took: Millis, busy: u32 },
    Declined { busy: u32 },
    Failed,
    NotSent,
}

#[derive(Debug, Clone)]
struct OpenRequest {
    req: u64,
    arrived_at: Millis,
    urgent: bool,
    repeatable: bool,
    settled: bool,
}

struct SimTarget {
    busy: u32,
    faulty: bool,
}

struct OverloadSim<'a> {
    settings: &'a OverloadSettings,
    rng: SmallRng,
    now: Millis,
    event_count: u64,
    queue: BinaryHeap<Reverse<(Millis, u64, SimEvent)>>,
    routers: Vec<Router>,
    open: Vec<Vec<OpenRequest>>,
    targets: Vec<SimTarget>,
    request_count: u64,
    next_arrival: f64,
    result: OverloadResult,
}

impl OverloadSettings {
    /// Runs the simulation.
    pub fn run(&self) -> OverloadResult {
        let mut sim = OverloadSim::new(self);
        sim.prepare();
        sim.process_events();
        sim.result
    }

    /// Returns the requests per millisecond that keep all slots busy.
    fn capacity(&self) -> f64 {
        (TARGET_COUNT as u32 * SLOTS_PER_TARGET) as f64 / MEAN_SERVICE_MS
    }
}

impl OverloadSim<'_> {
    fn new(settings: &OverloadSettings) -> OverloadSim<'_> {
        let route_settings = RouteSettings {
            policy: settings.policy,
            max_org_requests: usize::MAX,
            ..RouteSettings::default()
        };
        let mut targets = Vec::new();
        for i in 0..TARGET_COUNT {
            targets.push(SimTarget {
                busy: 0,
                faulty: settings.fault != TargetFault::None && i % 3 == 0,
            });
        }
        let router = |e: u64| Router::new(route_settings.clone(), settings.seed * 10 + e);
        OverloadSim {
            settings,
            rng: SmallRng::seed_from_u64(settings.seed),
            now: START_MS,
            event_count: 0,
            queue: BinaryHeap::new(),
            routers: (0..ENTRY_COUNT as u64).map(router).collect(),
            open: vec![Vec::new(); ENTRY_COUNT],
            targets,
            request_count: 0,
            next_arrival: START_MS as f64,
            result: OverloadResult {
                requests: 0,
                answered: 0,
                refused: 0,
                late: 0,
                tries: 0,
                repeatable: 0,
                repeatable_ok: 0,
                goodput: 0.0,
                urgent_latencies: LatencyHistogram::new(),
                latencies: LatencyHistogram::new(),
                refused_wait: LatencyHistogram::new(),
            },
        }
    }

    fn prepare(&mut self) {
        let mut targets = Vec::new();
        for i in 0..TARGET_COUNT {
            targets.push(TargetInfo {
                org: "org".into(),
                service: "service".into(),
                worker: format!("w{i:02}").into(),
                addr: ([127, 0, 0, 1], 1_000 + i as u16).into(),
                slots: SLOTS_PER_TARGET,
                connections: 60,
                leaving: false,
            });
        }
        for e in 0..ENTRY_COUNT {
            let list = TargetList {
                shard: 0,
                epoch: 1,
                version: 1,
                same_zone: true,
                targets: targets.clone(),
            };
            self.routers[e].step(START_MS, &RouteEvent::Targets(list));
            let share = Share {
                entries: ENTRY_COUNT as u32,
                rank: e as u32,
            };
            self.routers[e].step(START_MS, &RouteEvent::Entries(share));
        }
        self.schedule_arrival();
        self.push(START_MS + 10, SimEvent::Tick);
    }

    fn push(&mut self, at: Millis, event: SimEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_arrival(&mut self) {
        let rate = self.settings.capacity() * self.settings.load;
        self.next_arrival += -self.rng.random_range(1e-12..1.0f64).ln() / rate;
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        self.push(self.next_arrival as Millis, SimEvent::Arrival { entry });
    }

    fn process_events(&mut self) {
        let end = START_MS + self.settings.duration;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            match event {
                SimEvent::Arrival { entry } => self.start_request(entry),
                SimEvent::Receive {
                    entry,
                    req,
                    attempt,
                    target,
                } => self.receive_attempt(entry, req, attempt, target),
                SimEvent::Finish {
                    entry,
                    req,
                    attempt,
                    target,
                } => self.finish_attempt(entry, req, attempt, target),
                SimEvent::Response {
                    entry,
                    req,
                    attempt,
                    end,
                } => self.receive_response(entry, req, attempt, end),
                SimEvent::Hedge { entry, req } => {
                    self.apply_event(entry, &RouteEvent::Hedge { req })
                }
                SimEvent::Tick => {
                    for e in 0..ENTRY_COUNT {
                        self.apply_event(e, &RouteEvent::Tick);
                    }
                    self.push(self.now + 10, SimEvent::Tick);
                }
            }
        }
        let counted = (self.settings.duration - WARMUP_MS) as f64;
        let in_time = (self.result.answered - self.result.late) as f64;
        self.result.goodput = in_time / (self.settings.capacity() * counted);
    }

    fn is_counted(&self, at: Millis) -> bool {
        at >= START_MS + WARMUP_MS
    }

    fn start_request(&mut self, entry: usize) {
        self.schedule_arrival();
        self.request_count += 1;
        let req = self.request_count;
        let draw: f64 = self.rng.random();
        let priority = match draw {
            d if d < 0.1 => Priority::Urgent,
            d if d < 0.8 => Priority::Normal,
            _ => Priority::Bulk,
        };
        let repeatable = self.rng.random_bool(0.7);
        if self.is_counted(self.now) {
            self.result.requests += 1;
            self.result.repeatable += u64::from(repeatable);
        }
        self.open[entry].push(OpenRequest {
            req,
            arrived_at: self.now,
            urgent: priority == Priority::Urgent,
            repeatable,
            settled: false,
        });
        let arrival = Arrival {
            req,
            org: "org".into(),
            service: "service".into(),
            priority,
            deadline: self.now + DEADLINE_MS,
            repeatable,
            max_queued: 64,
            retry_percent: 10,
        };
        self.apply_event(entry, &RouteEvent::Arrive(arrival));
    }

    fn apply_event(&mut self, entry: usize, event: &RouteEvent) {
        let actions = self.routers[entry].step(self.now, event);
        for action in actions {
            match action {
                RouteAction::Send {
                    req,
                    attempt,
                    worker,
                    hedge_after: hedge,
                    ..
                } => {
                    let target = worker[1..].parse().unwrap_or(0);
                    self.result.tries += u64::from(self.is_counted(self.now));
                    if hedge > 0 && attempt == 1 {
                        self.push(self.now + hedge, SimEvent::Hedge { entry, req });
                    }
                    self.push(
                        self.now + NETWORK_DELAY_MS,
                        SimEvent::Receive {
                            entry,
                            req,
                            attempt,
                            target,
                        },
                    );
                }
                RouteAction::Refuse { req, .. } => self.record_refusal(entry, req),
            }
        }
    }

    fn record_refusal(&mut self, entry: usize, req: u64) {
        let Ok(i) = self.open[entry].binary_search_by_key(&req, |request| request.req) else {
            return;
        };
        let request = self.open[entry].remove(i);
        if self.is_counted(request.arrived_at) && !request.settled {
            self.result.refused += 1;
            self.result
                .refused_wait
                .record((self.now - request.arrived_at) * 1_000);
        }
    }

    fn receive_attempt(&mut self, entry: usize, req: u64, attempt: u32, target: usize) {
        let faulty = self.targets[target].faulty;
        let response = |end| SimEvent::Response {
            entry,
            req,
            attempt,
            end,
        };
        if faulty && self.settings.fault == TargetFault::Unreachable {
            return self.push(self.now + NETWORK_DELAY_MS, response(AttemptEnd::NotSent));
        }
        if faulty && self.settings.fault == TargetFault::Failing {
            return self.push(self.now + NETWORK_DELAY_MS, response(AttemptEnd::Failed));
        }
        let sim_target = &mut self.targets[target];
        if sim_target.busy >= SLOTS_PER_TARGET {
            let busy = sim_target.busy;
            return self.push(
                self.now + NETWORK_DELAY_MS,
                response(AttemptEnd::Declined { busy }),
            );
        }
        sim_target.busy += 1;
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let factor = if faulty { SLOWDOWN_FACTOR } else { 1.0 };
        let service_ms = MEAN_SERVICE_MS * (0.5 + 0.5 * -uniform.ln()) * factor;
        let end = self.now + service_ms as Millis;
        self.push(
            end,
            SimEvent::Finish {
                entry,
                req,
                attempt,
                target,
            },
        );
    }

    fn finish_attempt(&mut self, entry: usize, req: u64, attempt: u32, target: usize) {
        let busy = self.targets[target].busy;
        self.targets[target].busy -= 1;
        let position = self.open[entry].binary_search_by_key(&req, |o| o.req);
        let took = position.map_or(MEAN_SERVICE_MS as Millis, |i| {
            self.now - self.open[entry][i].arrived_at
        });
        self.push(
            self.now + NETWORK_DELAY_MS,
            SimEvent::Response {
                entry,
                req,
                attempt,
                end: AttemptEnd::Answered { took, busy },
            },
        );
    }

    fn receive_response(&mut self, entry: usize, req: u64, attempt: u32, end: AttemptEnd) {
        if let AttemptEnd::Answered { .. } = end {
            self.record_answer(entry, req);
        }
        let end = match end {
            AttemptEnd::Answered { took, busy } => AttemptOutcome::Answered {
                took,
                busy: Some(busy),
            },
            AttemptEnd::Declined { busy } => AttemptOutcome::Declined {
                busy: Some(busy),
                leaving: false,
            },
            AttemptEnd::Failed => AttemptOutcome::Failed,
            AttemptEnd::NotSent => AttemptOutcome::NotSent,
        };
        self.apply_event(entry, &RouteEvent::Ended { req, attempt, end });
    }

    fn record_answer(&mut self, entry: usize, req: u64) {
        let Ok(i) = self.open[entry].binary_search_by_key(&req, |request| request.req) else {
            return;
        };
        let request = &mut self.open[entry][i];
        if request.settled {
            return;
        }
        request.settled = true;
        let request = request.clone();
        if !self.is_counted(request.arrived_at) {
            return;
        }
        let latency_ms = self.now - request.arrived_at;
        self.result.answered += 1;
        self.result.late += u64::from(latency_ms > DEADLINE_MS);
        self.result.repeatable_ok += u64::from(request.repeatable && latency_ms <= DEADLINE_MS);
        self.result.latencies.record(latency_ms * 1_000);
        if request.urgent {
            self.result.urgent_latencies.record(latency_ms * 1_000);
        }
    }
}
