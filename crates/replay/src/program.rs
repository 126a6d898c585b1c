//! Replays the traces named on the command line.

use std::path::Path;

use gorsespur_runtime::settings::load;
use snafu::ResultExt;

use crate::{
    Expected, Outcome, Trace,
    args::ReplayArgs,
    error::{ExpectedOutcomesSnafu, TraceError},
    replay,
};

/// Replays the traces in order and prints their outcomes.
///
/// # Errors
///
/// Stops at the first trace that can't be read or fails its replay.
pub fn run(args: &ReplayArgs) -> Result<(), TraceError> {
    for path in &args.traces {
        let outcome = run_one(path)?;
        print(path, &outcome, args.json);
    }
    Ok(())
}

/// Replays one trace and compares the outcome with the expected one in `PATH.yaml`, if that file
/// exists.
///
/// # Errors
///
/// Fails if a file can't be read, if actions differ from the recorded ones, if a counter differs
/// from the expected one, or if an invariant is violated.
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
