//! Case: the model of which images disturb each other outgrows an instance's memory.

use std::{
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    node::Site,
    platform::{Job, Platform, job_id, setting},
};

/// Jobs that last and serve, each of an image of its own.
const SERVING: u64 = 240;
/// Images of the jobs that fill.
const FILLING: u64 = 270;
/// Images on the site's sheet, which are used without the disruption.
const SHEET_SERVING: u64 = 5;
const SHEET_FILLING: u64 = 9;
const WORKERS: usize = 12;
/// Target of the tail, and the tail, in milliseconds, as on the site's sheet.
const SERVES: (u64, u64) = (150, 25);
/// Time for which jobs that fill are sent.
const PLAY: Duration = Duration::from_secs(90);
/// RULES, Fault: processes end by themselves three times on a tenth of the machines in use (two at
/// least).
const ENDS: u64 = 3;
const MACHINES: usize = 2;

pub fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let site = Site {
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let mut platform = Platform::start(root, folder, WORKERS, &site)?;
    let (record, clients) = (platform.record.clone(), platform.clients());
    let (serving, filling) = (setting("SERVING", SERVING), setting("FILLING", FILLING));
    let image = |kind: &str, number: u64, sheet: u64| {
        let number = if trouble { number } else { number % sheet };
        Some(format!("{kind}-{number}"))
    };
    let mut accepted = 0;
    for number in 0..serving {
        let job = Job {
            id: job_id(number),
            spec: "serves".into(),
            count: 1,
            cpu: 400,
            mem: 256,
            time: Duration::from_millis(320),
            image: image("serve", number, SHEET_SERVING),
            serves: Some(SERVES),
            ..Job::default()
        };
        accepted += u64::from(platform.submit(&job, &clients, number as usize, 5));
        thread::sleep(Duration::from_millis(10));
    }
    record.note(&format!("{accepted} of {serving} serving jobs accepted"));
    if accepted < serving * 9 / 10 {
        return Err("the serving jobs were not accepted".into());
    }
    let until = Instant::now() + PLAY;
    let (mut number, mut accepted) = (0, 0);
    while Instant::now() < until {
        // One task on each worker, beside all that serve there.
        let job = Job {
            id: job_id(1_000_000 + number),
            spec: "fills".into(),
            count: WORKERS as u32,
            cpu: 1000,
            mem: 64,
            time: Duration::from_millis(1500),
            image: image("fill", number % filling, SHEET_FILLING),
            fills: true,
            apart: true,
            ..Job::default()
        };
        accepted += u64::from(platform.submit(&job, &clients, number as usize, 1));
        number += 1;
        thread::sleep(Duration::from_millis(200));
    }
    let runs: usize = platform.workers.iter().map(|w| w.runs()).sum();
    record.note(&format!(
        "{accepted} of {number} filling jobs accepted; {runs} runs on the workers"
    ));
    platform.log_memory();
    let ends = platform
        .nodes
        .iter()
        .map(|n| n.over_memory.load(Ordering::Relaxed));
    let broken = ends.filter(|ends| *ends >= ENDS).count() >= MACHINES;
    platform.end();
    Ok(broken)
}
