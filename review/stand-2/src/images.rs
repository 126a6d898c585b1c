//! Jobs name many images, and all instances but one are lost.
//!
//! Each version of a program has an image of its own, so the jobs of a month name hundreds. The
//! owner keeps all names in one row of the store. Once the row is longer than the store takes, the
//! owner repeats the same refused write forever. While other instances take over every few seconds,
//! work goes on; the last instance that is left hangs.

use std::{sync::Mutex, thread, time::Duration};

use crate::{
    cluster::Cluster,
    http::call,
    judge::{judge, Accepted},
    Record, Verdict, DEADLINE, HOST,
};

/// The three kinds of jobs of the sheet come 11 times a second.
const PAUSE: Duration = Duration::from_millis(90);
const JOBS_BEFORE: usize = 360;
const JOBS_AFTER: usize = 110;
const TASK_MS: u64 = 600;
const STEPS: usize = 3;
const WIDTH: usize = 2;
/// `contactMs` and the four calm seconds that the rule asks for.
const CALM_MS: u64 = 7000;
const WATCH: Duration = Duration::from_secs(22);

fn image(number: usize) -> String {
    format!("registry.yard.example:5000/certification/renewal-batch@sha256:{number:064x}")
}

fn job(number: usize) -> String {
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let deps = if step > 0 { format!(",\"deps\":[{}]", step - 1) } else { String::new() };
            let image = image(number * STEPS + step);
            format!("{{\"count\":{WIDTH},\"cpu\":2000,\"memMb\":1024,\"estMs\":{TASK_MS},\"image\":\"{image}\"{deps}}}")
        })
        .collect();
    format!("{{\"spec\":\"{TASK_MS}\",\"steps\":[{}]}}", steps.join(","))
}

/// Submits jobs; each is sent again, to the next instance that is left, until it is accepted.
fn submit(
    cluster: &Cluster,
    numbers: std::ops::Range<usize>,
    left: &[usize],
    out: &Mutex<(&mut Record, Vec<Accepted>)>,
) {
    thread::scope(|scope| {
        for number in numbers {
            scope.spawn(move || {
                let id = format!("0b{number:014x}");
                for attempt in 0..5 {
                    let front = cluster.instances[left[(number + attempt) % left.len()]].front;
                    let answer = call(
                        front,
                        "POST",
                        &format!("/renewal/{id}"),
                        HOST,
                        &job(number),
                        DEADLINE,
                    )
                    .map(|a| a.0);
                    let mut out = out.lock().expect("lock");
                    if answer == Some(200) {
                        out.1.push(Accepted {
                            id,
                            at_ms: cluster.now_ms(),
                            steps: STEPS,
                            width: WIDTH,
                        });
                        return;
                    }
                    out.0.line(cluster, format!("POST {id}: {answer:?}"));
                    drop(out);
                    thread::sleep(Duration::from_secs(1));
                }
            });
            thread::sleep(PAUSE);
        }
    });
}

pub fn play(has_trouble: bool, record: &mut Record) -> Verdict {
    let Some(cluster) = Cluster::start("images", 3, 12) else {
        return Verdict::CouldNotRun;
    };
    record.line(
        &cluster,
        "all instances are ready; jobs come 11 times a second, each with images of its own",
    );
    let out = Mutex::new((record, Vec::new()));
    submit(&cluster, 0..JOBS_BEFORE, &[0, 1, 2], &out);
    let (left, lost): (&[usize], &[usize]) = match has_trouble {
        true => (&[2], &[0, 1]),
        false => (&[0, 1, 2], &[]),
    };
    for &index in lost {
        cluster.instances[index].kill(false);
        out.lock().expect("lock").0.line(
            &cluster,
            format!("{} is lost for good", cluster.instances[index].name),
        );
    }
    let calm_ms = cluster.now_ms() + CALM_MS;
    let last = JOBS_BEFORE + JOBS_AFTER;
    submit(&cluster, JOBS_BEFORE..last, left, &out);
    thread::sleep(WATCH);
    let (record, accepted) = out.into_inner().expect("lock");
    record.line(
        &cluster,
        format!("{} of {last} jobs were accepted", accepted.len()),
    );
    let (refused, sizes) = cluster.store.too_long();
    record.add(format!("the store refused {refused} transactions with 400, as a value was longer than rowBytes; tables and sizes of the first: {sizes}"));
    if let Some(job) = accepted.last() {
        let front = cluster.instances[2].front;
        let answer = call(
            front,
            "GET",
            &format!("/renewal/{}", job.id),
            HOST,
            "",
            DEADLINE,
        );
        record.line(&cluster, format!("GET {}: {answer:?}", job.id));
    }
    judge(&cluster, &accepted, calm_ms, record)
}
