//! How all jobs spent their time, by queue and over time.

use std::{path::PathBuf, sync::Arc};

use serde::Serialize;
use serde_json::json;

use crate::{
    error::CtlError,
    explain::{
        Cause,
        logs::CollectedLogs,
        timeline::{Activity, JobTimeline, Span, TimeSpent},
    },
    text_table::TextTable,
};

/// Number of jobs with the same main cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CauseCount {
    /// Short name of the cause.
    pub cause: &'static str,
    /// Number of jobs.
    pub jobs: u64,
}

/// Totals of one queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct QueueLoss {
    /// Name of the queue; empty for jobs whose queue no log line names.
    pub queue: Arc<str>,
    /// Number of jobs.
    pub jobs: u64,
    /// Time spent, summed over the jobs.
    pub spent: TimeSpent,
    /// Number of jobs by main cause, sorted by the name of the cause.
    pub causes: Vec<CauseCount>,
}

/// Activities in one time window, in milliseconds summed over all jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct WindowLoss {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub from: u64,
    /// Time in which a run of the job was active.
    pub at_work: u64,
    /// Time in which nothing ran and no instance held the lease.
    pub no_owner: u64,
    /// Other time in which nothing ran.
    pub waiting: u64,
}

/// Sums up by queue how jobs spent their time, sorted by queue.
pub fn by_queue(timelines: &[JobTimeline]) -> Vec<QueueLoss> {
    let mut rows: Vec<QueueLoss> = Vec::new();
    for timeline in timelines {
        let queue = timeline.queue.clone().unwrap_or_default();
        let at = match rows.binary_search_by(|r| r.queue.cmp(&queue)) {
            Ok(at) => at,
            Err(at) => {
                let row = QueueLoss {
                    queue,
                    ..QueueLoss::default()
                };
                rows.insert(at, row);
                at
            }
        };
        rows[at].add(timeline);
    }
    rows
}

/// Sums up the activities of jobs by windows of `window` milliseconds, sorted by time. Windows
/// without an activity are left out; `window` must not be 0.
pub fn by_window(timelines: &[JobTimeline], window: u64) -> Vec<WindowLoss> {
    let mut rows: Vec<WindowLoss> = Vec::new();
    for span in timelines.iter().flat_map(|s| &s.spans) {
        let mut from = span.from;
        while from < span.to {
            let start = from - from % window;
            let to = span.to.min(start + window);
            let at = match rows.binary_search_by_key(&start, |r| r.from) {
                Ok(at) => at,
                Err(at) => {
                    let row = WindowLoss {
                        from: start,
                        ..WindowLoss::default()
                    };
                    rows.insert(at, row);
                    at
                }
            };
            rows[at].add(&Span { from, to, ..*span });
            from = to;
        }
    }
    rows
}

impl QueueLoss {
    fn add(&mut self, timeline: &JobTimeline) {
        self.jobs += 1;
        self.spent.add(&timeline.spent);
        let cause = Cause::of(timeline).name();
        match self.causes.binary_search_by(|c| c.cause.cmp(cause)) {
            Ok(at) => self.causes[at].jobs += 1,
            Err(at) => self.causes.insert(at, CauseCount { cause, jobs: 1 }),
        }
    }
}

impl WindowLoss {
    fn add(&mut self, span: &Span) {
        let sum = match span.activity {
            Activity::AtWork => &mut self.at_work,
            Activity::NoOwner => &mut self.no_owner,
            Activity::Waiting => &mut self.waiting,
        };
        *sum += span.to - span.from;
    }
}

/// Prints how all jobs in the logs spent their time, in windows of `window` milliseconds.
pub(crate) fn losses(paths: &[PathBuf], window: u64, as_json: bool) -> Result<(), CtlError> {
    let logs = CollectedLogs::read(paths)?;
    let timelines = logs.timelines();
    let (queues, windows) = (by_queue(&timelines), by_window(&timelines, window.max(1)));
    if as_json {
        let value = json!({
            "queues": queues, "windows": windows, "nodes": logs.nodes().len(),
            "foreign": logs.unparsed, "dropped": logs.dropped,
        });
        println!("{value}");
        return Ok(());
    }
    print_queues(&queues);
    println!();
    print_windows(&windows);
    println!();
    logs.print_summary();
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
        let most = row.causes.iter().max_by_key(|c| c.jobs);
        let most = most.map_or(String::new(), |c| format!("{} ({})", c.cause, c.jobs));
        table.add_row(vec![
            row.queue.to_string(),
            row.jobs.to_string(),
            seconds(spent.total),
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

fn print_windows(windows: &[WindowLoss]) {
    let start = windows.first().map_or(0, |t| t.from);
    let mut table = TextTable::new(&["FROM S", "AT WORK", "NO OWNER", "WAITING"]);
    for row in windows {
        table.add_row(vec![
            seconds(row.from - start),
            seconds(row.at_work),
            seconds(row.no_owner),
            seconds(row.waiting),
        ]);
    }
    table.print();
}
