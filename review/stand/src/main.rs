//! Plays one case of the review: `review-stand ROOT CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` the case is played without its disruption.

mod cancelled_job;
mod crashed_worker;
mod deadly_task;
mod http;
mod json;
mod late_start;
mod record;
mod removed_route;
mod store;
mod system;
mod worker;

use std::{path::Path, process::ExitCode};

/// Whether a rule was broken, or why the case couldn't run.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, root, case, folder] = &args[..] else {
        eprintln!("usage: review-stand ROOT CASE FOLDER");
        return ExitCode::from(2);
    };
    if let Err(err) = record::open(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {err}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let trouble = !trouble;
    record::line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let played = std::panic::catch_unwind(|| play(Path::new(root), case, trouble));
    let verdict = played.unwrap_or_else(|_| Err("a stand-in failed".into()));
    match verdict {
        Ok(true) => {
            record::line("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record::line("the rule held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            record::line(&format!("the case couldn't run: {err}"));
            ExitCode::from(2)
        }
    }
}

fn play(root: &Path, case: &str, trouble: bool) -> Verdict {
    match case {
        "removed-route" => removed_route::play(root, trouble),
        "cancelled-job" => cancelled_job::play(root, trouble),
        "crashed-worker" => crashed_worker::play(root, trouble),
        "deadly-task" => deadly_task::play(root, trouble),
        "late-start" => late_start::play(root, trouble),
        _ => Err(format!("unknown case {case}")),
    }
}
