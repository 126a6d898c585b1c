//! A stand-in for a worker, as PROTOCOL.md describes it.
//!
//! It checks fence numbers, leases and its room, runs tasks for the time that their job's text
//! states, and keeps a record of each run.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{serve, Request},
    json::Json,
    store::Store,
};

const MAX_LEASE_MS: u64 = 10_000;
const STOP_MS: u64 = 100;
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Room of a worker: thousandths of a core, and MB.
pub const CPU: u64 = 32_000;
pub const MEMORY_MB: u64 = 125_000;

/// One run of a task, as the worker saw it; times in milliseconds since the start of the case.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
}

struct Active {
    task: String,
    attempt: u64,
    start: Instant,
    /// `None` for a task that lasts.
    length: Option<Duration>,
    stop_at: Option<Instant>,
    index: usize,
}

struct State {
    fence: u64,
    lease_end: Instant,
    active: Vec<Active>,
    ends: Vec<(u64, usize)>,
    last_end: u64,
    /// Highest attempt of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    runs: Vec<Run>,
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    origin: Instant,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts a worker that announces itself in the store.
    pub fn start(
        id: &str,
        service: &str,
        rack: usize,
        store: &Arc<Store>,
        origin: Instant,
    ) -> Worker {
        let state = Arc::new(Mutex::new(State {
            fence: 0,
            lease_end: origin,
            active: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            runs: Vec::new(),
        }));
        let (own, name) = (state.clone(), id.to_owned());
        let addr = serve(Arc::new(move |request| {
            handle(&name, &own, origin, request)
        }));
        let (store, key, service) = (store.clone(), id.to_owned(), service.to_owned());
        thread::spawn(move || {
            for seq in 0.. {
                let row = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{CPU},\"memMb\":{MEMORY_MB},\"gpu\":0}},\"labels\":[\"a\",\"r{rack}\"],\"clockMs\":{},\"seq\":{seq}}}",
                    clock_ms(origin)
                );
                store.put("servers", &key, &row);
                thread::sleep(HEARTBEAT);
            }
        });
        Worker {
            id: id.to_owned(),
            addr,
            origin,
            state,
        }
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        let mut state = self.state.lock().expect("lock");
        advance(&mut state, self.origin);
        state.runs.clone()
    }
}

fn clock_ms(origin: Instant) -> u64 {
    1_000_000 + origin.elapsed().as_millis() as u64
}

/// Ends the runs that are due.
fn advance(state: &mut State, origin: Instant) {
    let now = Instant::now();
    let lapsed = state.lease_end < now;
    let mut at = 0;
    while at < state.active.len() {
        let run = &state.active[at];
        let how = if run.stop_at.is_some_and(|s| s <= now) {
            "stopped"
        } else if run.length.is_some_and(|l| run.start + l <= now) {
            "done"
        } else if lapsed {
            "lapsed"
        } else {
            at += 1;
            continue;
        };
        let run = state.active.remove(at);
        let over = state.over.entry(run.task.clone()).or_default();
        *over = run.attempt.max(*over);
        state.last_end += 1;
        state.ends.push((state.last_end, run.index));
        let record = &mut state.runs[run.index];
        record.end_ms = Some(origin.elapsed().as_millis() as u64);
        record.how = how;
    }
}

fn handle(
    id: &str,
    state: &Mutex<State>,
    origin: Instant,
    request: &Request,
) -> Option<(u16, String)> {
    if request.route() == "/healthz" {
        return Some((200, "{}".into()));
    }
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != id {
        return Some((421, "{}".into()));
    }
    let Some(body) = Json::parse(&request.body) else {
        return Some((400, "{}".into()));
    };
    let poll_end =
        Instant::now() + Duration::from_millis(body.get("waitMs").num().unwrap_or(0).min(2000));
    let mut locked = state.lock().expect("lock");
    advance(&mut locked, origin);
    let fence = body.get("fence").num().unwrap_or(0);
    if fence < locked.fence {
        return Some(refuse("fence", origin));
    }
    locked.fence = fence;
    match request.route() {
        "/run-start" => Some(start(&mut locked, id, &body, origin)),
        "/run-stop" => Some(stop(&mut locked, &body, origin)),
        "/pace" => Some((200, format!("{{\"clockMs\":{}}}", clock_ms(origin)))),
        "/hold" => {
            extend(&mut locked, &body, origin);
            let observed = body.get("observed").num().unwrap_or(0);
            locked.ends.retain(|e| e.0 > observed);
            while locked.ends.is_empty() && Instant::now() < poll_end {
                drop(locked);
                thread::sleep(Duration::from_millis(3));
                locked = state.lock().expect("lock");
                advance(&mut locked, origin);
            }
            Some((200, report(&locked, origin)))
        }
        _ => Some((404, "{}".into())),
    }
}

fn refuse(reason: &str, origin: Instant) -> (u16, String) {
    (
        409,
        format!(
            "{{\"clockMs\":{},\"reason\":\"{reason}\"}}",
            clock_ms(origin)
        ),
    )
}

fn extend(state: &mut State, body: &Json, origin: Instant) {
    let Some(deadline) = body.get("deadlineMs").num() else {
        return;
    };
    let length = deadline.saturating_sub(clock_ms(origin)).min(MAX_LEASE_MS);
    state.lease_end = state
        .lease_end
        .max(Instant::now() + Duration::from_millis(length));
}

/// Starts a task. The text of its job holds its needs: `cpu memMb ms`, with 0 ms for one that lasts.
fn start(state: &mut State, id: &str, body: &Json, origin: Instant) -> (u16, String) {
    let task = body.get("task").str().to_owned();
    let attempt = body.get("attempt").num().unwrap_or(0);
    extend(state, body, origin);
    let done = (200, format!("{{\"clockMs\":{}}}", clock_ms(origin)));
    if state
        .active
        .iter()
        .any(|a| a.task == task && a.attempt == attempt)
    {
        return done;
    }
    if state.over.get(&task).is_some_and(|o| attempt <= *o) {
        return refuse("old", origin);
    }
    if state.lease_end < Instant::now() {
        return refuse("late", origin);
    }
    let length_ms = body
        .get("spec")
        .str()
        .split(" ")
        .next()
        .and_then(|w| w.parse().ok())
        .unwrap_or(0u64);
    state.runs.push(Run {
        task: task.clone(),
        attempt,
        worker: id.to_owned(),
        start_ms: origin.elapsed().as_millis() as u64,
        end_ms: None,
        how: "open",
    });
    let index = state.runs.len() - 1;
    state.active.push(Active {
        task,
        attempt,
        start: Instant::now(),
        length: (length_ms > 0).then(|| Duration::from_millis(length_ms)),
        stop_at: None,
        index,
    });
    done
}

fn stop(state: &mut State, body: &Json, origin: Instant) -> (u16, String) {
    let task = body.get("task").str().to_owned();
    let attempt = body.get("attempt").num().unwrap_or(0);
    let stop_at = Instant::now() + Duration::from_millis(STOP_MS);
    for run in state
        .active
        .iter_mut()
        .filter(|a| a.task == task && a.attempt <= attempt)
    {
        run.stop_at.get_or_insert(stop_at);
    }
    let over = state.over.entry(task).or_default();
    *over = attempt.max(*over);
    (200, format!("{{\"clockMs\":{}}}", clock_ms(origin)))
}

fn report(state: &State, origin: Instant) -> String {
    let running = state.active.iter().map(|a| {
        let percent = match a.length {
            Some(length) => (a.start.elapsed().as_millis() * 100 / length.as_millis()).min(99),
            None => 100,
        };
        format!("[\"{}\",{},\"\",{percent},0]", a.task, a.attempt)
    });
    let finished = state.ends.iter().take(500).map(|(number, index)| {
        let run = &state.runs[*index];
        format!(
            "[{number},\"{}\",{},\"{}\",\"\"]",
            run.task, run.attempt, run.how
        )
    });
    let (running, finished): (Vec<_>, Vec<_>) = (running.collect(), finished.collect());
    format!(
        "{{\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
        clock_ms(origin),
        running.join(","),
        finished.join(",")
    )
}
