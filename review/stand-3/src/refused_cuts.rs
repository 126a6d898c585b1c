//! Case: workers that are cut off, so that connections are refused, count as crashed, and a job
//! whose task ran there is given up.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use gorsespur_http::Method;

use crate::{
    node::Site,
    platform::{Job, Platform, call, job_id, setting},
    proxy::Mode,
};

/// Length of a cut: the most that the site file has for workers that are cut off.
const CUT: Duration = Duration::from_millis(5500);
/// Number of cuts at most, one after the other. No two workers are cut off at a time.
const CUTS: usize = 4;
/// A cut begins this long after a poll has reached the worker, which waits for 1 s. The leases then
/// end a little before the cut does.
const PHASE_MS: u64 = 850;
/// Time from a cut, or from the start of the task, to the next cut.
const BEFORE: Duration = Duration::from_secs(3);
/// Time of the task.
const TASK: Duration = Duration::from_secs(30);
/// Time of other tasks.
const OTHERS: Duration = Duration::from_secs(50);
const WORKERS: usize = 8;

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let mut platform = Platform::start(root, folder, WORKERS, &site)?;
    let (record, clients) = (platform.record.clone(), platform.clients());
    let job = long_job(7, TASK);
    if !platform.submit(&job, &clients, 0, 5) {
        return Err("the job was not accepted".into());
    }
    record.note(&format!("job   {} accepted", job.id));
    let task = format!("{}.0.0.0", job.id);
    let state = || {
        let (status, body) = call(&clients[0], Method::Get, &job.id, Vec::new());
        let state = String::from_utf8_lossy(&body).into_owned();
        record.line(&format!("sent  GET {} answered {status} {state}", job.id));
        state
    };
    for cut in 1..=CUTS {
        thread::sleep(BEFORE);
        if !trouble || state().contains("failed") {
            break;
        }
        let Some((run, worker)) = record.last(&task) else {
            return Err("the task was not started".into());
        };
        let Some(at) = platform.workers.iter().position(|w| w.id == worker) else {
            return Err("unknown worker".into());
        };
        platform.proxies[at].await_phase(setting("PHASE", PHASE_MS));
        record.note(&format!("cut   {cut}: {worker}, which has run {run}, is cut off and runs on; connections are refused"));
        platform.proxies[at].set(Mode::Refuse);
        thread::sleep(CUT);
        platform.proxies[at].set(Mode::Pass);
        record.note(&format!("cut   {cut}: {worker} is reached again"));
        // Others use the installation as well: their tasks take the worker that is free again.
        thread::sleep(Duration::from_millis(1500));
        platform.submit(&long_job(100 + cut as u64, OTHERS), &clients, cut, 3);
    }
    // The task needs this long where nothing is in its way, and `finish_s` is 14 s.
    let until = Instant::now() + TASK + Duration::from_secs(14);
    let last = loop {
        let state = state();
        let is_over = ["complete", "failed", "canceled"]
            .iter()
            .any(|s| state.contains(s));
        if is_over || Instant::now() > until {
            break state;
        }
        thread::sleep(Duration::from_millis(500));
    };
    let ends = record.ends(&task);
    record.note(&format!(
        "the job is shown as {last}; ends of its task as the workers list them: {ends:?}"
    ));
    platform.end();
    // LOST: shown as `failed` without an end `failed`, and without a worker that crashed.
    Ok(last.contains("failed") && !ends.iter().any(|how| how == "failed"))
}

/// A job of one long task.
fn long_job(number: u64, time: Duration) -> Job {
    Job {
        id: job_id(number),
        spec: "long".into(),
        count: 1,
        cpu: 4000,
        mem: 4096,
        time,
        ..Job::default()
    }
}
