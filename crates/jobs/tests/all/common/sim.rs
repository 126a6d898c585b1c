//! A worker that follows the documented worker protocol.

use std::sync::Arc;

use super::checkpoints::Checkpoint;
use gorsespur_jobs::{
    Ending, Paced, ReportedRun, RunEnd, StartOrder, Started, Stopped, TaskId, WorkerReport,
};

/// Maximum number of ended runs in one report.
const MAX_REPORTED_ENDS: usize = 500;

/// Milliseconds for which a member of a gang waits for the other members.
const GANG_TIMEOUT_MS: u64 = 3000;

/// Maximum lease in milliseconds, counted from its arrival. Longer leases are cut to this.
const MAX_LEASE_MS: u64 = 10_000;

/// Work between two checkpoints of a run, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Milliseconds that a run takes to resume from a checkpoint.
const RESTORE_MS: u64 = 250;

/// Fault of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// No fault.
    Healthy,
    /// Each run fails after a tenth of its duration.
    FailsAll,
    /// Runs make no progress.
    Hangs,
    /// Runs take this many times as long.
    Slow(u64),
    /// Rejects every start as malformed.
    Rejects,
    /// Ignores changes of the pace.
    IgnoresPace,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct SimRun {
    pub task: TaskId,
    pub run: u32,
    /// Start of the run in virtual time.
    pub started_at: u64,
    pub work: u64,
    pub done: u64,
    /// Fraction of a millisecond of work beyond `done`, in ten-thousandths.
    pub remainder: u64,
    /// Work that was done when the run started, in milliseconds.
    pub initial: u64,
    /// When the run has resumed from its checkpoint and begins to work.
    pub ready_at: u64,
    pub checkpoints: bool,
    /// The last checkpoint and the work done by then. The text is empty if there is none.
    pub checkpoint: (Arc<str>, u64),
    pub long_running: bool,
    /// Number of members of the run's gang, if it belongs to one.
    pub gang: Option<u32>,
    /// Whether members of the gang are missing, so that the run makes no progress.
    pub blocked: bool,
    /// Whether all members of the gang have run at the same time.
    pub assembled: bool,
    /// Whether a member of the gang is done, which completes the whole gang.
    pub gang_done: bool,
    pub best_effort: bool,
    pub image: Option<Arc<str>>,
    pub latency_target: u64,
    pub pace: u32,
    pub stops_at: Option<u64>,
    pub size: (u64, u64),
    /// Time until which the run may overlap another run of its task, since no owner can prevent
    /// it.
    pub exempt_until: u64,
}

/// A simulated worker.
#[derive(Debug)]
pub struct SimWorker {
    pub id: Arc<str>,
    /// Start time of this incarnation, if the worker reports it.
    pub start_time: Option<u64>,
    pub port: u16,
    pub alive: bool,
    /// Whether the process has ended on a running machine, which refuses connections.
    pub process_down: bool,
    /// Whether the worker refuses connections although it runs.
    pub refusing: bool,
    /// When the next incarnation starts.
    pub restarts_at: Option<u64>,
    /// Whether the worker is cut off from the network.
    pub partitioned: bool,
    /// Delay of orders in milliseconds. Delayed orders are not answered.
    pub delay_ms: u64,
    pub mode: Mode,
    pub fence: u64,
    /// End of the lease on the worker's clock.
    pub deadline: u64,
    /// Rate of the worker's clock in percent of virtual time.
    pub rate: u64,
    pub clock_start: u64,
    /// Clock of the worker at `clock_start`, in milliseconds.
    pub uptime: u64,
    pub capacity: (u64, u64),
    /// The previous capacity, and when it changed.
    pub old_capacity: Option<((u64, u64), u64)>,
    /// Whether the worker refuses starts beyond its capacity.
    pub enforces_capacity: bool,
    pub runs: Vec<SimRun>,
    pub finished: Vec<RunEnd>,
    /// Checkpoints that were written since the last step.
    pub new_checkpoints: Vec<Checkpoint>,
    /// Tasks whose runs up to a number never start any more.
    pub blocked_runs: Vec<(TaskId, u32)>,
    next_end: u64,
    /// Tail latencies of serving tasks in percent of their targets, one for each half second,
    /// repeated. Computed if empty.
    pub tail_percents: Vec<u64>,
    /// Growth of the logarithm of the tail latency for each core of best-effort work.
    pub tail_growth: f64,
    /// Whether tail latencies grow as in a queue, under a load that varies by job.
    pub queueing: bool,
    /// Headroom that a core of the image "heavy" takes if `queueing` is set.
    pub heavy_cost: f64,
    /// Headroom that a core of any other best-effort image takes.
    pub light_cost: f64,
    /// Duration of each task that is not long-running, in milliseconds. The estimate of its step
    /// if none.
    pub task_ms: Option<u64>,
    /// Whether best-effort runs share the CPU that other runs leave.
    pub shares_cpu: bool,
    /// Share of runs that fail half-way by the fault of their task, in percent.
    pub failure_percent: u64,
    /// Well-formed starts that the worker rejected as malformed.
    pub rejected: Vec<(TaskId, Arc<str>)>,
    /// Number of changes of the pace that the worker ignored.
    pub ignored_paces: u64,
}

impl SimWorker {
    pub fn new(id: &str, now: u64, rate: u64) -> SimWorker {
        SimWorker {
            id: id.into(),
            start_time: None,
            port: 0,
            alive: true,
            process_down: false,
            refusing: false,
            restarts_at: None,
            partitioned: false,
            delay_ms: 0,
            mode: Mode::Healthy,
            fence: 0,
            deadline: 0,
            rate,
            clock_start: now,
            uptime: 7000,
            capacity: (8000, 16000),
            old_capacity: None,
            enforces_capacity: true,
            runs: Vec::new(),
            finished: Vec::new(),
            new_checkpoints: Vec::new(),
            blocked_runs: Vec::new(),
            next_end: 1,
            tail_percents: Vec::new(),
            tail_growth: 0.0,
            queueing: false,
            heavy_cost: 0.5,
            light_cost: 0.0,
            task_ms: None,
            shares_cpu: false,
            failure_percent: 0,
            rejected: Vec::new(),
            ignored_paces: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        self.uptime + (now - self.clock_start) * self.rate / 100
    }

    /// Ends the process and all its runs. The next incarnation starts at `returns`.
    pub fn crash(&mut self, restarts_at: u64) {
        self.alive = false;
        self.process_down = true;
        self.restarts_at = Some(restarts_at);
        self.runs.clear();
        self.finished.clear();
    }

    fn extend_lease(&mut self, now: u64, deadline: Option<u64>) {
        let longest = self.clock(now) + MAX_LEASE_MS;
        self.deadline = self.deadline.max(deadline.unwrap_or(0).min(longest));
    }

    /// Writes a checkpoint of a run.
    fn write_checkpoint(&mut self, at: usize) {
        let run = &mut self.runs[at];
        let checkpoint = Checkpoint {
            task: run.task,
            run: run.run,
            incarnation: format!("{}{:?}", self.id, self.start_time).into(),
            progress_ms: run.done,
        };
        run.checkpoint = (checkpoint.text(), run.done);
        self.new_checkpoints.push(checkpoint);
    }

    fn end(&mut self, at: usize, ending: Ending) {
        if ending == Ending::Stopped && self.runs[at].checkpoints && self.runs[at].done > 0 {
            self.write_checkpoint(at);
        }
        let run = self.runs.remove(at);
        self.blocked_runs.push((run.task, run.run));
        self.finished.push(RunEnd {
            number: self.next_end,
            task: run.task,
            run: run.run,
            ending,
            checkpoint: run.checkpoint.0,
        });
        self.next_end += 1;
    }

    /// Works for `ms` until `now`, and ends the runs that lapse, are stopped, fail or are done.
    pub fn advance(&mut self, now: u64, ms: u64) {
        let lapsed = self.clock(now) > self.deadline;
        let speed = self.best_effort_speed(now);
        let mut at = 0;
        while at < self.runs.len() {
            let mode = self.mode;
            let run = &mut self.runs[at];
            run.done += match mode {
                Mode::Hangs => 0,
                _ if run.blocked || now <= run.ready_at => 0,
                Mode::Slow(times) => ms / times,
                _ if run.best_effort => {
                    let work = ms * u64::from(run.pace) * speed + run.remainder;
                    run.remainder = work % 10_000;
                    work / 10_000
                }
                _ => ms * u64::from(run.pace) / 100,
            };
            if run.checkpoints && run.done >= run.checkpoint.1 + CHECKPOINT_INTERVAL_MS {
                self.write_checkpoint(at);
            }
            let run = &self.runs[at];
            let ending = match () {
                () if lapsed => Some(Ending::Lapsed),
                () if run.gang_done => Some(Ending::Done),
                () if run.blocked && run.assembled => Some(Ending::Broken),
                () if run.blocked && now > run.started_at + GANG_TIMEOUT_MS => Some(Ending::Alone),
                () if run.stops_at.is_some_and(|t| t <= now) => Some(Ending::Stopped),
                () if mode == Mode::FailsAll && (run.done - run.initial) * 10 >= run.work => {
                    Some(Ending::Failed)
                }
                () if run.done * 2 >= run.work && has_failed(run, self.failure_percent) => {
                    Some(Ending::Failed)
                }
                () if !run.long_running && run.done >= run.work => Some(Ending::Done),
                () => None,
            };
            match ending {
                Some(ending) => self.end(at, ending),
                None => at += 1,
            }
        }
    }

    pub fn report(
        &mut self,
        now: u64,
        fence: u64,
        observed: u64,
        deadline: Option<u64>,
    ) -> Option<WorkerReport> {
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        self.extend_lease(now, deadline);
        self.finished.retain(|e| e.number > observed);
        let running = self.runs.iter().map(|r| ReportedRun {
            task: r.task,
            run: r.run,
            checkpoint: r.checkpoint.0.clone(),
            percent: match r.long_running {
                true => 100,
                false => (r.done * 100 / r.work.max(1)).min(99) as u32,
            },
            metric: Some(self.metric(now, r)),
        });
        Some(WorkerReport {
            start_time: self.start_time,
            clock: self.clock(now),
            running: running.collect(),
            finished: self
                .finished
                .iter()
                .take(MAX_REPORTED_ENDS)
                .cloned()
                .collect(),
        })
    }

    fn metric(&self, now: u64, run: &SimRun) -> u64 {
        if run.latency_target == 0 {
            return run.size.0 * u64::from(run.pace) / 100;
        }
        let best_effort_runs = self.runs.iter().filter(|r| r.best_effort);
        let cores: f64 = best_effort_runs
            .map(|r| r.size.0 as f64 * f64::from(r.pace) / 1e5)
            .sum();
        if !self.tail_percents.is_empty() {
            let at = (now / 500) as usize % self.tail_percents.len();
            return run.latency_target * self.tail_percents[at] / 100;
        }
        if self.queueing {
            let tail = run.latency_target as f64 / self.headroom(now, run);
            return (tail * noise(now, run.task)) as u64;
        }
        (run.latency_target as f64 * 0.4 * (self.tail_growth * cores).exp()) as u64
    }

    /// Returns the speed of best-effort runs, in percent.
    fn best_effort_speed(&self, now: u64) -> u64 {
        if !self.shares_cpu {
            return 100;
        }
        let (mut left, mut requested) = (self.capacity.0 as f64, 0.0);
        for run in &self.runs {
            match run.best_effort {
                true => requested += run.size.0 as f64 * f64::from(run.pace) / 100.0,
                false if run.latency_target > 0 => left -= run.size.0 as f64 * load(now, run),
                false => left -= run.size.0 as f64,
            }
        }
        (left.max(0.0) / requested.max(1.0) * 100.0).min(100.0) as u64
    }

    /// Returns the latency target of a serving run divided by its tail latency. Without
    /// interference the quotient is between 1.7 and 4.6.
    pub fn headroom(&self, now: u64, run: &SimRun) -> f64 {
        let mut headroom = 6.0 * (1.0 - load(now, run));
        for other in self.runs.iter().filter(|r| r.best_effort) {
            let weight = match other.image.as_deref() {
                Some("heavy") => self.heavy_cost,
                _ => self.light_cost,
            };
            headroom -= weight * other.size.0 as f64 * f64::from(other.pace) / 1e5;
        }
        headroom.max(0.1)
    }

    /// Starts the run of an order; `progress` is the work at the checkpoint of the order.
    pub fn start(&mut self, now: u64, fence: u64, order: &StartOrder, progress: u64) -> Started {
        if fence < self.fence {
            return Started::Fenced;
        }
        self.fence = fence;
        self.extend_lease(now, Some(order.deadline));
        let same = |r: &SimRun| r.task == order.task && r.run == order.run;
        if self.runs.iter().any(same) {
            return Started::Done;
        }
        let blocked = |b: &(TaskId, u32)| b.0 == order.task && b.1 >= order.run;
        if self.blocked_runs.iter().any(blocked) {
            return Started::Old;
        }
        if self.clock(now) > order.deadline {
            return Started::NoRoom;
        }
        let step = &order.spec.steps[order.task.step as usize];
        let size = (if step.best_effort { 0 } else { step.cpu }, step.memory);
        let used = self.used();
        let is_over = used.0 + size.0 > self.capacity.0 || used.1 + size.1 > self.capacity.1;
        if is_over && self.enforces_capacity {
            return Started::NoRoom;
        }
        let restores = !order.checkpoint.is_empty();
        self.runs.push(SimRun {
            task: order.task,
            run: order.run,
            started_at: now,
            work: self.task_ms.unwrap_or(step.estimate).max(1),
            done: progress,
            remainder: 0,
            initial: progress,
            ready_at: if restores { now + RESTORE_MS } else { now },
            checkpoints: step.checkpoints,
            checkpoint: (order.checkpoint.clone(), progress),
            long_running: step.long_running,
            gang: step.gang.then_some(step.count),
            blocked: false,
            assembled: false,
            gang_done: false,
            best_effort: step.best_effort,
            image: step.image.clone(),
            latency_target: step.latency_target,
            pace: 100,
            stops_at: None,
            size: (step.cpu, step.memory),
            exempt_until: 0,
        });
        Started::Done
    }

    /// Returns the CPU and memory of all runs, including those that are being stopped.
    pub fn used(&self) -> (u64, u64) {
        self.runs.iter().fold((0, 0), |u, r| {
            let cpu = if r.best_effort { 0 } else { r.size.0 };
            (u.0 + cpu, u.1 + r.size.1)
        })
    }

    /// Changes the capacity of the worker.
    pub fn resize(&mut self, capacity: (u64, u64), now: u64) {
        self.old_capacity = Some((self.capacity, now));
        self.capacity = capacity;
    }

    /// Returns whether the runs exceed the capacity. Capacity that was taken away counts for
    /// `grace` milliseconds more.
    pub fn is_overcommitted(&self, now: u64, grace: u64) -> bool {
        let (mut capacity, used) = (self.capacity, self.used());
        if let Some((before, _)) = self.old_capacity.filter(|(_, at)| now <= at + grace) {
            capacity = (capacity.0.max(before.0), capacity.1.max(before.1));
        }
        used.0 > capacity.0 || used.1 > capacity.1
    }

    pub fn stop(&mut self, now: u64, fence: u64, task: TaskId, run: u32) -> Stopped {
        if fence < self.fence {
            return Stopped::Fenced;
        }
        self.fence = fence;
        self.blocked_runs.push((task, run));
        let found = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        if let Some(found) = found {
            found.stops_at.get_or_insert(now + 200);
        }
        Stopped::Done
    }

    pub fn pace(&mut self, fence: u64, task: TaskId, run: u32, percent: u32) -> Paced {
        if self.mode == Mode::IgnoresPace {
            self.ignored_paces += 1;
            return Paced::Refused;
        }
        if fence < self.fence {
            return Paced::Refused;
        }
        self.fence = fence;
        let found = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        match found {
            Some(run) => {
                run.pace = percent;
                Paced::Done
            }
            None => Paced::Refused,
        }
    }
}

/// Returns the share of its requested CPU that a serving run uses.
fn load(now: u64, run: &SimRun) -> f64 {
    let phase = now as f64 / 10_000.0 + run.task.job.0 as f64 / 7.0;
    0.48 + 0.24 * (phase * std::f64::consts::TAU).sin()
}

/// Returns whether a run fails by the fault of its task, by a hash of its name.
fn has_failed(run: &SimRun, percent: u64) -> bool {
    let name = run.task.job.0 << 32 ^ u64::from(run.task.index) << 8 ^ u64::from(run.run);
    let hash = name.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    !run.long_running && hash % 100 < percent
}

/// Returns a factor between 0.9 and 1.1 that varies a metric, by a hash of task and time.
fn noise(now: u64, task: TaskId) -> f64 {
    let hash =
        (now ^ task.job.0 << 20 ^ u64::from(task.index) << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    0.9 + 0.2 * (hash >> 32) as f64 / f64::from(u32::MAX)
}
