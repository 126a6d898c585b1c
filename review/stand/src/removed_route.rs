//! A route is removed from the manifest while an accepted job of it is at work.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict, record,
    system::{Route, SIX_WORKERS, System},
    worker::Seen,
};

const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 4;
const BODY: &str = r#"{"spec":"work 2500","steps":[{"count":4,"cpu":1000,"memMb":512,"estMs":2500},{"count":4,"cpu":1000,"memMb":512,"estMs":2500,"deps":[0]}]}"#;

/// LOST: a job has nothing running for this long while a task's turn has come.
const LOST_MS: u64 = 3000;

/// How long the case waits for the second step; only the record has the rest.
const WATCH: Duration = Duration::from_secs(20);

const ROUTE: Route = Route {
    name: "r-alpha",
    prefix: "/alpha/",
};
const OTHER: Route = Route {
    name: "r-beta",
    prefix: "/beta/",
};

pub fn play(root: &Path, trouble: bool) -> Verdict {
    let system = System::start(root, &[ROUTE, OTHER], &SIX_WORKERS)?;
    let path = format!("{}{JOB}", ROUTE.prefix);
    if system.call(1, "POST", &path, BODY).0 != 200 {
        return Err("the job was not accepted".into());
    }
    if !wait_until(Duration::from_secs(5), || {
        system.seen_of(JOB, 0).len() == TASKS
    }) {
        return Err("the first step does not start".into());
    }
    thread::sleep(Duration::from_millis(500));
    match trouble {
        true => system.write_manifest(3, &[OTHER], 3000),
        false => system.write_manifest(3, &[ROUTE, OTHER], 3500),
    }
    let ended = |s: &[Seen]| s.iter().filter(|s| s.ended.is_some()).count() == TASKS;
    if !wait_until(Duration::from_secs(10), || ended(&system.seen_of(JOB, 0))) {
        return Err("the first step does not end".into());
    }
    let first = system.seen_of(JOB, 0);
    if first.iter().any(|s| s.ended.is_none_or(|e| e.1 != "done")) {
        return Err("a task of the first step did not end done".into());
    }
    let due = first
        .iter()
        .filter_map(|s| s.ended)
        .map(|e| e.0)
        .max()
        .unwrap_or(0);
    record::line("the first step is done, the turn of the second one has come");
    let has_started = wait_until(WATCH, || !system.seen_of(JOB, 1).is_empty());
    system.call(1, "GET", &path, "");
    system.call(2, "DELETE", &path, "");
    let second = system.seen_of(JOB, 1);
    let started = second.iter().map(|s| s.started).min();
    let waited = started.unwrap_or(record::now()).saturating_sub(due);
    record::line(&format!(
        "nothing of the job ran for {waited} ms, with six idle workers; the second step {}",
        if has_started {
            "has started"
        } else {
            "has not started"
        }
    ));
    Ok(waited > LOST_MS)
}

fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = std::time::Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}
