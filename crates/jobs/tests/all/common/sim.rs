//! A worker as the users' pages describe one.

use std::sync::Arc;

use super::checkpoints::Checkpoint;
use gorsespur_jobs::{
    Ending, ReportedRun, RunEnd, StartOrder, Started, Stopped, TaskId, WorkerReport,
};

/// Ends that one answer holds at most.
const FULL_LIST: usize = 500;

/// A member of a gang waits for the others for this long, in milliseconds.
const GANG_WAIT: u64 = 3000;

/// A lease that would last longer from its arrival on is cut to this, in milliseconds.
const LONGEST_LEASE: u64 = 10_000;

/// Work after which a run that saves its progress writes a checkpoint, in milliseconds.
const CHECKPOINT: u64 = 500;

/// Milliseconds that a run takes to go on from a checkpoint.
const RESTORE: u64 = 250;

/// What is wrong with a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Nothing.
    Well,
    /// Whatever it starts fails after a tenth of its time.
    FailsAll,
    /// What it runs makes no progress.
    Hangs,
    /// What it runs takes so many times as long.
    Slow(u64),
    /// It calls every start malformed.
    Rejects,
    /// It takes no order for a pace.
    KeepsPace,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct SimRun {
    pub task: TaskId,
    pub run: u32,
    /// When it began, by the world's clock.
    pub begun: u64,
    pub work: u64,
    pub done: u64,
    /// Ten-thousandths of a millisecond beyond that.
    pub rest: u64,
    /// What had been done when it began.
    pub first: u64,
    /// When it works: it goes on from a checkpoint before.
    pub ready: u64,
    pub saves: bool,
    /// The last checkpoint and what had been done by then; empty for none.
    pub saved: (Arc<str>, u64),
    pub lasting: bool,
    /// Members that its gang has; none if it belongs to none.
    pub gang: Option<u32>,
    /// Whether members of its gang are missing: it does no work meanwhile.
    pub waits: bool,
    /// Whether all members of its gang have been there.
    pub joined: bool,
    /// Whether a member of its gang is done, which stands for all.
    pub joint: bool,
    pub fill: bool,
    pub image: Option<Arc<str>>,
    pub target: u64,
    pub pace: u32,
    pub stops: Option<u64>,
    pub size: (u64, u64),
    /// Until when no owner can help that it runs.
    pub excused: u64,
}

/// A worker.
#[derive(Debug)]
pub struct SimWorker {
    pub id: Arc<str>,
    /// When this life began, if it says so.
    pub born: Option<u64>,
    pub port: u16,
    pub alive: bool,
    /// Whether its process has ended on a machine that is up: it refuses connections.
    pub absent: bool,
    /// Whether it refuses connections though it runs on.
    pub deaf: bool,
    /// When its next life begins.
    pub returns: Option<u64>,
    /// Nobody reaches it, and it reaches nobody.
    pub cut: bool,
    /// Orders are carried out this much later and not answered, in milliseconds.
    pub late: u64,
    pub mode: Mode,
    pub fence: u64,
    /// End of its lease on its own clock.
    pub deadline: u64,
    /// Its clock runs at this rate, in percent, and began at an odd time.
    pub rate: u64,
    pub begun: u64,
    /// What its clock showed then, in milliseconds.
    pub uptime: u64,
    pub room: (u64, u64),
    /// What it could hold before its room changed, and when that was.
    pub roomier: Option<((u64, u64), u64)>,
    /// Whether it refuses what goes beyond its room.
    pub guards: bool,
    pub runs: Vec<SimRun>,
    pub ends: Vec<RunEnd>,
    /// Checkpoints that it wrote of late.
    pub written: Vec<Checkpoint>,
    /// Runs at or below these never begin any more.
    pub barred: Vec<(TaskId, u32)>,
    next: u64,
    /// Tails of serving tasks in percent of their targets, one
    /// each half second in turn; computed if empty.
    pub tails: Vec<u64>,
    /// Logarithm by which a core of what fills lengthens tails here.
    pub press: f64,
    /// Whether tails grow as in a queue, where the load of a job swings.
    pub queues: bool,
    /// Headroom that a core of the image "heavy" takes then.
    pub heavy: f64,
    /// Headroom that a core of any other image that fills takes.
    pub light: f64,
    /// Time that every task takes that does not last, whatever its caller guessed;
    /// none for what was guessed.
    pub length: Option<u64>,
    /// Whether what fills shares the processors that others leave.
    pub shares: bool,
    /// Runs of a hundred that fail half-way by their task's own fault.
    pub flaky: u64,
    /// Starts that it called malformed though nothing was wrong with them.
    pub rejected: Vec<(TaskId, Arc<str>)>,
    /// Orders for a pace that it did not take.
    pub paces: u64,
}

impl SimWorker {
    pub fn new(id: &str, now: u64, rate: u64) -> SimWorker {
        SimWorker {
            id: id.into(),
            born: None,
            port: 0,
            alive: true,
            absent: false,
            deaf: false,
            returns: None,
            cut: false,
            late: 0,
            mode: Mode::Well,
            fence: 0,
            deadline: 0,
            rate,
            begun: now,
            uptime: 7000,
            room: (8000, 16000),
            roomier: None,
            guards: true,
            runs: Vec::new(),
            ends: Vec::new(),
            written: Vec::new(),
            barred: Vec::new(),
            next: 1,
            tails: Vec::new(),
            press: 0.0,
            queues: false,
            heavy: 0.5,
            light: 0.0,
            length: None,
            shares: false,
            flaky: 0,
            rejected: Vec::new(),
            paces: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        self.uptime + (now - self.begun) * self.rate / 100
    }

    /// Its process ends, and with it all that runs; another life begins at `returns`.
    pub fn crash(&mut self, returns: u64) {
        self.alive = false;
        self.absent = true;
        self.returns = Some(returns);
        self.runs.clear();
        self.ends.clear();
    }

    fn grant(&mut self, now: u64, deadline: Option<u64>) {
        let longest = self.clock(now) + LONGEST_LEASE;
        self.deadline = self.deadline.max(deadline.unwrap_or(0).min(longest));
    }

    /// Writes a checkpoint of a run.
    fn save(&mut self, at: usize) {
        let run = &mut self.runs[at];
        let checkpoint = Checkpoint {
            task: run.task,
            run: run.run,
            life: format!("{}{:?}", self.id, self.born).into(),
            progress: run.done,
        };
        run.saved = (checkpoint.text(), run.done);
        self.written.push(checkpoint);
    }

    fn end(&mut self, at: usize, ending: Ending) {
        if ending == Ending::Stopped && self.runs[at].saves && self.runs[at].done > 0 {
            self.save(at);
        }
        let run = self.runs.remove(at);
        self.barred.push((run.task, run.run));
        self.ends.push(RunEnd {
            number: self.next,
            task: run.task,
            run: run.run,
            ending,
            checkpoint: run.saved.0,
        });
        self.next += 1;
    }

    /// Works for `ms` until `now`; ends what lapses, stops, fails or is done.
    pub fn advance(&mut self, now: u64, ms: u64) {
        let lapsed = self.clock(now) > self.deadline;
        let speed = self.fill_speed(now);
        let mut at = 0;
        while at < self.runs.len() {
            let mode = self.mode;
            let run = &mut self.runs[at];
            run.done += match mode {
                Mode::Hangs => 0,
                _ if run.waits || now <= run.ready => 0,
                Mode::Slow(times) => ms / times,
                _ if run.fill => {
                    let gained = ms * u64::from(run.pace) * speed + run.rest;
                    run.rest = gained % 10_000;
                    gained / 10_000
                }
                _ => ms * u64::from(run.pace) / 100,
            };
            if run.saves && run.done >= run.saved.1 + CHECKPOINT {
                self.save(at);
            }
            let run = &self.runs[at];
            let ending = match () {
                () if lapsed => Some(Ending::Lapsed),
                () if run.joint => Some(Ending::Done),
                () if run.waits && run.joined => Some(Ending::Broken),
                () if run.waits && now > run.begun + GANG_WAIT => Some(Ending::Alone),
                () if run.stops.is_some_and(|t| t <= now) => Some(Ending::Stopped),
                () if mode == Mode::FailsAll && (run.done - run.first) * 10 >= run.work => {
                    Some(Ending::Failed)
                }
                () if run.done * 2 >= run.work && fails(run, self.flaky) => Some(Ending::Failed),
                () if !run.lasting && run.done >= run.work => Some(Ending::Done),
                () => None,
            };
            match ending {
                Some(ending) => self.end(at, ending),
                None => at += 1,
            }
        }
    }

    pub fn look(
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
        self.grant(now, deadline);
        self.ends.retain(|e| e.number > observed);
        let running = self.runs.iter().map(|r| ReportedRun {
            task: r.task,
            run: r.run,
            checkpoint: r.saved.0.clone(),
            percent: match r.lasting {
                true => 100,
                false => (r.done * 100 / r.work.max(1)).min(99) as u32,
            },
            metric: Some(self.figure(now, r)),
        });
        Some(WorkerReport {
            start_time: self.born,
            clock: self.clock(now),
            running: running.collect(),
            finished: self.ends.iter().take(FULL_LIST).cloned().collect(),
        })
    }

    fn figure(&self, now: u64, run: &SimRun) -> u64 {
        if run.target == 0 {
            return run.size.0 * u64::from(run.pace) / 100;
        }
        let fills = self.runs.iter().filter(|r| r.fill);
        let cores: f64 = fills
            .map(|r| r.size.0 as f64 * f64::from(r.pace) / 1e5)
            .sum();
        if !self.tails.is_empty() {
            let at = (now / 500) as usize % self.tails.len();
            return run.target * self.tails[at] / 100;
        }
        if self.queues {
            let tail = run.target as f64 / self.headroom(now, run);
            return (tail * rough(now, run.task)) as u64;
        }
        (run.target as f64 * 0.4 * (self.press * cores).exp()) as u64
    }

    /// Returns the speed of what fills, in percent.
    fn fill_speed(&self, now: u64) -> u64 {
        if !self.shares {
            return 100;
        }
        let (mut left, mut asked) = (self.room.0 as f64, 0.0);
        for run in &self.runs {
            match run.fill {
                true => asked += run.size.0 as f64 * f64::from(run.pace) / 100.0,
                false if run.target > 0 => left -= run.size.0 as f64 * load(now, run),
                false => left -= run.size.0 as f64,
            }
        }
        (left.max(0.0) / asked.max(1.0) * 100.0).min(100.0) as u64
    }

    /// Target over tail of a serving run: at most 4.6 and at least 1.7 if nothing
    /// disturbs it.
    pub fn headroom(&self, now: u64, run: &SimRun) -> f64 {
        let mut headroom = 6.0 * (1.0 - load(now, run));
        for fill in self.runs.iter().filter(|r| r.fill) {
            let weight = match fill.image.as_deref() {
                Some("heavy") => self.heavy,
                _ => self.light,
            };
            headroom -= weight * fill.size.0 as f64 * f64::from(fill.pace) / 1e5;
        }
        headroom.max(0.1)
    }

    /// Begins what an order says; `progress` is the work at the checkpoint that it brings.
    pub fn start(&mut self, now: u64, fence: u64, order: &StartOrder, progress: u64) -> Started {
        if fence < self.fence {
            return Started::Fenced;
        }
        self.fence = fence;
        self.grant(now, Some(order.deadline));
        let same = |r: &SimRun| r.task == order.task && r.run == order.run;
        if self.runs.iter().any(same) {
            return Started::Done;
        }
        let barred = |b: &(TaskId, u32)| b.0 == order.task && b.1 >= order.run;
        if self.barred.iter().any(barred) {
            return Started::Old;
        }
        if self.clock(now) > order.deadline {
            return Started::NoRoom;
        }
        let step = &order.spec.steps[order.task.step as usize];
        let size = (if step.best_effort { 0 } else { step.cpu }, step.memory);
        let used = self.used();
        let over = used.0 + size.0 > self.room.0 || used.1 + size.1 > self.room.1;
        if over && self.guards {
            return Started::NoRoom;
        }
        let restores = !order.checkpoint.is_empty();
        self.runs.push(SimRun {
            task: order.task,
            run: order.run,
            begun: now,
            work: self.length.unwrap_or(step.estimate).max(1),
            done: progress,
            rest: 0,
            first: progress,
            ready: if restores { now + RESTORE } else { now },
            saves: step.checkpoints,
            saved: (order.checkpoint.clone(), progress),
            lasting: step.long_running,
            gang: step.gang.then_some(step.count),
            waits: false,
            joined: false,
            joint: false,
            fill: step.best_effort,
            image: step.image.clone(),
            target: step.latency_target,
            pace: 100,
            stops: None,
            size: (step.cpu, step.memory),
            excused: 0,
        });
        Started::Done
    }

    /// What its runs take up, also those that are being stopped.
    pub fn used(&self) -> (u64, u64) {
        self.runs.iter().fold((0, 0), |u, r| {
            let cpu = if r.fill { 0 } else { r.size.0 };
            (u.0 + cpu, u.1 + r.size.1)
        })
    }

    /// Has it hold another amount from now on.
    pub fn resize(&mut self, room: (u64, u64), now: u64) {
        self.roomier = Some((self.room, now));
        self.room = room;
    }

    /// Tells whether it holds more than it may: room that has shrunk counts for `grace`
    /// milliseconds more.
    pub fn is_over(&self, now: u64, grace: u64) -> bool {
        let (mut room, used) = (self.room, self.used());
        if let Some((before, _)) = self.roomier.filter(|(_, at)| now <= at + grace) {
            room = (room.0.max(before.0), room.1.max(before.1));
        }
        used.0 > room.0 || used.1 > room.1
    }

    pub fn stop(&mut self, now: u64, fence: u64, task: TaskId, run: u32) -> Stopped {
        if fence < self.fence {
            return Stopped::Fenced;
        }
        self.fence = fence;
        self.barred.push((task, run));
        let found = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        if let Some(found) = found {
            found.stops.get_or_insert(now + 200);
        }
        Stopped::Done
    }

    pub fn pace(&mut self, task: TaskId, run: u32, percent: u32) -> bool {
        if self.mode == Mode::KeepsPace {
            self.paces += 1;
            return false;
        }
        let found = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        found.map(|r| r.pace = percent).is_some()
    }
}

/// Returns what share of the processors that it asks for a serving run uses.
fn load(now: u64, run: &SimRun) -> f64 {
    let turn = now as f64 / 10_000.0 + run.task.job.0 as f64 / 7.0;
    0.48 + 0.24 * (turn * std::f64::consts::TAU).sin()
}

/// Tells whether a run fails by its task's own fault, by an order without pattern.
fn fails(run: &SimRun, percent: u64) -> bool {
    let name = run.task.job.0 << 32 ^ u64::from(run.task.index) << 8 ^ u64::from(run.run);
    let mixed = name.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    !run.lasting && mixed % 100 < percent
}

/// Returns what a figure is off by: up to a tenth, by an order without pattern.
fn rough(now: u64, task: TaskId) -> f64 {
    let mixed =
        (now ^ task.job.0 << 20 ^ u64::from(task.index) << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    0.9 + 0.2 * (mixed >> 32) as f64 / f64::from(u32::MAX)
}
