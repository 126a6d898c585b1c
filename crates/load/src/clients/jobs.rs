//! A client that submits jobs, polls their state and cancels long-running ones.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use gorsespur_runtime::client::{Call, Response};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

/// Timeout of a call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Share of submissions that are sent twice, each time to a random entry.
const DUPLICATE_SHARE: f64 = 0.2;

/// A kind of job that the load submits.
#[derive(Debug, Clone)]
pub(crate) struct JobKind {
    pub org: &'static str,
    pub kind: &'static str,
    pub max_tasks: u32,
    /// Whether the job runs until it is cancelled.
    pub long_running: bool,
}

/// Job kinds of both organisations.
const JOB_KINDS: [JobKind; 5] = [
    JobKind {
        org: "weld",
        kind: "renewal",
        max_tasks: 4,
        long_running: false,
    },
    JobKind {
        org: "weld",
        kind: "urgent-renewal",
        max_tasks: 1,
        long_running: false,
    },
    JobKind {
        org: "weld",
        kind: "continuity-record",
        max_tasks: 1,
        long_running: true,
    },
    JobKind {
        org: "taipei",
        kind: "allocation",
        max_tasks: 6,
        long_running: false,
    },
    JobKind {
        org: "taipei",
        kind: "watcher",
        max_tasks: 1,
        long_running: true,
    },
];

/// A submitted job.
#[derive(Debug, Clone)]
pub(crate) struct SubmittedJob {
    pub org: &'static str,
    pub id: String,
    pub tasks: u32,
    pub long_running: bool,
}

/// Outcomes of the submitted jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobResult {
    pub accepted: Vec<SubmittedJob>,
    /// Number of jobs that were refused, or whose submission has an unknown outcome.
    pub refused: u64,
    /// Ids of the jobs that reached their expected final state.
    pub finished: Vec<String>,
    /// Jobs that did not reach it, each with its last observed state.
    pub unfinished: Vec<String>,
}

/// A load of jobs, submitted at a constant rate.
#[derive(Debug, Clone)]
pub(crate) struct JobLoad {
    pub entries: Vec<SocketAddr>,
    pub count: u64,
    pub duration: Duration,
    pub seed: u64,
}

impl JobLoad {
    /// Submits the jobs evenly over the duration and returns the accepted ones.
    pub fn submit(&self) -> JobResult {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0x4a4f42);
        let mut out = JobResult::default();
        let start = Instant::now();
        for n in 0..self.count {
            let due = start + self.duration.mul_f64(n as f64 / self.count as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let kind = &JOB_KINDS[rng.random_range(0..JOB_KINDS.len())];
            let job = SubmittedJob {
                org: kind.org,
                id: format!("j{}-{n}", self.seed),
                tasks: rng.random_range(1..=kind.max_tasks),
                long_running: kind.long_running,
            };
            let sends = if rng.random_bool(DUPLICATE_SHARE) {
                2
            } else {
                1
            };
            let mut accepted = false;
            for _ in 0..sends {
                let entry = self.entries[rng.random_range(0..self.entries.len())];
                accepted |= submit(entry, &job, kind.kind);
            }
            if accepted {
                out.accepted.push(job);
            } else {
                out.refused += 1;
            }
        }
        out
    }

    /// Cancels the accepted long-running jobs, trying the entries in turn until a cancellation
    /// reaches all shards.
    pub fn cancel_long(&self, result: &JobResult) {
        for org in ["weld", "taipei"] {
            let long = result
                .accepted
                .iter()
                .filter(|j| j.long_running && j.org == org);
            let ids: Vec<&str> = long.map(|j| &*j.id).collect();
            let body = serde_json::to_vec(&json!({ "ids": ids })).unwrap_or_default();
            for entry in &self.entries {
                let path = format!("/v1/orgs/{org}/cancel");
                let call = Call::new("POST", *entry, &path).body(body.clone());
                let response = call.timeout(Duration::from_secs(30)).send();
                if response.is_ok_and(|a| a.status == 200 && unreached_count(&a) == 0) {
                    break;
                }
            }
        }
    }

    /// Polls the accepted jobs until each has reached its final state, for at most `timeout`.
    pub fn wait_for_end(&self, result: &mut JobResult, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut open: Vec<SubmittedJob> = result.accepted.clone();
        let mut states: Vec<String> = Vec::new();
        let mut polls = 0;
        while !open.is_empty() && Instant::now() < deadline {
            states.clear();
            let mut still_open = Vec::new();
            for job in open {
                polls += 1;
                let entry = self.entries[polls % self.entries.len()];
                let state = job_state(entry, &job);
                let wanted = if job.long_running {
                    "cancelled"
                } else {
                    "done"
                };
                if state == wanted {
                    result.finished.push(job.id);
                    continue;
                }
                states.push(format!("{}/{} {state}", job.org, job.id));
                still_open.push(job);
            }
            open = still_open;
            thread::sleep(Duration::from_millis(100));
        }
        result.unfinished = if open.is_empty() { Vec::new() } else { states };
    }
}

fn submit(entry: SocketAddr, job: &SubmittedJob, kind: &str) -> bool {
    let path = format!("/v1/orgs/{}/jobs/{}", job.org, job.id);
    let body = json!({"kind": kind, "tasks": job.tasks});
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let response = Call::new("PUT", entry, &path)
        .body(body)
        .timeout(CALL_TIMEOUT)
        .send();
    response.is_ok_and(|a| matches!(a.status, 200 | 201))
}

fn job_state(entry: SocketAddr, job: &SubmittedJob) -> String {
    let path = format!("/v1/orgs/{}/jobs/{}", job.org, job.id);
    let Ok(response) = Call::new("GET", entry, &path).timeout(CALL_TIMEOUT).send() else {
        return "no answer".to_owned();
    };
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    let state = value["state"].as_str().unwrap_or("no state");
    state.to_owned()
}

fn unreached_count(response: &Response) -> usize {
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    value["unreached"].as_array().map_or(1, Vec::len)
}
