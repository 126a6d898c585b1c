//! Prints what the logs tell of a job.

use std::path::PathBuf;

use serde_json::json;

use crate::{
    error::{CtlError, NoLinesSnafu},
    explain::{Cause, Line, logs::Book, timeline::Story},
    table_text::TextTable,
};

/// Explains a job out of logs.
pub(crate) fn explain(job: &str, paths: &[PathBuf], as_json: bool) -> Result<(), CtlError> {
    let book = Book::read(paths)?;
    let story = Story::of(&book, job);
    if story.lines.is_empty() {
        return NoLinesSnafu {
            job,
            lines: book.lines.len(),
        }
        .fail();
    }
    let cause = Cause::of(&story);
    if as_json {
        let value = json!({
            "job": job, "cause": cause, "story": story, "nodes": book.nodes().len(),
            "foreign": book.foreign, "dropped": book.dropped,
        });
        println!("{value}");
        return Ok(());
    }
    print(&book, &story, &cause);
    Ok(())
}

fn print(book: &Book, story: &Story, cause: &Cause) {
    let start = story.lines.first().map_or(0, |l| l.ms);
    let mut table = TextTable::new(&["SECOND", "INSTANCE", "WHAT", "OF"]);
    for line in &story.lines {
        let second = format!("{:.3}", (line.ms - start) as f64 / 1000.0);
        table.row(vec![
            second,
            line.node.to_string(),
            line.msg.clone(),
            inputs(line),
        ]);
    }
    table.print();
    let spent = story.spent;
    println!();
    println!(
        "{} ms in all: {} at work, {} without an owner, {} waiting",
        spent.all, spent.at_work, spent.no_owner, spent.waiting
    );
    println!(
        "{} runs; sums over them: {} ms failed, {} ms stopped or lost, {} ms slowed",
        story.runs.len(),
        spent.failed,
        spent.stopped,
        spent.slowed
    );
    println!("cause: {cause}");
    book.print_size();
}

/// Returns the inputs that a line tells.
fn inputs(line: &Line) -> String {
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
