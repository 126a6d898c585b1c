//! Workers of a simulation and their runs.

use std::sync::Arc;

use gorsespur_jobs::{
    Answer, Capacity, Ending, ReportedRun, RunEnd, StartOrder, Started, Stopped, TaskId,
    WorkerInfo, WorkerReport,
};

/// A run on a worker.
#[derive(Debug)]
pub struct Run {
    pub task: TaskId,
    pub number: u32,
    pub checkpoint: Arc<str>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Incarnation {
    pub id: Arc<str>,
    fence: u64,
    pub runs: Vec<Run>,
    finished: Vec<RunEnd>,
    next_end: u64,
    /// Tasks whose runs up to a number never start any more.
    blocked_runs: Vec<(TaskId, u32)>,
}

impl Incarnation {
    pub fn new(id: String) -> Incarnation {
        Incarnation {
            id: id.into(),
            fence: 0,
            runs: Vec::new(),
            finished: Vec::new(),
            next_end: 1,
            blocked_runs: Vec::new(),
        }
    }

    pub fn info(&self, at: usize) -> WorkerInfo {
        WorkerInfo {
            start_time: None,
            id: self.id.clone(),
            addr: format!("127.0.0.1:{}", 1000 + at).parse().expect("address"),
            service: "s".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: "r".into(),
            capacity: Capacity {
                cpu: 100_000,
                memory: 100_000,
                gpu: 0,
            },
            ready: true,
            remaining_ms: 0,
        }
    }

    pub fn start(&mut self, order: &StartOrder, fence: u64) -> Started {
        if fence < self.fence {
            return Started::Fenced;
        }
        self.fence = fence;
        let (task, number) = (order.task, order.run);
        if self
            .runs
            .iter()
            .any(|r| (r.task, r.number) == (task, number))
        {
            return Started::Done;
        }
        let blocked = self
            .blocked_runs
            .iter()
            .any(|b| b.0 == task && b.1 >= number);
        if blocked || self.runs.iter().any(|r| r.task == task) {
            return Started::Old;
        }
        self.runs.push(Run {
            task,
            number,
            checkpoint: order.checkpoint.clone(),
        });
        Started::Done
    }

    pub fn end(&mut self, at: usize, ending: Ending) {
        let run = self.runs.remove(at);
        self.blocked_runs.push((run.task, run.number));
        self.finished.push(RunEnd {
            number: self.next_end,
            task: run.task,
            run: run.number,
            ending,
            checkpoint: run.checkpoint,
        });
        self.next_end += 1;
    }

    pub fn stop(&mut self, task: TaskId, number: u32, fence: u64) -> Stopped {
        if fence < self.fence {
            return Stopped::Fenced;
        }
        self.fence = fence;
        self.blocked_runs.push((task, number));
        let at = self
            .runs
            .iter()
            .position(|r| (r.task, r.number) == (task, number));
        if let Some(at) = at {
            self.end(at, Ending::Stopped);
        }
        Stopped::Done
    }

    pub fn report(&mut self, clock: u64, observed: u64, fence: u64) -> Answer {
        if fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = fence;
        self.finished.retain(|e| e.number > observed);
        let rows = self.runs.iter().map(|r| ReportedRun {
            task: r.task,
            run: r.number,
            checkpoint: r.checkpoint.clone(),
            percent: 50,
            metric: None,
        });
        Answer::Report(WorkerReport {
            start_time: None,
            clock,
            running: rows.collect(),
            finished: self.finished.clone(),
        })
    }
}
