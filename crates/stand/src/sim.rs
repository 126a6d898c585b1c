//! A worker without I/O or a clock of its own.
//!
//! It refuses what breaks the contract: an older epoch or exchange, a start
//! whose lease would have lapsed, a start without room.

use std::{collections::VecDeque, sync::Arc};

use gorsespur_core::{
    Millis,
    name::Name,
    shard::{
        AttemptId, EndReport, ExchangeRefusal, Sample, StartOrder, WorkerAnswer, WorkerEnd,
        WorkerRequest,
    },
    size::Size,
};

use crate::{Checkpoints, Entry, Ledger, Slowdown, What, WorkerFaults};

/// Settings of a worker.
#[derive(Debug, Clone)]
pub struct SimSettings {
    /// Name.
    pub name: Name,
    /// What it holds.
    pub size: Size,
    /// Time between two measurements.
    pub period: Millis,
    /// Lag of measurements.
    pub lag: Millis,
    /// Hidden slowdowns.
    pub slowdown: Slowdown,
}

#[derive(Debug, Clone)]
struct Run {
    order: StartOrder,
    lease_end: Millis,
    percent: u32,
    progress: f64,
}

/// A worker.
pub struct SimWorker {
    settings: SimSettings,
    ledger: Arc<Ledger>,
    checkpoints: Arc<dyn Checkpoints>,
    faults: WorkerFaults,
    boot: u64,
    clock: Millis,
    shard: Option<Name>,
    epoch: u64,
    seq: u64,
    runs: Vec<Run>,
    ended: Vec<EndReport>,
    samples: VecDeque<(Millis, Sample)>,
    sampled: Millis,
    running_then: Vec<(AttemptId, u32)>,
    slows: Vec<f64>,
    late: Millis,
}

impl SimWorker {
    /// Returns a worker that runs nothing; `boot` differs from start to start.
    pub fn new(
        settings: SimSettings,
        boot: u64,
        ledger: Arc<Ledger>,
        checkpoints: Arc<dyn Checkpoints>,
    ) -> SimWorker {
        let worker = SimWorker {
            settings,
            ledger,
            checkpoints,
            faults: WorkerFaults::default(),
            boot,
            clock: 0,
            shard: None,
            epoch: 0,
            seq: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            samples: VecDeque::new(),
            sampled: 0,
            running_then: Vec::new(),
            slows: Vec::new(),
            late: 0,
        };
        worker.note(What::Boot, "", "", false);
        worker
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> &WorkerFaults {
        &self.faults
    }

    /// Replaces the hidden slowdowns.
    pub fn set_slowdown(&mut self, slowdown: Slowdown) {
        self.settings.slowdown = slowdown;
        self.running_then.clear();
    }

    /// Returns what is reserved.
    pub fn used(&self) -> Size {
        let mut used = Size::default();
        for r in &self.runs {
            used = used.saturating_add(&r.order.size);
        }
        used
    }

    /// Tells whether a replica of a service runs here.
    pub fn serves(&self, kind: &str) -> bool {
        self.runs
            .iter()
            .any(|r| r.order.service && *r.order.kind == *kind)
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the present slowdown of a service; 1 is not slowed.
    pub fn service_slowdown(&self, kind: &str) -> f64 {
        let load = self.load();
        let mut skipped = false;
        let others = self.runs.iter().filter(|r| {
            let me = r.order.service && *r.order.kind == *kind && !skipped;
            skipped |= me;
            !me
        });
        let others = others.map(|r| (&*r.order.kind, r.percent));
        self.settings.slowdown.total(kind, others, load)
    }

    fn load(&self) -> f64 {
        self.used().load(&self.settings.size)
    }

    /// Lets time pass up to `clock` on the worker's own clock.
    pub fn advance(&mut self, clock: Millis) {
        let passed = clock.saturating_sub(self.clock);
        self.clock = self.clock.max(clock);
        self.lapse();
        self.progress(passed);
        self.measure();
    }

    /// Ends what lapsed up to `clock`, before the worker is killed in a pause.
    pub fn settle(&mut self, clock: Millis) {
        self.clock = self.clock.max(clock);
        self.lapse();
    }

    /// Handles an exchange.
    pub fn exchange(&mut self, clock: Millis, req: &WorkerRequest) -> WorkerAnswer {
        self.advance(clock);
        if let Some(reason) = self.refusal(req) {
            return self.answer(req.seq, Some(reason));
        }
        self.shard = Some(req.shard.clone());
        self.epoch = req.epoch;
        self.seq = req.seq;
        let known = req.boot == self.boot && req.echo > 0;
        self.ended.retain(|e| !req.acks.contains(&e.attempt));
        if known && req.renew {
            self.renew(req);
        }
        self.stop_all(req);
        if known {
            self.start_all(req);
        }
        for t in &req.throttles {
            let found = self.runs.iter_mut().find(|r| r.order.attempt == t.attempt);
            if let Some(r) = found {
                r.percent = t.cpu_percent.clamp(1, 100);
            }
        }
        self.answer(req.seq, None)
    }

    fn refusal(&mut self, req: &WorkerRequest) -> Option<ExchangeRefusal> {
        if self.shard.as_ref().is_some_and(|s| *s != req.shard) {
            if !self.runs.is_empty() || !self.ended.is_empty() {
                return Some(ExchangeRefusal::OtherShard);
            }
            self.epoch = 0;
        }
        if req.epoch < self.epoch {
            return Some(ExchangeRefusal::OldEpoch);
        }
        if req.epoch > self.epoch {
            self.seq = 0;
        }
        (req.seq <= self.seq).then_some(ExchangeRefusal::OldSeq)
    }

    fn renew(&mut self, req: &WorkerRequest) {
        let end = req.echo + req.lease;
        for r in &mut self.runs {
            if !req.lapse.contains(&r.order.attempt) {
                r.lease_end = r.lease_end.max(end);
            }
        }
    }

    fn start_all(&mut self, req: &WorkerRequest) {
        for order in &req.starts {
            let id = order.attempt;
            let running = self.runs.iter().any(|r| r.order.attempt == id);
            if running || self.ended.iter().any(|e| e.attempt == id) {
                continue;
            }
            let room = self.settings.size.saturating_sub(&self.used());
            if req.echo + req.lease <= self.clock {
                self.end(id, WorkerEnd::Refused);
                self.note(What::Stale, &order.name, &id.to_string(), order.service);
            } else if !order.size.fits_in(&room) {
                self.end(id, WorkerEnd::Refused);
                self.note(What::NoRoom, &order.name, &id.to_string(), order.service);
            } else {
                self.start(order, req.echo + req.lease);
            }
        }
    }

    fn start(&mut self, order: &StartOrder, lease_end: Millis) {
        let progress = order
            .resume
            .as_ref()
            .map_or(0, |k| self.checkpoints.load(k));
        self.note(
            What::Start,
            &order.name,
            &order.attempt.to_string(),
            order.service,
        );
        self.runs.push(Run {
            order: order.clone(),
            lease_end,
            percent: 100,
            progress: progress as f64,
        });
        let kind = self.faults.fail_kinds.iter().any(|k| **k == *order.kind);
        if !order.service && (self.faults.fail_all || kind) {
            self.finish(self.runs.len() - 1, WorkerEnd::Failed, What::Failed);
        }
    }

    fn stop_all(&mut self, req: &WorkerRequest) {
        for order in &req.stops {
            let found = self
                .runs
                .iter()
                .position(|r| r.order.attempt == order.attempt);
            let Some(i) = found else { continue };
            self.stop(i, order.save);
        }
    }

    fn stop(&mut self, i: usize, save: bool) {
        let r = &self.runs[i];
        let key = r.order.checkpoint.clone().filter(|_| save);
        let saved = key.is_some_and(|k| self.checkpoints.save(&k, r.progress as u64));
        let what = if saved { What::Saved } else { What::Stopped };
        self.finish(i, WorkerEnd::Stopped { saved }, what);
    }

    /// Stops the tasks whose leases lapsed.
    ///
    /// A worker that was paused with its tasks notices late; nothing ran in
    /// between, so that the ledger gets the end of the lease.
    fn lapse(&mut self) {
        let mut i = 0;
        while i < self.runs.len() {
            if self.runs[i].lease_end > self.clock {
                i += 1;
                continue;
            }
            let late = self.clock - self.runs[i].lease_end;
            self.late = late;
            self.stop(i, true);
            self.late = 0;
        }
    }

    fn progress(&mut self, passed: Millis) {
        self.refresh();
        for (r, slow) in self.runs.iter_mut().zip(&self.slows) {
            r.progress += passed as f64 * f64::from(r.percent) / 100.0 / slow;
        }
        let mut i = 0;
        while i < self.runs.len() {
            let r = &self.runs[i];
            if r.order.run_time == 0 || r.progress < r.order.run_time as f64 {
                i += 1;
                continue;
            }
            self.finish(i, WorkerEnd::Done, What::Done);
        }
    }

    /// Works the slowdowns out anew if what runs has changed.
    fn refresh(&mut self) {
        let mut running = Vec::with_capacity(self.runs.len());
        for r in &self.runs {
            running.push((r.order.attempt, r.percent));
        }
        if running == self.running_then {
            return;
        }
        self.running_then = running;
        self.slows.clear();
        let load = self.load();
        for (i, r) in self.runs.iter().enumerate() {
            let others = self.runs.iter().enumerate().filter(|(k, _)| *k != i);
            let others = others.map(|(_, o)| (&*o.order.kind, o.percent));
            let slow = self.settings.slowdown.total(&r.order.kind, others, load);
            self.slows.push(slow);
        }
    }

    fn measure(&mut self) {
        if self.clock < self.sampled + self.settings.period {
            return;
        }
        self.sampled = self.clock;
        self.refresh();
        for (r, slow) in self.runs.iter().zip(&self.slows) {
            let sample = Sample {
                attempt: r.order.attempt,
                at: self.clock,
                slowdown_permille: (*slow * 1000.0) as u32,
                used: Size::new(r.order.size.cpu * 9 / 10, r.order.size.memory * 9 / 10, 0),
            };
            self.samples
                .push_back((self.clock + self.settings.lag, sample));
        }
    }

    fn finish(&mut self, i: usize, end: WorkerEnd, what: What) {
        let r = self.runs.remove(i);
        let id = r.order.attempt;
        self.note(what, &r.order.name, &id.to_string(), r.order.service);
        self.end(id, end);
    }

    fn end(&mut self, attempt: AttemptId, end: WorkerEnd) {
        self.ended.push(EndReport { attempt, end });
    }

    fn note(&self, what: What, name: &str, attempt: &str, service: bool) {
        let now = self.ledger.now();
        let ms = now.saturating_sub(self.late);
        self.ledger.add(Entry {
            ms,
            worker: self.settings.name.to_string(),
            what,
            name: name.to_owned(),
            attempt: attempt.to_owned(),
            service,
        });
    }

    fn answer(&mut self, seq: u64, refused: Option<ExchangeRefusal>) -> WorkerAnswer {
        let mut samples = Vec::new();
        while self.samples.front().is_some_and(|s| s.0 <= self.clock) {
            samples.extend(self.samples.pop_front().map(|s| s.1));
        }
        WorkerAnswer {
            epoch: self.epoch,
            seq,
            refused,
            boot: self.boot,
            clock: self.clock,
            size: self.settings.size,
            leaving: self.faults.leaving,
            running: self.runs.iter().map(|r| r.order.attempt).collect(),
            ended: self.ended.clone(),
            samples,
        }
    }
}
