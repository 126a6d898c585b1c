//! A client that sends requests to services in an open loop and checks each answer.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use gorsespur_core::route::Outcome;
use gorsespur_runtime::client::{Call, CallError, Response, find_header};
use gorsespur_stand::answer_body;
use gorsespur_wire::fields::{IDEMPOTENCY_KEY, OUTCOME, REPEATABLE, REQUEST_ID};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::LatencyHistogram;

/// Deadline of a request, in milliseconds after it is sent.
const DEADLINE_MS: u64 = 1_000;

/// The outcome that the caller of a non-idempotent request received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerOutcome {
    pub id: String,
    pub outcome: Option<Outcome>,
    /// Attempts of the caller, all with the same idempotency key.
    pub sends: u32,
}

/// Counters, latencies and outcomes of a load.
#[derive(Debug, Clone)]
pub(crate) struct RequestTotals {
    pub requests: u64,
    pub ok: u64,
    /// Answers without an outcome, or that belong to another request.
    pub wrong: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub latencies: LatencyHistogram,
    /// Outcomes of the non-idempotent requests.
    pub non_idempotent: Vec<CallerOutcome>,
}

impl RequestTotals {
    fn new() -> RequestTotals {
        RequestTotals {
            requests: 0,
            ok: 0,
            wrong: 0,
            not_run: 0,
            unknown: 0,
            latencies: LatencyHistogram::new(),
            non_idempotent: Vec::new(),
        }
    }

    fn merge(&mut self, other: RequestTotals) {
        self.requests += other.requests;
        self.ok += other.ok;
        self.wrong += other.wrong;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.latencies.merge(&other.latencies);
        self.non_idempotent.extend(other.non_idempotent);
    }
}

/// Returns the paths of the services of both organisations.
pub(crate) fn user_paths() -> Vec<String> {
    vec![
        "/s/weld/qualification/check".into(),
        "/s/taipei/booking/hold".into(),
    ]
}

/// A load of requests that arrive as a Poisson process, sent from several threads.
#[derive(Debug, Clone)]
pub(crate) struct RequestLoad {
    pub entries: Vec<SocketAddr>,
    pub paths: Vec<String>,
    pub threads: usize,
    /// Sum over all threads.
    pub requests_per_second: f64,
    pub duration: Duration,
    pub seed: u64,
    /// Share of requests that are sent as non-idempotent.
    pub non_idempotent_share: f64,
}

impl RequestLoad {
    /// Runs the load and returns its results.
    pub fn run(&self) -> RequestTotals {
        let mut totals = RequestTotals::new();
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for t in 0..self.threads {
                threads.push(scope.spawn(move || self.run_thread(t)));
            }
            for t in threads {
                if let Ok(part) = t.join() {
                    totals.merge(part);
                }
            }
        });
        totals
    }

    fn run_thread(&self, thread: usize) -> RequestTotals {
        let mut rng = SmallRng::seed_from_u64(self.seed * 1_000 + thread as u64);
        let mut totals = RequestTotals::new();
        let mean_gap_s = self.threads as f64 / self.requests_per_second;
        let start = Instant::now();
        let mut due_s = 0.0;
        let mut n = 0;
        loop {
            due_s += -rng.random_range(1e-9..1.0f64).ln() * mean_gap_s;
            let due = start + Duration::from_secs_f64(due_s);
            if due_s > self.duration.as_secs_f64() {
                return totals;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            n += 1;
            let id = format!("r{}-{thread}-{n}", self.seed);
            self.run_request(&id, due, &mut rng, &mut totals);
        }
    }

    fn run_request(&self, id: &str, due: Instant, rng: &mut SmallRng, totals: &mut RequestTotals) {
        let non_idempotent = rng.random_bool(self.non_idempotent_share);
        let has_key = non_idempotent && rng.random_bool(0.3);
        let path = &self.paths[rng.random_range(0..self.paths.len())];
        let body = if non_idempotent {
            vec![b'x'; rng.random_range(1..2_000)]
        } else {
            Vec::new()
        };
        totals.requests += 1;
        let mut result = CallerOutcome {
            id: id.to_owned(),
            outcome: None,
            sends: 0,
        };
        for _ in 0..2 {
            let entry = self.entries[rng.random_range(0..self.entries.len())];
            let response = send(entry, path, id, non_idempotent, has_key, body.clone());
            result.sends += 1;
            result.outcome = self.check_answer(id, path, &body, response, totals);
            let retry = has_key && result.outcome.is_none();
            if !retry {
                break;
            }
        }
        totals.latencies.record(due.elapsed().as_micros() as u64);
        match result.outcome {
            Some(Outcome::Ran) => totals.ok += 1,
            Some(Outcome::NotRun) => totals.not_run += 1,
            Some(Outcome::Unknown) | None => totals.unknown += 1,
        }
        if non_idempotent {
            totals.non_idempotent.push(result);
        }
    }

    /// Checks an answer and returns its outcome, or `None` if there is no valid answer.
    fn check_answer(
        &self,
        id: &str,
        path: &str,
        body: &[u8],
        response: Result<Response, CallError>,
        totals: &mut RequestTotals,
    ) -> Option<Outcome> {
        let response = response.ok()?;
        let outcome = find_header(&response.headers, OUTCOME).and_then(Outcome::parse);
        let Some(outcome) = outcome else {
            totals.wrong += 1;
            return None;
        };
        if outcome == Outcome::Ran && response.status == 200 {
            let same_body = response.body == answer_body(id, path, body);
            let same_id = find_header(&response.headers, REQUEST_ID) == Some(id);
            totals.wrong += u64::from(!same_body || !same_id);
        }
        Some(outcome)
    }
}

fn send(
    entry: SocketAddr,
    path: &str,
    id: &str,
    non_idempotent: bool,
    has_key: bool,
    body: Vec<u8>,
) -> Result<Response, CallError> {
    let method = if non_idempotent { "POST" } else { "GET" };
    let mut call = Call::new(method, entry, path)
        .header(REQUEST_ID, id)
        .header("x-deadline-ms", DEADLINE_MS.to_string())
        .header(REPEATABLE, if non_idempotent { "no" } else { "yes" })
        .timeout(Duration::from_millis(DEADLINE_MS + 1_000))
        .body(body);
    if has_key {
        call = call.header(IDEMPOTENCY_KEY, id);
    }
    call.send()
}
