//! Replays each trace that was named.

use std::path::Path;

use gorsespur_runtime::settings::load;
use snafu::ResultExt;

use crate::{
    Expected, Outcome, Trace,
    args::ReplayArgs,
    error::{StatedSnafu, TraceError},
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
    let mut stated = path.as_os_str().to_owned();
    stated.push(".yaml");
    let stated = Path::new(&stated);
    let expected = if stated.exists() {
        load(stated, Ok).context(StatedSnafu)?
    } else {
        Expected::default()
    };
    outcome.check(&expected)?;
    Ok(outcome)
}

fn print(path: &Path, o: &Outcome, json: bool) {
    if json {
        println!("{}", serde_json::to_string(o).unwrap_or_default());
        return;
    }
    println!(
        "{}: steps={} submitted={} started={} done={} failed={} lost={} evicted={} finished={} doubled={} overcommitted={}",
        path.display(),
        o.steps,
        o.submitted,
        o.started,
        o.done,
        o.failed,
        o.lost,
        o.evicted,
        o.finished,
        o.doubled,
        o.overcommitted
    );
}
