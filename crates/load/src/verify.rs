//! Verifies the system's guarantees against the workers' ledgers.
//!
//! A worker records in its ledger what it ran, independently of what the system reports, so the
//! ledgers show double runs, overcommitment and wrong outcomes that reports would hide.

use gorsespur_core::route::Outcome;
use gorsespur_stand::{Entry, EntryKind};

use crate::clients::{JobResult, RequestTotals};

/// Time before a worker is killed within which the end of a task may not have been reported. Such
/// a task may run again without being counted as doubled.
const UNREPORTED_WINDOW_MS: u64 = 2_000;

/// One attempt to run a task on one worker.
#[derive(Debug, Clone)]
struct Run {
    name: String,
    worker: String,
    attempt: String,
    start_ms: u64,
    end_ms: u64,
    done: bool,
    /// Whether the worker was killed within `UNREPORTED_WINDOW_MS` after the task was done.
    killed: bool,
}

/// Violations of the guarantees, counted from the ledgers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Verdict {
    /// Pairs of runs of one task that overlapped or were both done.
    pub doubled: u64,
    /// Starts that exceeded the capacity of a worker.
    pub overcommitted: u64,
    /// Accepted jobs that did not reach their final state, and tasks of finished jobs that were
    /// never done.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once, or were reported as run but did not run.
    pub ran_twice: u64,
    /// Requests that ran although they were reported as not run.
    pub false_not_run: u64,
    /// Descriptions of the violations.
    pub findings: Vec<String>,
}

/// Verifies a run that ended at `end`, in milliseconds since the Unix epoch.
pub(crate) fn verify(
    ledger: &[Entry],
    end: u64,
    jobs: &JobResult,
    requests: &RequestTotals,
) -> Verdict {
    let mut verdict = Verdict::default();
    let runs = pair_runs(ledger, end);
    find_doubled(&runs, &mut verdict);
    for e in ledger {
        if e.what == EntryKind::NoRoom {
            verdict.overcommitted += 1;
            verdict
                .findings
                .push(format!("{} had no capacity for {}", e.worker, e.name));
        }
    }
    find_lost(&runs, jobs, &mut verdict);
    check_requests(ledger, requests, &mut verdict);
    verdict
}

/// Pairs the starts of tasks with their ends. A kill ends all open runs on its worker.
fn pair_runs(ledger: &[Entry], end: u64) -> Vec<Run> {
    let mut out: Vec<Run> = Vec::new();
    let mut open: Vec<Run> = Vec::new();
    for e in ledger {
        match e.what {
            EntryKind::Start if !e.service => open.push(Run {
                name: e.name.clone(),
                worker: e.worker.clone(),
                attempt: e.attempt.clone(),
                start_ms: e.ms,
                end_ms: end,
                done: false,
                killed: false,
            }),
            EntryKind::Done | EntryKind::Failed | EntryKind::Saved | EntryKind::Stopped => {
                let is_same =
                    |r: &Run| r.worker == e.worker && r.attempt == e.attempt && r.name == e.name;
                let Some(i) = open.iter().position(is_same) else {
                    continue;
                };
                let mut run = open.swap_remove(i);
                run.end_ms = e.ms;
                run.done = e.what == EntryKind::Done;
                out.push(run);
            }
            EntryKind::Killed => {
                for run in &mut out {
                    let unreported = run.end_ms + UNREPORTED_WINDOW_MS >= e.ms;
                    run.killed |= run.worker == e.worker && run.done && unreported;
                }
                let mut i = 0;
                while i < open.len() {
                    if open[i].worker != e.worker {
                        i += 1;
                        continue;
                    }
                    let mut run = open.swap_remove(i);
                    run.end_ms = e.ms;
                    out.push(run);
                }
            }
            EntryKind::Start
            | EntryKind::Boot
            | EntryKind::NoRoom
            | EntryKind::Stale
            | EntryKind::Request => {}
        }
    }
    out.extend(open);
    out.sort_by(|a, b| (&a.name, a.start_ms).cmp(&(&b.name, b.start_ms)));
    out
}

fn find_doubled(runs: &[Run], verdict: &mut Verdict) {
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            if b.name != a.name {
                break;
            }
            let overlap = b.start_ms < a.end_ms;
            let done_twice = a.done && b.done && !a.killed;
            if !overlap && !done_twice {
                continue;
            }
            verdict.doubled += 1;
            verdict.findings.push(format!(
                "{} ran on {} ({}, {}..{}) and on {} ({}, {}..{})",
                a.name,
                a.worker,
                a.attempt,
                a.start_ms,
                a.end_ms,
                b.worker,
                b.attempt,
                b.start_ms,
                b.end_ms
            ));
        }
    }
}

fn find_lost(runs: &[Run], jobs: &JobResult, verdict: &mut Verdict) {
    for text in &jobs.unfinished {
        verdict.lost += 1;
        verdict.findings.push(format!("job did not finish: {text}"));
    }
    for job in &jobs.accepted {
        if job.long_running || !jobs.finished.contains(&job.id) {
            continue;
        }
        for task in 0..job.tasks {
            let name = format!("{}/{}/{task}", job.org, job.id);
            if runs.iter().any(|r| r.name == name && r.done) {
                continue;
            }
            verdict.lost += 1;
            verdict
                .findings
                .push(format!("{name} was reported as done but was never done"));
        }
    }
}

fn check_requests(ledger: &[Entry], requests: &RequestTotals, verdict: &mut Verdict) {
    let mut ran: Vec<&str> = Vec::new();
    for e in ledger {
        if e.what == EntryKind::Request {
            ran.push(&e.name);
        }
    }
    ran.sort_unstable();
    for request in &requests.non_idempotent {
        let first = ran.partition_point(|r| *r < &*request.id);
        let count = ran[first..]
            .iter()
            .take_while(|r| **r == request.id)
            .count();
        if count > 1 {
            verdict.ran_twice += 1;
            verdict
                .findings
                .push(format!("request {} ran {count} times", request.id));
        }
        if count > 0 && request.sends == 1 && request.outcome == Some(Outcome::NotRun) {
            verdict.false_not_run += 1;
            verdict.findings.push(format!(
                "request {} ran but was reported as not run",
                request.id
            ));
        }
        if count == 0 && request.outcome == Some(Outcome::Ran) {
            verdict.ran_twice += 1;
            verdict.findings.push(format!(
                "request {} was reported as run but did not run",
                request.id
            ));
        }
    }
}
