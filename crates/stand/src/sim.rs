//! Simulated worker; the caller supplies the time and the transport.
//!
//! The worker enforces its contract with the owner: it refuses exchanges of an older
//! epoch or sequence number, starts whose lease has already expired, and starts that
//! don't fit in its free capacity.

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

use crate::{Checkpoints, Entry, EntryKind, Ledger, Slowdown, WorkerFaults};

/// Settings of a simulated worker.
#[derive(Debug, Clone)]
pub struct SimSettings {
    /// Name of the worker.
    pub name: Name,
    /// Capacity.
    pub size: Size,
    /// Interval between samples.
    pub period: Millis,
    /// Delay until a sample is reported.
    pub lag: Millis,
    /// Interference between the tasks on the worker.
    pub slowdown: Slowdown,
}

#[derive(Debug, Clone)]
struct Run {
    order: StartOrder,
    lease_end: Millis,
    cpu_percent: u32,
    progress: f64,
}

/// A simulated worker.
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
    last_sample: Millis,
    slowdown_inputs: Vec<(AttemptId, u32)>,
    slowdowns: Vec<f64>,
    expired_ago: Millis,
}

impl SimWorker {
    /// Returns a worker that runs nothing; `boot` differs for each start of its process.
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
            last_sample: 0,
            slowdown_inputs: Vec::new(),
            slowdowns: Vec::new(),
            expired_ago: 0,
        };
        worker.record(EntryKind::Boot, "", "", false);
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

    /// Replaces the interference table.
    pub fn set_slowdown(&mut self, slowdown: Slowdown) {
        self.settings.slowdown = slowdown;
        self.slowdown_inputs.clear();
    }

    /// Returns the resources that the running tasks reserve.
    pub fn reserved(&self) -> Size {
        let mut reserved = Size::default();
        for r in &self.runs {
            reserved = reserved.saturating_add(&r.order.size);
        }
        reserved
    }

    /// Returns whether a replica of the service `kind` runs on the worker.
    pub fn has_replica(&self, kind: &str) -> bool {
        self.runs
            .iter()
            .any(|r| r.order.service && *r.order.kind == *kind)
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the current slowdown of the service `kind`; 1 without interference.
    pub fn service_slowdown(&self, kind: &str) -> f64 {
        let load = self.load();
        let mut own_found = false;
        let others = self.runs.iter().filter(|r| {
            let own = r.order.service && *r.order.kind == *kind && !own_found;
            own_found |= own;
            !own
        });
        let others = others.map(|r| (&*r.order.kind, r.cpu_percent));
        self.settings.slowdown.total(kind, others, load)
    }

    fn load(&self) -> f64 {
        self.reserved().load(&self.settings.size)
    }

    /// Advances the simulation to `clock`, a time of the worker's own clock.
    pub fn advance(&mut self, clock: Millis) {
        let passed = clock.saturating_sub(self.clock);
        self.clock = self.clock.max(clock);
        self.stop_expired();
        self.advance_runs(passed);
        self.take_samples();
    }

    /// Stops the tasks whose leases expired up to `clock`, without any progress.
    ///
    /// For a worker that is killed while it is paused: its tasks ended with their leases.
    pub fn expire_leases(&mut self, clock: Millis) {
        self.clock = self.clock.max(clock);
        self.stop_expired();
    }

    /// Handles an exchange at `clock`, a time of the worker's own clock.
    ///
    /// Leases count from `echo`, a time that the worker reported earlier. Starts and
    /// renewals are therefore ignored if the request is for another boot or has no echo.
    pub fn exchange(&mut self, clock: Millis, req: &WorkerRequest) -> WorkerAnswer {
        self.advance(clock);
        if let Some(reason) = self.refusal(req) {
            return self.answer(req.seq, Some(reason));
        }
        self.shard = Some(req.shard.clone());
        self.epoch = req.epoch;
        self.seq = req.seq;
        let echo_is_valid = req.boot == self.boot && req.echo > 0;
        self.ended.retain(|e| !req.acks.contains(&e.attempt));
        if echo_is_valid && req.renew {
            self.renew_leases(req);
        }
        self.stop_all(req);
        if echo_is_valid {
            self.start_all(req);
        }
        for t in &req.throttles {
            let found = self.runs.iter_mut().find(|r| r.order.attempt == t.attempt);
            if let Some(r) = found {
                r.cpu_percent = t.cpu_percent.clamp(1, 100);
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

    fn renew_leases(&mut self, req: &WorkerRequest) {
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
            let room = self.settings.size.saturating_sub(&self.reserved());
            if req.echo + req.lease <= self.clock {
                self.report_end(id, WorkerEnd::Refused);
                self.record(
                    EntryKind::Stale,
                    &order.name,
                    &id.to_string(),
                    order.service,
                );
            } else if !order.size.fits_in(&room) {
                self.report_end(id, WorkerEnd::Refused);
                self.record(
                    EntryKind::NoRoom,
                    &order.name,
                    &id.to_string(),
                    order.service,
                );
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
        self.record(
            EntryKind::Start,
            &order.name,
            &order.attempt.to_string(),
            order.service,
        );
        self.runs.push(Run {
            order: order.clone(),
            lease_end,
            cpu_percent: 100,
            progress: progress as f64,
        });
        let kind_fails = self.faults.fail_kinds.iter().any(|k| **k == *order.kind);
        if !order.service && (self.faults.fail_all || kind_fails) {
            self.end_run(self.runs.len() - 1, WorkerEnd::Failed, EntryKind::Failed);
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
        let kind = if saved {
            EntryKind::Saved
        } else {
            EntryKind::Stopped
        };
        self.end_run(i, WorkerEnd::Stopped { saved }, kind);
    }

    /// Stops the tasks whose leases have expired.
    ///
    /// A paused worker detects the expiry late, but its tasks did not run in the
    /// meantime. The ledger entry therefore gets the time at which the lease ended.
    fn stop_expired(&mut self) {
        let mut i = 0;
        while i < self.runs.len() {
            if self.runs[i].lease_end > self.clock {
                i += 1;
                continue;
            }
            let expired_ago = self.clock - self.runs[i].lease_end;
            self.expired_ago = expired_ago;
            self.stop(i, true);
            self.expired_ago = 0;
        }
    }

    fn advance_runs(&mut self, passed: Millis) {
        self.update_slowdowns();
        for (r, slowdown) in self.runs.iter_mut().zip(&self.slowdowns) {
            r.progress += passed as f64 * f64::from(r.cpu_percent) / 100.0 / slowdown;
        }
        let mut i = 0;
        while i < self.runs.len() {
            let r = &self.runs[i];
            if r.order.run_time == 0 || r.progress < r.order.run_time as f64 {
                i += 1;
                continue;
            }
            self.end_run(i, WorkerEnd::Done, EntryKind::Done);
        }
    }

    /// Recomputes the slowdowns if the runs or their CPU percentages have changed.
    fn update_slowdowns(&mut self) {
        let mut running = Vec::with_capacity(self.runs.len());
        for r in &self.runs {
            running.push((r.order.attempt, r.cpu_percent));
        }
        if running == self.slowdown_inputs {
            return;
        }
        self.slowdown_inputs = running;
        self.slowdowns.clear();
        let load = self.load();
        for (i, r) in self.runs.iter().enumerate() {
            let others = self.runs.iter().enumerate().filter(|(k, _)| *k != i);
            let others = others.map(|(_, o)| (&*o.order.kind, o.cpu_percent));
            let slowdown = self.settings.slowdown.total(&r.order.kind, others, load);
            self.slowdowns.push(slowdown);
        }
    }

    fn take_samples(&mut self) {
        if self.clock < self.last_sample + self.settings.period {
            return;
        }
        self.last_sample = self.clock;
        self.update_slowdowns();
        for (r, slowdown) in self.runs.iter().zip(&self.slowdowns) {
            let sample = Sample {
                attempt: r.order.attempt,
                at: self.clock,
                slowdown_permille: (*slowdown * 1000.0) as u32,
                used: Size::new(r.order.size.cpu * 9 / 10, r.order.size.memory * 9 / 10, 0),
            };
            self.samples
                .push_back((self.clock + self.settings.lag, sample));
        }
    }

    fn end_run(&mut self, i: usize, end: WorkerEnd, kind: EntryKind) {
        let r = self.runs.remove(i);
        let id = r.order.attempt;
        self.record(kind, &r.order.name, &id.to_string(), r.order.service);
        self.report_end(id, end);
    }

    fn report_end(&mut self, attempt: AttemptId, end: WorkerEnd) {
        self.ended.push(EndReport { attempt, end });
    }

    fn record(&self, kind: EntryKind, name: &str, attempt: &str, service: bool) {
        let now = self.ledger.now_ms();
        let ms = now.saturating_sub(self.expired_ago);
        self.ledger.append(Entry {
            ms,
            worker: self.settings.name.to_string(),
            what: kind,
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
