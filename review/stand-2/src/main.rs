//! Plays one case of the review: `review-stand-2 CASE RECORD`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0`
//! leaves out the disruption.

mod cancelled;
mod cluster;
mod http;
mod images;
mod json;
mod judge;
mod retention;
mod store;
mod survivor;
mod worker;

use std::{fs, process::ExitCode, time::Duration};

use cluster::Cluster;

pub const HOST: &str = "yard.example";
/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);
pub const DEADLINE: Duration = Duration::from_millis(3000);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// The record of what was sent, answered and run.
pub struct Record {
    lines: Vec<String>,
}

impl Record {
    pub fn line(&mut self, cluster: &Cluster, text: impl AsRef<str>) {
        let at = cluster.now_ms();
        self.lines
            .push(format!("{:>9.3} s  {}", at as f64 / 1000.0, text.as_ref()));
    }

    pub fn add(&mut self, text: impl Into<String>) {
        self.lines.push(text.into());
    }

    pub fn add_runs(&mut self, cluster: &Cluster, job: &str) {
        for run in cluster.runs().iter().filter(|r| r.task.starts_with(job)) {
            let end = run
                .end_ms
                .map_or("-".to_owned(), |e| format!("{:.3}", e as f64 / 1000.0));
            self.add(format!(
                "  run of {} attempt {} on {}: {:.3} s to {end} s, {}",
                run.task,
                run.attempt,
                run.worker,
                run.start_ms as f64 / 1000.0,
                run.how
            ));
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    cluster::start_watchdog(LIMIT);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let mut record = Record {
        lines: vec![format!("case {case}, disruption: {has_trouble}")],
    };
    let verdict = match case.as_str() {
        "cancelled" => cancelled::play(has_trouble, &mut record),
        "images" => images::play(has_trouble, &mut record),
        "survivor" => survivor::play(has_trouble, &mut record),
        "retention" => retention::play(has_trouble, &mut record),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case couldn't run", 2),
    };
    record.add(text);
    println!("{text}");
    if let Err(err) = fs::write(path, record.lines.join("\n") + "\n") {
        eprintln!("can't write {path}: {err}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
