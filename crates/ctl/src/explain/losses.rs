//! Where the time of all jobs went, by queue and over time.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc};

use serde::Serialize;
use serde_json::json;

use crate::{
    error::CtlError,
    explain::{
        Cause,
        book::Book,
        story::{Doing, Span, Spent, Story},
    },
    table_text::TextTable,
};

/// Jobs of one queue and what most of their time went to.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct QueueLoss {
    /// The queue; empty for jobs of which no line names it.
    pub queue: Arc<str>,
    /// Its jobs.
    pub jobs: u64,
    /// Where their time went, in milliseconds, added up.
    pub spent: Spent,
    /// Jobs by the cause that their story ends in.
    pub causes: BTreeMap<&'static str, u64>,
}

/// What jobs did in one window of time, in milliseconds added up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct WindowLoss {
    /// When it began, in milliseconds since 1970.
    pub from: u64,
    /// A run of them was at work.
    pub at_work: u64,
    /// There was no owner.
    pub no_owner: u64,
    /// They waited otherwise.
    pub waiting: u64,
}

/// Adds up where the time of jobs went, by queue.
pub fn by_queue(stories: &[Story]) -> Vec<QueueLoss> {
    let mut rows: BTreeMap<Arc<str>, QueueLoss> = BTreeMap::new();
    for story in stories {
        let queue = story.queue.clone().unwrap_or_default();
        let row = rows.entry(queue.clone()).or_default();
        row.queue = queue;
        row.jobs += 1;
        row.spent.add(&story.spent);
        *row.causes.entry(Cause::of(story).name()).or_default() += 1;
    }
    rows.into_values().collect()
}

/// Adds up what jobs did, by windows of so many milliseconds.
pub fn by_time(stories: &[Story], window: u64) -> Vec<WindowLoss> {
    let mut rows: BTreeMap<u64, WindowLoss> = BTreeMap::new();
    for span in stories.iter().flat_map(|s| &s.spans) {
        let mut from = span.from;
        while from < span.to {
            let start = from - from % window;
            let to = span.to.min(start + window);
            let row = rows.entry(start).or_default();
            row.from = start;
            row.add(&Span { from, to, ..*span });
            from = to;
        }
    }
    rows.into_values().collect()
}

impl WindowLoss {
    fn add(&mut self, span: &Span) {
        let sum = match span.doing {
            Doing::AtWork => &mut self.at_work,
            Doing::NoOwner => &mut self.no_owner,
            Doing::Waiting => &mut self.waiting,
        };
        *sum += span.to - span.from;
    }
}

/// Shows where the time of all jobs in logs went.
pub(crate) fn losses(paths: &[PathBuf], window: u64, as_json: bool) -> Result<(), CtlError> {
    let book = Book::read(paths)?;
    let stories = book.stories();
    let (queues, times) = (by_queue(&stories), by_time(&stories, window.max(1)));
    if as_json {
        let value = json!({
            "queues": queues, "windows": times, "nodes": book.nodes().len(),
            "foreign": book.foreign, "dropped": book.dropped,
        });
        println!("{value}");
        return Ok(());
    }
    print_queues(&queues);
    println!();
    print_times(&times);
    println!();
    book.print_size();
    Ok(())
}

fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1000.0)
}

fn print_queues(queues: &[QueueLoss]) {
    let heading = [
        "QUEUE",
        "JOBS",
        "ALL S",
        "AT WORK",
        "NO OWNER",
        "WAITING",
        "FAILED",
        "STOPPED",
        "SLOWED",
        "MOST OF THEM",
    ];
    let mut table = TextTable::new(&heading);
    for row in queues {
        let spent = row.spent;
        let most = row.causes.iter().max_by_key(|(_, count)| **count);
        let most = most.map_or(String::new(), |(cause, count)| format!("{cause} ({count})"));
        table.row(vec![
            row.queue.to_string(),
            row.jobs.to_string(),
            seconds(spent.all),
            seconds(spent.at_work),
            seconds(spent.no_owner),
            seconds(spent.waiting),
            seconds(spent.failed),
            seconds(spent.stopped),
            seconds(spent.slowed),
            most,
        ]);
    }
    table.print();
}

fn print_times(times: &[WindowLoss]) {
    let start = times.first().map_or(0, |t| t.from);
    let mut table = TextTable::new(&["FROM S", "AT WORK", "NO OWNER", "WAITING"]);
    for row in times {
        table.row(vec![
            seconds(row.from - start),
            seconds(row.at_work),
            seconds(row.no_owner),
            seconds(row.waiting),
        ]);
    }
    table.print();
}
