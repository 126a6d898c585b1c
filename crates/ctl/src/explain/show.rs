//! Prints the timeline of a job.

use std::path::PathBuf;

use serde_json::json;

use crate::{
    error::{CtlError, NoLogLinesSnafu},
    explain::{Cause, LogLine, logs::CollectedLogs, timeline::JobTimeline},
    text_table::TextTable,
};

/// Prints the timeline of a job and the cause of its outcome or duration.
pub(crate) fn explain(job: &str, paths: &[PathBuf], as_json: bool) -> Result<(), CtlError> {
    let logs = CollectedLogs::read(paths)?;
    let timeline = JobTimeline::for_job(&logs, job);
    if timeline.lines.is_empty() {
        return NoLogLinesSnafu {
            job,
            lines: logs.lines.len(),
        }
        .fail();
    }
    let cause = Cause::of(&timeline);
    if as_json {
        let value = json!({
            "job": job, "cause": cause, "story": timeline, "nodes": logs.nodes().len(),
            "foreign": logs.unparsed, "dropped": logs.dropped,
        });
        println!("{value}");
        return Ok(());
    }
    print(&logs, &timeline, &cause);
    Ok(())
}

fn print(logs: &CollectedLogs, timeline: &JobTimeline, cause: &Cause) {
    let start = timeline.lines.first().map_or(0, |l| l.ms);
    let mut table = TextTable::new(&["SECOND", "INSTANCE", "WHAT", "OF"]);
    for line in &timeline.lines {
        let second = format!("{:.3}", (line.ms - start) as f64 / 1000.0);
        table.add_row(vec![
            second,
            line.node.to_string(),
            line.msg.clone(),
            details(line),
        ]);
    }
    table.print();
    let spent = timeline.spent;
    println!();
    println!(
        "{} ms in all: {} at work, {} without an owner, {} waiting",
        spent.total, spent.at_work, spent.no_owner, spent.waiting
    );
    println!(
        "{} runs; sums over them: {} ms failed, {} ms stopped or lost, {} ms slowed",
        timeline.runs.len(),
        spent.failed,
        spent.stopped,
        spent.slowed
    );
    println!("cause: {cause}");
    logs.print_summary();
}

/// Formats the keys of a line for the last column.
fn details(line: &LogLine) -> String {
    let mut out = Vec::new();
    if let Some(task) = &line.task {
        out.push(task.clone());
    }
    if let Some(run) = line.run {
        out.push(format!("run {run}"));
    }
    if let Some(worker) = &line.worker {
        out.push(format!("on {worker}"));
    }
    if let Some(how) = line.how.as_ref().or(line.outcome.as_ref()) {
        out.push(how.clone());
    }
    if let Some(method) = &line.method {
        out.push(method.clone());
    }
    if let Some(status) = line.status {
        out.push(status.to_string());
    }
    if let Some(to) = line.to {
        out.push(format!("to {to}%"));
    }
    if let Some(err) = &line.err {
        out.push(err.clone());
    }
    out.join(" ")
}
