//! Case: a job whose number of tasks wraps around passes the check of its size, and every owner
//! that takes it up ends.

use std::{path::Path, thread, time::Duration};

use gorsespur_http::Method;
use serde_json::json;

use crate::{
    node::Site,
    platform::{Platform, call, job_id, unix_ms},
};

/// Tasks of a step, steps, and times: 2^31 * 4 * 2^31 is 2^64.
const COUNT: u64 = 1 << 31;
const STEPS: usize = 4;
const TIMES: u64 = 1 << 31;
const WORKERS: usize = 8;
/// Time from the job until the first judged job is sent.
const CALM: Duration = Duration::from_secs(10);
const MAX_WAIT: Duration = Duration::from_secs(3);

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let mut platform = Platform::start(root, folder, WORKERS, &site)?;
    let (record, clients) = (platform.record.clone(), platform.clients());
    let (count, times) = if trouble { (COUNT, TIMES) } else { (2, 3) };
    let step = json!({"count": count, "cpu": 100, "memMb": 64, "estMs": 100});
    let body = json!({
        "spec": "times", "steps": vec![step; STEPS], "times": times,
        "firstMs": unix_ms() + 1000, "intervalMs": 1000
    });
    let id = job_id(7);
    let work = crate::platform::Job {
        cpu: 100,
        mem: 64,
        time: Duration::from_millis(100),
        ..Default::default()
    };
    let mut work = (*work.work()).clone();
    work.steps = vec![work.steps[0]; STEPS];
    platform
        .jobs
        .by_id
        .lock()
        .expect("lock")
        .insert(id.clone(), work.into());
    let (status, _) = call(
        &clients[0],
        Method::Post,
        &id,
        body.to_string().into_bytes(),
    );
    record.note(&format!("sent  POST {id} {body} answered {status}"));
    thread::sleep(CALM);
    let broken = platform.judge(8, MAX_WAIT);
    let (status, body) = call(&clients[0], Method::Get, &id, Vec::new());
    record.note(&format!(
        "sent  GET {id} answered {status} {}",
        String::from_utf8_lossy(&body)
    ));
    platform.end();
    Ok(broken)
}
