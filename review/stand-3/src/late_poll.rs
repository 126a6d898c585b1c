//! Case: a worker starts again under its id and carries out two late orders of its earlier life, a
//! start and then a poll, before it is asked anything else. The poll drops the end of the run, which
//! nobody has read, and the task is started again after it was done.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    node::Site,
    platform::{Job, Platform, job_id, small_job},
    proxy::Mode,
};

/// Rounds at most, each with a crash.
const ROUNDS: u64 = 8;
/// Time for which the worker's process is down.
const DOWN: Duration = Duration::from_millis(2500);
/// Time from the start of the second task until the late poll is carried out.
const POLL_AFTER: Duration = Duration::from_millis(40);
/// Time of the task whose start is late.
const TASK: Duration = Duration::from_millis(20);

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let mut platform = Platform::start(root, folder, 2, &site)?;
    let (record, clients) = (platform.record.clone(), platform.clients());
    // A job of others takes one worker whole, so that all else runs on the other one.
    let other = Job {
        id: job_id(1),
        spec: "other".into(),
        count: 1,
        cpu: 32_000,
        mem: 1024,
        time: Duration::from_secs(200),
        ..Job::default()
    };
    platform.submit(&other, &clients, 0, 5);
    thread::sleep(Duration::from_secs(1));
    let Some((_, taken)) = record.last(&format!("{}.0.0.0", other.id)) else {
        return Err("the first job was not started".into());
    };
    let Some(at) = platform.workers.iter().position(|w| w.id != taken) else {
        return Err("no worker is left".into());
    };
    let mut broken = false;
    for round in 0..ROUNDS {
        let first = small_job(100 + round, "first");
        let second = Job {
            time: TASK,
            ..small_job(1000 + round, "second")
        };
        let task = format!("{}.0.0.0", second.id);
        if trouble {
            platform.workers[at].hold_back();
        }
        platform.submit(&first, &clients, 0, 5);
        if trouble && !await_held(&platform, at, "/hold") {
            record.note("no poll says that ends were observed");
            platform.workers[at].crash();
            platform.restart_worker(at);
            continue;
        }
        if !trouble {
            thread::sleep(Duration::from_secs(1));
        }
        platform.submit(&second, &clients, 1, 5);
        if trouble && await_held(&platform, at, "/run-start") {
            thread::sleep(Duration::from_millis(100));
            crash(&mut platform, at, &task);
        } else if trouble {
            record.note("no start came");
            platform.workers[at].crash();
            platform.restart_worker(at);
        }
        thread::sleep(Duration::from_secs(4));
        let ends = record.ends(&task);
        let runs = record.last(&task).map_or(0, |r| r.0);
        record.note(&format!("the second task: {runs} runs, ends {ends:?}"));
        let done = ends.iter().filter(|how| *how == "done").count();
        if done > 1 {
            record.note(&format!(
                "TWICE: {task} was started after a run of it had ended `done` and was observed"
            ));
            broken = true;
            break;
        }
    }
    platform.end();
    Ok(broken)
}

/// Waits until an order was left unanswered.
fn await_held(platform: &Platform, at: usize, path: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        if platform.workers[at]
            .held_back()
            .iter()
            .any(|o| o.path == path)
        {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Crashes the worker; its next life carries out the late start and the late poll.
fn crash(platform: &mut Platform, at: usize, task: &str) {
    let record = platform.record.clone();
    let held = platform.workers[at].held_back();
    let find = |path: &str, named: bool| {
        let mut orders = held.iter().filter(|o| o.path == path);
        orders.find(|o| !named || o.body["task"] == task).cloned()
    };
    let (start, poll) = (find("/run-start", true), find("/hold", false));
    record.note(&format!(
        "crash {} crashes, its port refuses connections",
        platform.workers[at].id
    ));
    platform.proxies[at].set(Mode::Refuse);
    platform.workers[at].crash();
    thread::sleep(DOWN);
    platform.restart_worker(at);
    record.note(&format!(
        "crash {} is back under its id",
        platform.workers[at].id
    ));
    let (Some(start), Some(poll)) = (start, poll) else {
        return;
    };
    let status = platform.workers[at].carry_out(&start);
    record.note(&format!("late  the start is carried out, with {status}"));
    thread::sleep(POLL_AFTER);
    let status = platform.workers[at].carry_out(&poll);
    record.note(&format!("late  the poll is carried out, with {status}"));
}
