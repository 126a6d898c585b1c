//! One worker of eight crashes once under five hundred small tasks that last.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, record,
    system::{Fleet, Route, System},
    worker::Ids,
};

const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 4000;
const BODY: &str = r#"{"spec":"last","steps":[{"count":4000,"cpu":50,"memMb":100,"estMs":500,"longRunning":true}]}"#;

/// The ids of workers are texts of up to 200 bytes; these have some 50.
const FLEET: Fleet = Fleet {
    count: 8,
    name: "weldcert-worker-7f9c6d5b8.shah-alam.klang-valley",
    ids: Ids::New,
};

/// How long the case waits for all tasks to run.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How long it watches after the crash. A task that lasts may be away for 6 s, and the worker is
/// back 3 s after its crash.
const WATCH: Duration = Duration::from_secs(45);

const ROUTE: Route = Route {
    name: "r-alpha",
    prefix: "/alpha/",
};

pub fn play(root: &Path, trouble: bool) -> Verdict {
    let system = System::start(root, &[ROUTE], &FLEET)?;
    let path = format!("{}{JOB}", ROUTE.prefix);
    if system.call(1, "POST", &path, BODY).0 != 200 {
        return Err("the job was not accepted".into());
    }
    let start = Instant::now();
    while run_count(&system) < TASKS {
        if start.elapsed() > START_LIMIT {
            return Err("the tasks do not start".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record::line("all tasks run");
    thread::sleep(Duration::from_secs(2));
    if trouble {
        system.workers[3].crash_now();
    }
    let start = Instant::now();
    while start.elapsed() < WATCH {
        thread::sleep(Duration::from_secs(5));
        record::line(&format!("{} of {TASKS} tasks run", run_count(&system)));
    }
    Ok(run_count(&system) < TASKS)
}

fn run_count(system: &System) -> usize {
    system.workers.iter().map(|w| w.run_count()).sum()
}
