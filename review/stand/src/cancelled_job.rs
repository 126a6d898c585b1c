//! A job is cancelled while the store holds up its write, which it carries out late.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict, record,
    system::{Route, SIX_WORKERS, System},
};

const JOB: &str = "7d1b90aa42c3e865";

/// The tasks last, and each run fails after six seconds.
const BODY: &str = r#"{"spec":"fail 6000","steps":[{"count":2,"cpu":1000,"memMb":512,"estMs":500,"longRunning":true}]}"#;

/// UNASKED: no task starts later than this after the cancelling was acknowledged.
const CANCEL_MS: u64 = 3000;

/// For this long after an impairment, starts are not counted.
const CONTACT_MS: u64 = 3000;

/// How long after it was sent the store carries the write out.
const DELAY: Duration = Duration::from_millis(5500);

/// How long the case watches the workers after the cancelling.
const WATCH: Duration = Duration::from_secs(24);

const ROUTE: Route = Route {
    name: "r-alpha",
    prefix: "/alpha/",
};

pub fn play(root: &Path, trouble: bool) -> Verdict {
    let system = System::start(root, &[ROUTE], &SIX_WORKERS)?;
    let taker = system.bystander().ok_or("each instance has given orders")?;
    let other = (taker + 1) % system.fronts.len();
    let path = format!("{}{JOB}", ROUTE.prefix);
    if trouble {
        system.store.delay_write(taker, JOB, DELAY);
    }
    let calm = record::now() + (DELAY.as_millis() as u64 + CONTACT_MS) * u64::from(trouble);
    let (status, _) = system.call(taker, "POST", &path, BODY);
    if (status == 200) == trouble {
        return Err(format!("unexpected answer {status} to the job"));
    }
    let (status, _) = system.call(other, "DELETE", &path, "");
    let acknowledged = record::now();
    if !matches!(status, 200..300 | 410) {
        return Err("the cancelling was not acknowledged".into());
    }
    thread::sleep(WATCH);
    system.call(other, "GET", &path, "");
    let from = calm.max(acknowledged + CANCEL_MS);
    let seen = system.seen_of(JOB, 0);
    let late = seen.iter().filter(|s| s.started > from);
    for run in late.clone() {
        record::line(&format!(
            "{} run {} started {} ms after the cancelling was acknowledged",
            run.task,
            run.run,
            run.started - acknowledged
        ));
    }
    Ok(late.count() > 0)
}
