//! A start is delivered late to a worker that was cut off and has started again under its id, and the
//! instance that sent it is killed.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict, record,
    system::{Fleet, Route, System},
    worker::{Ids, Trouble},
};

const JOB: &str = "5c0e7a21d94b36f8";
const BODY: &str = r#"{"spec":"last","steps":[{"count":1,"cpu":1000,"memMb":512,"estMs":500,"longRunning":true}]}"#;

const FLEET: Fleet = Fleet {
    count: 6,
    name: "w",
    ids: Ids::Kept,
};

const TROUBLE: Trouble = Trouble {
    late: Duration::from_millis(3000),
    cut: Duration::from_millis(12_000),
};

/// Time from the start to the kill of the instance that sent it.
const KILL_AFTER: Duration = Duration::from_millis(1000);

const WATCH: Duration = Duration::from_secs(25);

const ROUTE: Route = Route {
    name: "r-alpha",
    prefix: "/alpha/",
};

pub fn play(root: &Path, trouble: bool) -> Verdict {
    let mut system = System::start(root, &[ROUTE], &FLEET)?;
    let owner = system.owner().ok_or("no instance gives orders")?;
    let other = (owner + 1) % system.fronts.len();
    let path = format!("{}{JOB}", ROUTE.prefix);
    if trouble {
        *system.shared.trouble.lock().expect("lock") = Some(TROUBLE);
    }
    if system.call(other, "POST", &path, BODY).0 != 200 {
        return Err("the job was not accepted".into());
    }
    thread::sleep(KILL_AFTER);
    if trouble {
        if system.shared.trouble.lock().expect("lock").is_some() {
            return Err("no start was sent".into());
        }
        system.kill(owner);
    }
    thread::sleep(WATCH);
    let mut runs = system.seen_of(JOB, 0);
    runs.sort_by_key(|r| r.started);
    let mut is_broken = false;
    for pair in runs.windows(2) {
        let end = pair[0].ended.map_or(record::now(), |e| e.0);
        if end > pair[1].started {
            is_broken = true;
            record::line(&format!(
                "runs {} and {} of {} were at work at the same time for {} ms",
                pair[0].run,
                pair[1].run,
                pair[0].task,
                end - pair[1].started
            ));
        }
    }
    Ok(is_broken)
}
