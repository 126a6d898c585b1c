//! Case: a task that crashes each worker that starts it, where the machine says nothing for some
//! seconds, is started again without end, and its job never gets an outcome.

use std::{
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use gorsespur_http::Method;

use crate::{
    node::Site,
    platform::{Job, Platform, call, job_id, setting, small_job},
    proxy::Mode,
};

/// Time from a start of the task to the crash of its worker.
const CRASH_AFTER: Duration = Duration::from_millis(150);
/// Time for which the worker's machine is down.
const DOWN: Duration = Duration::from_secs(3);
const PLAY: Duration = Duration::from_secs(75);
const WORKERS: usize = 8;

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    // Without the disruption the machine lives on when the worker's process crashes, and its port
    // refuses connections.
    let mode = match trouble {
        true => Mode::Silent,
        false => Mode::Refuse,
    };
    let mut platform = Platform::start(root, folder, WORKERS, &site)?;
    let (record, clients) = (platform.record.clone(), platform.clients());
    let job = Job {
        id: job_id(7),
        spec: "deadly".into(),
        count: 1,
        cpu: 1000,
        mem: 1024,
        time: Duration::from_secs(1),
        ..Job::default()
    };
    if !platform.submit(&job, &clients, 0, 5) {
        return Err("the job was not accepted".into());
    }
    record.note(&format!(
        "job   {} accepted: its task crashes each worker that starts it",
        job.id
    ));
    let task = format!("{}.0.0.0", job.id);
    let down = Duration::from_millis(setting("DOWN", DOWN.as_millis() as u64));
    let until = Instant::now() + PLAY;
    let (mut attempt, mut crashes, mut later, mut number) = (0, 0, 0, 100);
    let mut next_job = Instant::now();
    let mut back: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
        if Instant::now() >= next_job {
            // Others send jobs meanwhile.
            platform.submit(&small_job(number, "other"), &clients, number as usize, 1);
            number += 1;
            next_job += Duration::from_millis(500);
        }
        let now = Instant::now();
        for (_, at) in back.extract_if(.., |(when, _)| *when <= now) {
            platform.restart_worker(at);
            record.note(&format!("crash {} is back", platform.workers[at].id));
        }
        let Some((run, worker)) = record.last(&task).filter(|r| r.0 > attempt) else {
            continue;
        };
        attempt = run;
        later += u32::from(crashes >= 3);
        thread::sleep(CRASH_AFTER);
        let Some(at) = platform.workers.iter().position(|w| w.id == worker) else {
            return Err("unknown worker".into());
        };
        crashes += 1;
        record.note(&format!("crash {crashes} under the task: {worker} is down"));
        platform.proxies[at].set(mode);
        platform.workers[at].crash();
        back.push((Instant::now() + down, at));
        if crashes >= setting("CRASHES", 12) as u32 {
            break;
        }
    }
    thread::sleep(Duration::from_secs(4));
    let (status, body) = call(&clients[0], Method::Get, &job.id, Vec::new());
    let state = String::from_utf8_lossy(&body).into_owned();
    record.note(&format!("sent  GET {} answered {status} {state}", job.id));
    record.note(&format!(
        "{crashes} workers crashed under the task; {later} starts after the third crash"
    ));
    let restarts: u64 = platform
        .nodes
        .iter()
        .map(|n| n.over_memory.load(Ordering::Relaxed))
        .sum();
    record.note(&format!("instances ended {restarts} times"));
    platform.end();
    // BUDGET: started three times more after three workers have crashed under it.
    Ok(later >= 3)
}
