//! A task crashes each worker that starts it, some seconds after its start. Other jobs go on.

use std::{
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, record,
    system::{Route, SIX_WORKERS, System},
};

const JOB: &str = "3f6c2d81b07a94e5";

/// BUDGET: a task is not started three times more after three workers have crashed under it.
const CRASHES: usize = 3;
const MORE_STARTS: usize = 3;

/// How long the case watches the workers.
const WATCH: Duration = Duration::from_secs(95);

/// Time from one of the other jobs to the next.
const OTHERS_PERIOD: Duration = Duration::from_millis(500);

const OTHERS: &str =
    r#"{"spec":"work 4000","steps":[{"count":12,"cpu":1000,"memMb":512,"estMs":4000}]}"#;

const ROUTE: Route = Route {
    name: "r-alpha",
    prefix: "/alpha/",
};

pub fn play(root: &Path, trouble: bool) -> Verdict {
    let system = System::start(root, &[ROUTE], &SIX_WORKERS)?;
    let spec = match trouble {
        true => "crash 9000",
        false => "work 9000",
    };
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in (0x1001_u64..).step_by(16) {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let path = format!("{}{number:016x}", ROUTE.prefix);
                system.call(0, "POST", &path, OTHERS);
                thread::sleep(OTHERS_PERIOD);
            }
        });
        let verdict = watch(&system, spec);
        is_over.store(true, Ordering::Relaxed);
        verdict
    })
}

fn watch(system: &System, spec: &str) -> Verdict {
    thread::sleep(Duration::from_secs(2));
    let path = format!("{}{JOB}", ROUTE.prefix);
    let body = format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":512,\"estMs\":9000}}]}}"
    );
    if system.call(1, "POST", &path, &body).0 != 200 {
        return Err("the job was not accepted".into());
    }
    let start = Instant::now();
    let (mut after, mut shown) = (0, 0);
    while start.elapsed() < WATCH && after < MORE_STARTS {
        thread::sleep(Duration::from_millis(500));
        let seen = system.seen_of(JOB, 0);
        let ends = seen.iter().filter_map(|s| s.ended);
        let mut crashes: Vec<u64> = ends.filter(|e| e.1 == "crashed").map(|e| e.0).collect();
        crashes.sort_unstable();
        let third = crashes.get(CRASHES - 1).copied().unwrap_or(u64::MAX);
        after = seen.iter().filter(|s| s.started > third).count();
        if shown < seen.len() {
            shown = seen.len();
            record::line(&format!(
                "start {shown} of the task; {} workers crashed under it; {after} starts after the third",
                crashes.len()
            ));
        }
        let answer = system.call(2, "GET", &path, "").1;
        if answer.contains("\"failed\"") || answer.contains("\"complete\"") {
            break;
        }
    }
    Ok(after >= MORE_STARTS)
}
