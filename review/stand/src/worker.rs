//! A stand-in of a worker, as PROTOCOL.md tells it.
//!
//! The spec of a job says what its tasks do: `work MS` and `fail MS` end `done` and `failed` after
//! that time, `crash MS` crashes the worker then.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Reply, Request, Server},
    json::Json,
    record,
    store::Store,
};

const BEAT: Duration = Duration::from_millis(1500);
const TICK: Duration = Duration::from_millis(5);
const HOLD_MAX_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 2000;
const MAX_ENDS: usize = 500;

/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_secs(3);

/// A worker that is cut off crashes this long after the cut, and starts again after as long.
const REBORN: Duration = Duration::from_millis(1000);

/// Time after which the entry of a crashed worker disappears: three beats.
const LAPSE: Duration = Duration::from_millis(4500);

/// What the workers saw of a run.
#[derive(Debug, Clone)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    /// Milliseconds of the record.
    pub started: u64,
    /// Also `crashed`, where the worker ended with the run.
    pub ended: Option<(u64, &'static str)>,
}

struct Run {
    /// Position in the list of what was seen.
    seen: usize,
    task: String,
    run: u64,
    started: Instant,
    work_ms: Option<u64>,
    /// How the run ends when its work is done.
    end: &'static str,
    /// After how many milliseconds the run crashes its worker.
    crash_ms: Option<u64>,
}

/// The state of one life, which a crash ends.
struct State {
    /// Number of this life, from 1.
    life: u64,
    /// Unix milliseconds of the start of this life.
    born: u64,
    start: Instant,
    /// While the worker is down: when it is back.
    back_at: Option<Instant>,
    fence: u64,
    lease_end: u64,
    running: Vec<Run>,
    /// Number, task, run and how.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Task and highest run that was stopped or has ended.
    over: Vec<(String, u64)>,
}

impl State {
    /// Returns the id of this life: one that appears nowhere else, or the one that it had.
    fn id(&self, host: &str, ids: Ids) -> String {
        match ids {
            Ids::New => format!("{host}-life{}", self.life),
            Ids::Kept => host.to_owned(),
        }
    }

    fn new(life: u64) -> State {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        State {
            life,
            born: born.map_or(0, |b| b.as_millis() as u64),
            start: Instant::now(),
            back_at: None,
            fence: 0,
            lease_end: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            over: Vec::new(),
        }
    }

    /// Returns the steady clock, which starts anew with each life. The first one began long ago.
    fn clock(&self) -> u64 {
        let base = if self.life == 1 { 400_000 } else { 1000 };
        base + self.start.elapsed().as_millis() as u64
    }
}

/// What all workers share.
#[derive(Default)]
pub struct Shared {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub trouble: Arc<Mutex<Option<Trouble>>>,
}

/// Under which id a worker starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ids {
    New,
    Kept,
}

/// What happens on the link to the worker that is sent the next start.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// The link holds the start up and delivers it after this time; it gets no answer.
    pub late: Duration,
    /// The worker is cut off from all instances for this time, and crashes and starts again
    /// behind the cut.
    pub cut: Duration,
}

pub struct Worker {
    /// The name of the machine.
    host: String,
    ids: Ids,
    /// Shared by all workers.
    trouble: Arc<Mutex<Option<Trouble>>>,
    /// Until when the worker is cut off.
    cut_until: Mutex<Option<Instant>>,
    server: OnceLock<Arc<Server>>,
    state: Mutex<State>,
    changed: Condvar,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Worker {
    /// Starts a worker of a service, in a zone and a rack; it announces itself in the store.
    pub fn start(
        host: &str,
        ids: Ids,
        place: [&str; 3],
        store: &Arc<Store>,
        shared: &Shared,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            host: host.to_owned(),
            server: OnceLock::new(),
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
            seen: shared.seen.clone(),
            trouble: shared.trouble.clone(),
            cut_until: Mutex::new(None),
            ids,
        });
        let served = worker.clone();
        let server = Server::start(Arc::new(move |request| served.handle(request)));
        let addr = server.addr();
        let _ = worker.server.set(server);
        let (store, place) = (store.clone(), place.map(str::to_owned));
        let (beating, advancing) = (worker.clone(), worker.clone());
        thread::spawn(move || {
            let (mut seq, mut life, mut lapses_at) = (0, 0, None);
            loop {
                let state = beating.state.lock().expect("lock");
                if state.life != life {
                    (seq, life) = (0, state.life);
                }
                seq += 1;
                let is_down = state.back_at.is_some();
                let id = state.id(&beating.host, beating.ids);
                let (born, clock) = (state.born, state.clock());
                drop(state);
                if is_down {
                    lapses_at.get_or_insert((Instant::now() + LAPSE, id));
                } else {
                    let row = row(addr, &place, [born, clock, seq]);
                    store.put("servers", &id, &row);
                }
                if let Some((_, gone)) = lapses_at.take_if(|(at, _)| Instant::now() >= *at) {
                    store.remove("servers", &gone);
                }
                let state = beating.state.lock().expect("lock");
                let goes_on = |s: &mut State| s.life == life;
                let waited = beating.changed.wait_timeout_while(state, BEAT, goes_on);
                drop(waited.expect("lock"));
            }
        });
        thread::spawn(move || {
            loop {
                advancing.advance(&mut advancing.state.lock().expect("lock"));
                thread::sleep(TICK);
            }
        });
        worker
    }

    /// Crashes the worker.
    pub fn crash_now(&self) {
        self.crash(&mut self.state.lock().expect("lock"), DOWN);
    }

    /// Returns the number of runs here.
    pub fn run_count(&self) -> usize {
        self.state.lock().expect("lock").running.len()
    }

    /// Ends the runs whose work is done, or all if the lease is over.
    fn advance(&self, state: &mut MutexGuard<'_, State>) {
        if let Some(back_at) = state.back_at {
            if Instant::now() >= back_at {
                **state = State::new(state.life + 1);
                if let Some(server) = self.server.get() {
                    server.come_back();
                }
                record::line(&format!(
                    "worker {}: is there",
                    state.id(&self.host, self.ids)
                ));
                self.changed.notify_all();
            }
            return;
        }
        let is_deadly = |r: &Run| {
            let worked = r.started.elapsed().as_millis() as u64;
            r.crash_ms.is_some_and(|ms| worked >= ms)
        };
        if state.running.iter().any(is_deadly) {
            return self.crash(state, DOWN);
        }
        let is_over = state.clock() > state.lease_end;
        let mut at = 0;
        while at < state.running.len() {
            let run = &state.running[at];
            let worked = run.started.elapsed().as_millis() as u64;
            let is_done = run.work_ms.is_some_and(|ms| worked >= ms);
            match (is_done, is_over) {
                (true, _) => {
                    let how = state.running[at].end;
                    self.end(state, at, how);
                }
                (false, true) => self.end(state, at, "lapsed"),
                (false, false) => at += 1,
            }
        }
    }

    fn end(&self, state: &mut MutexGuard<'_, State>, at: usize, how: &'static str) {
        let run = state.running.remove(at);
        state.last_end += 1;
        let number = state.last_end;
        state.over.push((run.task.clone(), run.run));
        state
            .finished
            .push((number, run.task.clone(), run.run, how));
        self.seen.lock().expect("lock")[run.seen].ended = Some((record::now(), how));
        record::line(&format!(
            "worker {}: {} run {} ends {how}",
            state.id(&self.host, self.ids),
            run.task,
            run.run
        ));
        self.changed.notify_all();
    }

    /// Ends the process with all its runs. Its machine refuses connections until it is back.
    fn crash(&self, state: &mut MutexGuard<'_, State>, down: Duration) {
        record::line(&format!(
            "worker {}: crashes",
            state.id(&self.host, self.ids)
        ));
        if let Some(server) = self.server.get() {
            server.go_away();
        }
        let mut seen = self.seen.lock().expect("lock");
        for run in std::mem::take(&mut state.running) {
            seen[run.seen].ended = Some((record::now(), "crashed"));
        }
        state.back_at = Some(Instant::now() + down);
        self.changed.notify_all();
    }

    fn handle(self: &Arc<Worker>, request: Request) -> Reply {
        let is_start = request.path == "/run-start";
        let trouble = self.trouble.lock().expect("lock").take_if(|_| is_start);
        if let Some(trouble) = trouble {
            self.begin_trouble(trouble, request);
            return Reply::Silence;
        }
        if self.is_cut() {
            return Reply::Silence;
        }
        let reply = self.carry_out(request);
        match self.is_cut() {
            true => Reply::Silence,
            false => reply,
        }
    }

    fn is_cut(&self) -> bool {
        let until = *self.cut_until.lock().expect("lock");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Cuts the worker off, restarts it behind the cut, and delivers a start late.
    fn begin_trouble(self: &Arc<Worker>, trouble: Trouble, start: Request) {
        *self.cut_until.lock().expect("lock") = Some(Instant::now() + trouble.cut);
        record::line(&format!(
            "link to {}: a start is held up for {} ms; the worker is cut off for {} ms",
            self.host,
            trouble.late.as_millis(),
            trouble.cut.as_millis()
        ));
        let crashing = self.clone();
        thread::spawn(move || {
            thread::sleep(REBORN);
            crashing.crash(&mut crashing.state.lock().expect("lock"), REBORN);
        });
        let late = self.clone();
        thread::spawn(move || {
            thread::sleep(trouble.late);
            record::line(&format!(
                "link to {}: the late start is delivered",
                late.host
            ));
            late.carry_out(start);
        });
        let healing = self.clone();
        thread::spawn(move || {
            thread::sleep(trouble.cut);
            record::line(&format!("link to {}: the cut has healed", healing.host));
        });
    }

    fn carry_out(&self, request: Request) -> Reply {
        let mut state = self.state.lock().expect("lock");
        self.advance(&mut state);
        if state.back_at.is_some() {
            return Reply::Silence;
        }
        if request.method == "GET" {
            return Reply::Answer(200, "{}".into());
        }
        if request.header("x-expect-instance") != state.id(&self.host, self.ids) {
            return Reply::Answer(421, "{}".into());
        }
        let Ok(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let number = |name: &str| body.get(name).number().map(|n| n as u64);
        let fence = number("fence").unwrap_or(0);
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        let deadline = number("deadlineMs");
        let longest = state.clock() + HOLD_MAX_MS;
        if let Some(deadline) = deadline {
            state.lease_end = state.lease_end.max(deadline.min(longest));
        }
        let task = body.get("task").text().to_owned();
        let run = number("attempt").unwrap_or(0);
        let found = state
            .running
            .iter()
            .position(|r| r.task == task && r.run == run);
        match request.path.as_str() {
            "/hold" => {
                let observed = number("observed").unwrap_or(0);
                state.finished.retain(|f| f.0 > observed);
                let wait = number("waitMs").unwrap_or(0).min(MAX_WAIT_MS);
                let (wait, born) = (Duration::from_millis(wait), state.born);
                let goes_on =
                    |s: &mut State| s.finished.is_empty() && s.back_at.is_none() && s.born == born;
                let waited = self.changed.wait_timeout_while(state, wait, goes_on);
                let state = waited.expect("lock").0;
                match state.back_at.is_some() || state.born != born {
                    true => Reply::Silence,
                    false => report(&state),
                }
            }
            "/run-start" if found.is_some() => confirm(&state),
            "/run-start" if state.over.iter().any(|o| o.0 == task && run <= o.1) => {
                refuse(&state, "old")
            }
            "/run-start" if deadline.is_none_or(|d| d <= state.clock()) => refuse(&state, "late"),
            "/run-start" => {
                let spec = body.get("spec").text();
                let (word, ms) = spec.split_once(' ').unwrap_or_default();
                let ms: Option<u64> = ms.parse().ok();
                let mut seen = self.seen.lock().expect("lock");
                state.running.push(Run {
                    seen: seen.len(),
                    task: task.clone(),
                    run,
                    started: Instant::now(),
                    work_ms: ms.filter(|_| ["work", "fail"].contains(&word)),
                    end: if word == "fail" { "failed" } else { "done" },
                    crash_ms: ms.filter(|_| word == "crash"),
                });
                seen.push(Seen {
                    task: task.clone(),
                    run,
                    started: record::now(),
                    ended: None,
                });
                record::line(&format!(
                    "worker {}: {task} run {run} starts",
                    state.id(&self.host, self.ids)
                ));
                confirm(&state)
            }
            "/run-stop" => {
                match found {
                    Some(at) => self.end(&mut state, at, "stopped"),
                    None => state.over.push((task, run)),
                }
                confirm(&state)
            }
            "/pace" => confirm(&state),
            _ => Reply::Answer(404, "{}".into()),
        }
    }
}

fn row(addr: SocketAddr, place: &[String; 3], figures: [u64; 3]) -> Json {
    let ([service, zone, rack], [born, clock, seq]) = (place, figures);
    let text = format!(
        "{{\"born\":{born},\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"labels\":[\"a\",\"{rack}\"],\
         \"capacity\":{{\"cpu\":32000,\"memMb\":125000,\"gpu\":0}},\"clockMs\":{clock},\"seq\":{seq}}}"
    );
    Json::parse(text.as_bytes()).expect("a row")
}

fn confirm(state: &State) -> Reply {
    Reply::Answer(200, format!("{{\"clockMs\":{}}}", state.clock()))
}

fn refuse(state: &State, reason: &str) -> Reply {
    let body = format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", state.clock());
    Reply::Answer(409, body)
}

fn report(state: &State) -> Reply {
    let mut running = Vec::new();
    for run in &state.running {
        let worked = run.started.elapsed().as_millis() as u64;
        let percent = match run.work_ms {
            Some(ms) => (worked * 100 / ms.max(1)).min(99),
            None => (worked / 5).min(100),
        };
        running.push(format!(
            "[\"{}\",{},\"\",{percent},1000]",
            run.task, run.run
        ));
    }
    let ends = state.finished.iter().take(MAX_ENDS);
    let ends = ends.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
    let body = format!(
        "{{\"born\":{},\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
        state.born,
        state.clock(),
        running.join(","),
        ends.collect::<Vec<_>>().join(",")
    );
    Reply::Answer(200, body)
}
