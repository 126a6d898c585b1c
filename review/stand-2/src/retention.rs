//! Finished jobs pile up, and the instance that schedules is killed.
//!
//! Rows of finished jobs are never removed, and each new owner reads them all. Once they are large
//! enough, reading them takes more memory than an instance has, so that each instance in turn takes
//! the lease, reads, and is killed for its memory. The script sends within a minute about as many
//! jobs as the callers of the sheet send in an hour; their text has the largest size allowed.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, MEMORY_LIMIT_MB},
    http::call,
    judge::{judge, Accepted},
    Record, Verdict, DEADLINE, HOST,
};

const SENDERS: u64 = 48;
const PAUSE: Duration = Duration::from_millis(60);
const JOBS: u64 = 38_000;
const LONGEST: Duration = Duration::from_secs(72);
/// `spec` is a text of up to 4,000 bytes.
const TEXT_BYTES: usize = 4000;
const TASK_MS: u64 = 50;
const LATER_JOBS: u64 = 20;
const LATER_PAUSE: Duration = Duration::from_millis(200);
const CALM_MS: u64 = 7000;
const WATCH: Duration = Duration::from_secs(18);
const SAMPLE: Duration = Duration::from_millis(50);

fn job() -> String {
    let mut text = format!("{TASK_MS} ");
    text.push_str(&"x".repeat(TEXT_BYTES - text.len()));
    format!("{{\"spec\":\"{text}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":512,\"estMs\":{TASK_MS}}}]}}")
}

fn submit(cluster: &Cluster, id: &str, front: usize) -> Option<Accepted> {
    let front = cluster.front(front);
    let answer = call(
        front,
        "POST",
        &format!("/renewal/{id}"),
        HOST,
        &job(),
        DEADLINE,
    );
    let is_accepted = answer.is_some_and(|a| a.0 == 200);
    is_accepted.then(|| Accepted {
        id: id.to_owned(),
        at_ms: cluster.now_ms(),
        steps: 1,
        width: 1,
    })
}

pub fn play(has_trouble: bool, record: &mut Record) -> Verdict {
    let Some(cluster) = Cluster::start("retention", 3, 24) else {
        return Verdict::CouldNotRun;
    };
    record.line(&cluster, "all instances are ready");
    let (lock, is_over) = (Mutex::new(record), AtomicBool::new(false));
    let accepted = Mutex::new(Vec::new());
    let verdict = thread::scope(|scope| {
        // As the platform does: a process over its memory is killed, and one that ended starts again.
        scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                for line in cluster.enforce_limits() {
                    lock.lock().expect("lock").line(&cluster, line);
                }
                thread::sleep(SAMPLE);
            }
        });
        send_many(&cluster, &accepted);
        let count = accepted.lock().expect("lock").len();
        lock.lock().expect("lock").line(
            &cluster,
            format!(
                "{count} jobs were accepted; memory of the instances in MB: {:?}",
                cluster.memory_mb()
            ),
        );
        thread::sleep(Duration::from_secs(2));
        if has_trouble {
            let owner = cluster.owner().unwrap_or(0);
            cluster.kill(owner);
            lock.lock().expect("lock").line(
                &cluster,
                format!("{}, which schedules, is killed", cluster.name(owner)),
            );
        }
        let calm_ms = cluster.now_ms() + CALM_MS;
        let mut later = Vec::new();
        for number in 0..LATER_JOBS {
            let id = format!("0d{number:014x}");
            let attempts = (0..3).map(|n| submit(&cluster, &id, (number + n) as usize));
            later.extend(attempts.flatten().next());
            thread::sleep(LATER_PAUSE);
        }
        thread::sleep(WATCH);
        is_over.store(true, Ordering::SeqCst);
        let mut record = lock.lock().expect("lock");
        record.line(
            &cluster,
            format!(
                "{} of {LATER_JOBS} later jobs were accepted; memory in MB: {:?}",
                later.len(),
                cluster.memory_mb()
            ),
        );
        judge(&cluster, &later, calm_ms, &mut record)
    });
    let record = lock.into_inner().expect("lock");
    record.add(format!("memory limit of an instance: {MEMORY_LIMIT_MB} MB"));
    verdict
}

/// Sends jobs until enough were accepted.
fn send_many(cluster: &Cluster, accepted: &Mutex<Vec<Accepted>>) {
    let (end, count) = (Instant::now() + LONGEST, AtomicU64::new(0));
    thread::scope(|scope| {
        for sender in 0..SENDERS {
            let count = &count;
            scope.spawn(move || {
                let mut number = 0u64;
                while Instant::now() < end && count.load(Ordering::SeqCst) < JOBS {
                    number += 1;
                    let id = format!("0c{sender:04x}{number:010x}");
                    if let Some(job) = submit(cluster, &id, sender as usize) {
                        count.fetch_add(1, Ordering::SeqCst);
                        accepted.lock().expect("lock").push(job);
                    }
                    thread::sleep(PAUSE);
                }
            });
        }
    });
}
