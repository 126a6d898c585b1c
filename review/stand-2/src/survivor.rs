//! All instances but one are lost at once, and the survivor notices late.
//!
//! The instances take turns in following the lease, and rest in between for a time that grows with
//! the number of instances. That number is a count of names in the store, in which a lost instance
//! stays for a day.

use std::{sync::Mutex, thread, time::Duration};

use crate::{
    cluster::Cluster,
    http::call,
    judge::{count_idle, judge, Accepted},
    Record, Verdict, DEADLINE, HOST,
};

const INSTANCES: usize = 300;
/// Instances announce themselves within ten seconds; the owner counts them every three seconds.
const SETTLE: Duration = Duration::from_secs(25);
const JOBS: usize = 50;
const PAUSE: Duration = Duration::from_millis(200);
const TASK_MS: u64 = 1500;
const STEPS: usize = 6;
const WIDTH: usize = 2;
/// `contactMs` and the four calm seconds that the rule asks for.
const CALM_MS: u64 = 7000;
const LONGEST: Duration = Duration::from_secs(40);

fn job() -> String {
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let deps = match step {
                0 => String::new(),
                _ => format!(",\"deps\":[{}]", step - 1),
            };
            format!("{{\"count\":{WIDTH},\"cpu\":1000,\"memMb\":512,\"estMs\":{TASK_MS}{deps}}}")
        })
        .collect();
    format!("{{\"spec\":\"{TASK_MS}\",\"steps\":[{}]}}", steps.join(","))
}

fn submit(cluster: &Cluster, number: usize, front: usize) -> Option<Accepted> {
    let id = format!("0e{number:014x}");
    let path = format!("/renewal/{id}");
    let answer = call(cluster.front(front), "POST", &path, HOST, &job(), DEADLINE);
    answer.filter(|a| a.0 == 200)?;
    Some(Accepted {
        id,
        at_ms: cluster.now_ms(),
        steps: STEPS,
        width: WIDTH,
    })
}

pub fn play(has_trouble: bool, record: &mut Record) -> Verdict {
    let Some(cluster) = Cluster::start("survivor", INSTANCES, 12) else {
        return Verdict::CouldNotRun;
    };
    record.line(&cluster, format!("all {INSTANCES} instances are ready"));
    thread::sleep(SETTLE);
    let Some(owner) = cluster.owner() else {
        return Verdict::CouldNotRun;
    };
    let survivor = (owner + 1) % INSTANCES;
    let accepted = Mutex::new(Vec::new());
    for number in 0..JOBS {
        accepted
            .lock()
            .expect("lock")
            .extend(submit(&cluster, number, survivor));
        thread::sleep(PAUSE);
    }
    if has_trouble {
        cluster.lose_all_but(survivor);
        record.line(
            &cluster,
            format!(
                "all instances but {} are lost for good",
                cluster.name(survivor)
            ),
        );
    }
    let calm_ms = cluster.now_ms() + CALM_MS;
    let end = cluster.now_ms() + LONGEST.as_millis() as u64;
    let mut number = JOBS;
    let mut jobs = accepted.into_inner().expect("lock");
    while cluster.now_ms() < end {
        thread::sleep(PAUSE);
        if number < 2 * JOBS {
            jobs.extend(submit(&cluster, number, survivor));
            number += 1;
        }
        if cluster.now_ms() > calm_ms && count_idle(&cluster, &jobs, calm_ms) > 0 {
            break;
        }
    }
    let verdict = judge(&cluster, &jobs, calm_ms, record);
    if matches!(verdict, Verdict::Broken) {
        wait_for_start(&cluster, record);
    }
    verdict
}

/// Records when work goes on, for the report.
fn wait_for_start(cluster: &Cluster, record: &mut Record) {
    let since = cluster.now_ms();
    while cluster.now_ms() < since + 30_000 {
        if cluster.runs().iter().any(|r| r.start_ms > since) {
            return record.line(cluster, "tasks start again");
        }
        thread::sleep(PAUSE);
    }
    record.line(cluster, "no task has started for 30 s more");
}
