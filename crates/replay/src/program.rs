//! Replays each trace that was named.

use std::path::Path;

use gorsespur_runtime::settings::load;
use snafu::ResultExt;

use crate::{
    Expected, Outcome, Trace,
    args::ReplayArgs,
    error::{ExpectedOutcomesSnafu, TraceError},
    replay,
};

/// Replays the traces and prints what they led to.
pub fn run(args: &ReplayArgs) -> Result<(), TraceError> {
    for path in &args.traces {
        let outcome = run_one(path)?;
        print(path, &outcome, args.json);
    }
    Ok(())
}

/// Replays one trace and checks the outcomes that are stated beside it.
pub fn run_one(path: &Path) -> Result<Outcome, TraceError> {
    let trace = Trace::read(path)?;
    let outcome = replay(&trace)?;
    let mut expected_path = path.as_os_str().to_owned();
    expected_path.push(".yaml");
    let expected_path = Path::new(&expected_path);
    let expected = if expected_path.exists() {
        load(expected_path, Ok).context(ExpectedOutcomesSnafu)?
    } else {
        Expected::default()
    };
    outcome.check(&expected)?;
    Ok(outcome)
}

fn print(path: &Path, outcome: &Outcome, json: bool) {
    if json {
        println!("{}", serde_json::to_string(outcome).unwrap_or_default());
        return;
    }
    println!(
        "{}: steps={} submitted={} started={} done={} failed={} lost={} evicted={} finished={} doubled={} overcommitted={}",
        path.display(),
        outcome.steps,
        outcome.submitted,
        outcome.started,
        outcome.done,
        outcome.failed,
        outcome.lost,
        outcome.evicted,
        outcome.finished,
        outcome.doubled,
        outcome.overcommitted
    );
}
