//! A worker: leases, fence numbers, starts, stops and lists of runs, as PROTOCOL.md states them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use gorsespur_http::{Handler, Request, Response, Server, ServerSettings};
use serde_json::{Value, json};

use crate::record::Record;

/// Ends that one list holds.
const LISTED_ENDS: usize = 500;

/// What the requester said of a job, by which its tasks run.
#[derive(Clone)]
pub struct Work {
    /// By step: thousandths of a core, memory in MB, time of a task, and whether it lasts.
    pub steps: Vec<Step>,
}

#[derive(Clone, Copy)]
pub struct Step {
    pub cpu: u64,
    pub mem: u64,
    pub time: Duration,
    pub lasts: bool,
    /// For a task that serves: the tail of its answers' times in milliseconds.
    pub tail_ms: u64,
    /// Whether the task's `cpu` isn't counted against the room.
    pub fills: bool,
}

/// The jobs that requesters sent.
#[derive(Default)]
pub struct Jobs {
    pub by_id: Mutex<HashMap<String, Arc<Work>>>,
}

struct Run {
    task: String,
    attempt: u64,
    step: Step,
    began: Instant,
    /// When the run ends, and how.
    ends: Option<(Instant, &'static str)>,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct State {
    running: Vec<Run>,
    finished: Vec<End>,
    last_end: u64,
    /// Highest run that ended or was stopped, by task.
    closed: HashMap<String, u64>,
    fence: u64,
    lease_end: Instant,
    /// Whether the process has crashed.
    is_dead: bool,
    /// Whether the next poll that says that ends were observed is left unanswered, and all orders
    /// after it.
    holds_back: bool,
    /// The orders that were left unanswered.
    held_back: Vec<Order>,
}

/// An order that is carried out late.
#[derive(Clone)]
pub struct Order {
    pub path: String,
    pub body: Value,
}

pub struct Worker {
    pub id: String,
    pub born: u64,
    cpu: u64,
    mem: u64,
    hold_max: Duration,
    origin: Instant,
    state: Mutex<State>,
    changed: Condvar,
    jobs: Arc<Jobs>,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        id: &str,
        born: u64,
        size: (u64, u64),
        hold_max: Duration,
        jobs: &Arc<Jobs>,
        record: &Arc<Record>,
    ) -> (Arc<Worker>, Server, SocketAddr) {
        let now = Instant::now();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            born,
            cpu: size.0,
            mem: size.1,
            hold_max,
            origin: now,
            state: Mutex::new(State {
                running: Vec::new(),
                finished: Vec::new(),
                last_end: 0,
                closed: HashMap::new(),
                fence: 0,
                lease_end: now,
                is_dead: false,
                holds_back: false,
                held_back: Vec::new(),
            }),
            changed: Condvar::new(),
            jobs: jobs.clone(),
            record: record.clone(),
        });
        let settings = ServerSettings {
            max_connections: 64,
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
        };
        let addr = "127.0.0.1:0".parse().expect("address");
        let server = Server::start(addr, settings, worker.clone()).expect("listen");
        let addr = server.addr();
        (worker, server, addr)
    }

    /// Returns what the worker says of itself in the store.
    pub fn entry(&self, addr: SocketAddr, zone: &str, seq: u64) -> Value {
        json!({
            "service": "s", "address": addr.to_string(), "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "labels": ["a", "r1"],
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "clockMs": self.clock(), "seq": seq, "born": self.born
        })
    }

    /// Returns the thousandths of a core in use.
    pub fn used(&self) -> u64 {
        let mut state = self.state.lock().expect("lock");
        self.advance(&mut state);
        state
            .running
            .iter()
            .map(|r| if r.step.fills { 0 } else { r.step.cpu })
            .sum()
    }

    /// Leaves the next poll that says that ends were observed unanswered, and all orders after it.
    pub fn hold_back(&self) {
        self.state.lock().expect("lock").holds_back = true;
    }

    /// Returns the orders that were left unanswered.
    pub fn held_back(&self) -> Vec<Order> {
        self.state.lock().expect("lock").held_back.clone()
    }

    /// Carries out an order late; returns the status of the answer that nobody gets.
    pub fn carry_out(&self, order: &Order) -> u16 {
        let answer = self.obey(&order.path, &order.body);
        answer.map_or(0, |r| r.status)
    }

    /// Keeps an order from being carried out; returns whether it is to stay unanswered.
    fn is_held_back(&self, path: &str, body: &Value) -> bool {
        let mut state = self.state.lock().expect("lock");
        let begins = state.holds_back && path == "/hold" && body["observed"].as_u64() > Some(0);
        let goes_on = !state.held_back.is_empty() && matches!(path, "/hold" | "/run-start");
        if !state.is_dead && (begins || goes_on) {
            let (path, body) = (path.to_owned(), body.clone());
            self.record.note(&format!(
                "late  {} is left without an answer: {path} {body}",
                self.id
            ));
            state.held_back.push(Order { path, body });
            return true;
        }
        false
    }

    /// Ends the process with all that runs there; nothing is listed any more.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("lock");
        self.advance(&mut state);
        state.is_dead = true;
        for run in std::mem::take(&mut state.running) {
            self.record
                .ended(&run.task, run.attempt, &self.id, "with its worker");
        }
        self.changed.notify_all();
    }

    pub fn is_dead(&self) -> bool {
        self.state.lock().expect("lock").is_dead
    }

    /// Returns the number of runs.
    pub fn runs(&self) -> usize {
        let mut state = self.state.lock().expect("lock");
        self.advance(&mut state);
        state.running.len()
    }

    fn clock(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Ends the runs that are due.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = now > state.lease_end;
        let mut at = 0;
        while at < state.running.len() {
            let run = &state.running[at];
            let due = run
                .ends
                .filter(|(when, _)| *when <= now)
                .map(|(_, how)| how);
            let Some(how) = due.or(lapsed.then_some("lapsed")) else {
                at += 1;
                continue;
            };
            let run = state.running.remove(at);
            state.last_end += 1;
            let closed = state.closed.entry(run.task.clone()).or_default();
            *closed = run.attempt.max(*closed);
            self.record.ended(&run.task, run.attempt, &self.id, how);
            state.finished.push(End {
                number: state.last_end,
                task: run.task,
                attempt: run.attempt,
                how,
            });
        }
    }

    fn respond(&self, status: u16, mut body: Value) -> Response {
        body["clockMs"] = self.clock().into();
        body["born"] = self.born.into();
        Response::new(status, body.to_string().into_bytes())
    }

    fn refuse(&self, reason: &str) -> Response {
        self.respond(409, json!({"reason": reason}))
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let Some(deadline) = body["deadlineMs"].as_u64() else {
            return;
        };
        let now = Instant::now();
        let end = self.origin + Duration::from_millis(deadline);
        state.lease_end = state.lease_end.max(end.min(now + self.hold_max));
    }

    fn run_start(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(attempt)) = (body["task"].as_str(), body["attempt"].as_u64()) else {
            return Response::new(400, Vec::new());
        };
        if state
            .running
            .iter()
            .any(|r| r.task == task && r.attempt == attempt)
        {
            return self.respond(200, json!({}));
        }
        if state.closed.get(task).is_some_and(|c| *c >= attempt) {
            return self.refuse("old");
        }
        if state.lease_end <= Instant::now() {
            return self.refuse("late");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step: Option<usize> = parts.nth(1).and_then(|s| s.parse().ok());
        let work = self.jobs.by_id.lock().expect("lock").get(job).cloned();
        let step = work.zip(step).and_then(|(w, s)| w.steps.get(s).copied());
        let Some(step) = step else {
            self.record
                .note(&format!("UNASKED {task} was started, nobody sent it"));
            return Response::new(400, Vec::new());
        };
        let used = |f: fn(&Step) -> u64| -> u64 { state.running.iter().map(|r| f(&r.step)).sum() };
        let counted = |s: &Step| if s.fills { 0 } else { s.cpu };
        if used(counted) + counted(&step) > self.cpu || used(|s| s.mem) + step.mem > self.mem {
            return self.refuse("room");
        }
        let now = Instant::now();
        self.record.began(task, attempt, &self.id);
        state.running.push(Run {
            task: task.to_owned(),
            attempt,
            step,
            began: now,
            ends: (!step.lasts).then(|| (now + step.time, "done")),
        });
        self.changed.notify_all();
        self.respond(200, json!({}))
    }

    fn run_stop(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(attempt)) = (body["task"].as_str(), body["attempt"].as_u64()) else {
            return Response::new(400, Vec::new());
        };
        let now = Instant::now();
        let mut running = state.running.iter_mut();
        match running.find(|r| r.task == task && r.attempt == attempt) {
            Some(run) => {
                let end = now + Duration::from_millis(20);
                if run.ends.is_none_or(|(when, _)| when > end) {
                    run.ends = Some((end, "stopped"));
                }
            }
            None => {
                let closed = state.closed.entry(task.to_owned()).or_default();
                *closed = attempt.max(*closed);
            }
        }
        self.changed.notify_all();
        self.respond(200, json!({}))
    }

    fn hold(&self, body: &Value) -> Response {
        let observed = body["observed"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("lock");
        self.advance(&mut state);
        state.finished.retain(|e| e.number > observed);
        loop {
            self.advance(&mut state);
            let now = Instant::now();
            if !state.finished.is_empty() || now >= until || state.is_dead {
                break;
            }
            let next = state
                .running
                .iter()
                .filter_map(|r| r.ends)
                .map(|(when, _)| when)
                .min();
            let next = next
                .unwrap_or(until)
                .min(until)
                .min(state.lease_end.max(now));
            let pause = next
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            state = self.changed.wait_timeout(state, pause).expect("lock").0;
        }
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|r| {
                let total = r.step.time.as_millis().max(1);
                let percent =
                    (r.began.elapsed().as_millis() * 100 / total).min(match r.step.lasts {
                        true => 100,
                        false => 99,
                    });
                let figure = match r.step.tail_ms {
                    0 => r.step.cpu,
                    // Rough, as the page says.
                    tail => {
                        tail * (90 + (r.began.elapsed().as_millis() / 500 % 5) as u64 * 5) / 100
                    }
                };
                json!([r.task, r.attempt, "", percent as u64, figure])
            })
            .collect();
        let finished: Vec<Value> = state
            .finished
            .iter()
            .take(LISTED_ENDS)
            .map(|e| json!([e.number, e.task, e.attempt, e.how, ""]))
            .collect();
        self.respond(200, json!({"running": running, "finished": finished}))
    }
}

impl Handler for Worker {
    fn handle(&self, request: Request) -> Option<Response> {
        if request.path == "/healthz" {
            return Some(Response::new(200, Vec::new()).with_header("X-Instance-Id", &*self.id));
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some(Response::new(421, Vec::new()));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Some(Response::new(400, Vec::new()));
        };
        if self.is_held_back(&request.path, &body) {
            while !self.is_dead() {
                thread::sleep(Duration::from_millis(5));
            }
            return None;
        }
        self.obey(&request.path, &body)
    }
}

impl Worker {
    /// Carries out an order; returns no answer if the process has crashed.
    fn obey(&self, path: &str, body: &Value) -> Option<Response> {
        let fence = body["fence"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock().expect("lock");
            if state.is_dead {
                return None;
            }
            self.advance(&mut state);
            if fence < state.fence {
                return Some(self.refuse("fence"));
            }
            state.fence = fence;
            self.extend(&mut state, body);
            match path {
                "/run-start" => return Some(self.run_start(&mut state, body)),
                "/run-stop" => return Some(self.run_stop(&mut state, body)),
                "/pace" => return Some(self.respond(200, json!({}))),
                "/hold" => {}
                _ => return Some(Response::new(404, Vec::new())),
            }
        }
        Some(self.hold(body))
    }
}
