//! Jobs are cancelled after their submission got no clear answer, and run nevertheless.
//!
//! For a few seconds, answers of the store are lost, and what was asked is done seconds later. A
//! requester whose submission is answered with 504, or not at all, gives the job up and cancels it.
//! The cancelling is acknowledged with 410. Then the store carries the submission out.

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{cluster::Cluster, http::call, Record, Verdict, DEADLINE, HOST};

/// `platform_lost` of the site file: share and length.
const LOST_PERCENT: u64 = 35;
const LOST_TIME: Duration = Duration::from_millis(4500);
const SEED: u64 = 20261204;
const CANCEL_MS: u64 = 3000;
const CONTACT_MS: u64 = 3000;
const JOBS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(200);
const WATCH: Duration = Duration::from_secs(30);
/// Time that a task works.
const TASK_MS: u64 = 1200;
const STEPS: usize = 10;

fn job() -> String {
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let deps = if step > 0 {
                format!(",\"deps\":[{}]", step - 1)
            } else {
                String::new()
            };
            format!("{{\"count\":2,\"cpu\":1000,\"memMb\":512,\"estMs\":{TASK_MS}{deps}}}")
        })
        .collect();
    format!("{{\"spec\":\"{TASK_MS}\",\"steps\":[{}]}}", steps.join(","))
}

/// A job whose cancelling was acknowledged.
struct Cancelled {
    id: String,
    at_ms: u64,
}

pub fn play(has_trouble: bool, record: &mut Record) -> Verdict {
    let Some(cluster) = Cluster::start("cancelled", 3, 6) else {
        return Verdict::CouldNotRun;
    };
    record.line(&cluster, "all instances are ready");
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        cluster.store.lose_answers(LOST_TIME, LOST_PERCENT, SEED);
        record.line(&cluster, "answers of the store are lost from now on");
    }
    let lost_end = Instant::now() + LOST_TIME;
    let (record_lock, cancelled) = (Mutex::new(record), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for number in 0..JOBS {
            let (cluster, record, cancelled) = (&cluster, &record_lock, &cancelled);
            scope.spawn(move || {
                let done = submit(cluster, number, has_trouble, record);
                cancelled.lock().expect("lock").extend(done);
            });
            thread::sleep(PAUSE);
        }
    });
    thread::sleep(WATCH);
    let record = record_lock.into_inner().expect("lock");
    judge(
        &cluster,
        &cancelled.into_inner().expect("lock"),
        lost_end,
        record,
    )
}

/// Submits a job. Cancels it if it is not accepted for certain, or, without the disruption, if its
/// number is a multiple of three. Returns the job if the cancelling was acknowledged.
fn submit(
    cluster: &Cluster,
    number: u64,
    has_trouble: bool,
    record: &Mutex<&mut Record>,
) -> Option<Cancelled> {
    let id = format!("0a{number:013x}c");
    let path = format!("/check/{id}");
    let front = |n: u64| cluster.instances[n as usize % cluster.instances.len()].front;
    let answer = call(front(number), "POST", &path, HOST, &job(), DEADLINE).map(|a| a.0);
    record
        .lock()
        .expect("lock")
        .line(cluster, format!("POST {id}: {answer:?}"));
    let gives_up = match has_trouble {
        true => matches!(answer, None | Some(502 | 504)),
        false => number.is_multiple_of(3),
    };
    if !gives_up {
        return None;
    }
    loop {
        let answer = call(front(number + 1), "DELETE", &path, HOST, "", DEADLINE).map(|a| a.0);
        let at_ms = cluster.now_ms();
        record
            .lock()
            .expect("lock")
            .line(cluster, format!("DELETE {id}: {answer:?}"));
        match answer {
            Some(200..=299 | 410) => return Some(Cancelled { id, at_ms }),
            _ => thread::sleep(Duration::from_millis(500)),
        }
    }
}

/// Counts the tasks that started too late, and the jobs that have them. The machines count as in
/// touch once the store has been sound for `CONTACT_MS`, counted from the last late write.
fn judge(
    cluster: &Cluster,
    cancelled: &[Cancelled],
    lost_end: Instant,
    record: &mut Record,
) -> Verdict {
    let sound = cluster
        .store
        .last_late()
        .map_or(lost_end, |l| l.max(lost_end));
    let sound_ms = sound.duration_since(cluster.origin).as_millis() as u64;
    let in_touch_ms = sound_ms + CONTACT_MS;
    record.add(format!("the store is sound from {sound_ms} ms on, and the machines in touch from {in_touch_ms} ms on"));
    let (runs, mut broken) = (cluster.runs(), 0);
    for job in cancelled {
        let limit = (job.at_ms + CANCEL_MS).max(in_touch_ms);
        let of_job = || runs.iter().filter(|r| r.task.starts_with(&job.id));
        let late = of_job().filter(|r| r.start_ms > limit).count();
        record.add(format!(
            "job {}: cancelling acknowledged at {} ms; {} tasks started, {late} of them later than {limit} ms",
            job.id,
            job.at_ms,
            of_job().count()
        ));
        if late > 0 {
            broken += 1;
            record.add_runs(cluster, &job.id);
        }
    }
    record.add(format!(
        "{broken} of {} cancelled jobs ran on",
        cancelled.len()
    ));
    match (cancelled.len(), broken) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
