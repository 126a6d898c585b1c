//! Case: jobs that have ended stay in the store and in the owner's memory for good, so that a
//! successor, which reads all of them, runs out of memory.

use std::{
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use gorsespur_http::Client;

use crate::{
    node::Site,
    platform::{Platform, setting, small_job},
};

/// Number of jobs that end before the disruption: 49 minutes of the sheet's 10.9 jobs a second.
/// They are sent faster, within the store's 800 writing calls a second.
const JOBS: u64 = 32_000;
const JOBS_PER_S: u64 = 480;
/// Length of the text `spec` of a job: up to 4,000 bytes.
const SPEC_BYTES: u64 = 4000;
/// Requesters.
const CLIENTS: u64 = 30;
/// Time from the disruption until the first judged job is sent. The process is back after half a
/// second and in touch `contactMs` (3 s) later; the 3 s without a run and the 4 s before them have
/// to be calm.
const CALM: Duration = Duration::from_secs(12);
/// For so long a job may have nothing running while a task's turn has come.
const MAX_WAIT: Duration = Duration::from_secs(3);

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let mut platform = Platform::start(root, folder, 12, &site)?;
    let record = platform.record.clone();
    let total = setting("JOBS", JOBS);
    let accepted = send_jobs(&platform, total);
    record.note(&format!("{accepted} of {total} jobs accepted"));
    let until = Instant::now() + Duration::from_secs(10);
    while record.done() < accepted && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    let (rows, size) = platform.store.size("jobs");
    record.note(&format!(
        "{} tasks done; {rows} rows of jobs with {} MB in the store; the store refused {} calls",
        record.done(),
        size >> 20,
        platform.store.refused()
    ));
    platform.log_memory();
    if accepted < total * 9 / 10 || record.done() < accepted {
        return Err("the jobs before the disruption were not served".into());
    }
    thread::sleep(Duration::from_secs(2));
    let Some(leader) = platform.leader() else {
        return Err("no instance writes to the store".into());
    };
    if trouble {
        leader.kill("the disruption: node_kill (leader), one process");
    }
    thread::sleep(CALM);
    let broken = platform.judge(10, MAX_WAIT);
    platform.log_memory();
    platform.end();
    Ok(broken)
}

/// Sends jobs from several requesters, at a rate. Returns how many were accepted.
fn send_jobs(platform: &Platform, total: u64) -> u64 {
    let (next, accepted) = (AtomicU64::new(0), AtomicU64::new(0));
    let began = Instant::now();
    let spec = "x".repeat(setting("SPEC", SPEC_BYTES) as usize);
    let rate = setting("RATE", JOBS_PER_S);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (next, accepted, spec) = (&next, &accepted, &spec);
            let node = &platform.nodes[client as usize % platform.nodes.len()];
            scope.spawn(move || {
                let clients = [Client::new(node.front)];
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= total {
                        return;
                    }
                    let at = began + Duration::from_micros(number * 1_000_000 / rate);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let is_accepted = platform.submit(&small_job(number, spec), &clients, 0, 5);
                    accepted.fetch_add(u64::from(is_accepted), Ordering::Relaxed);
                }
            });
        }
    });
    accepted.load(Ordering::Relaxed)
}
