//! What is made durable, and what waits for it: starts, and ends that may be dropped.

use crate::{
    action::{Action, StartOrder},
    machine::{Batch, Machine},
    model::{checkpoint::shown, ids::TaskId, task::Stage},
    runs::look::IDLE_WAIT,
};

/// Bytes of records that one commit carries at most; a transaction holds 1 MB,
/// a third more when written as text.
const BATCH_BYTES: usize = 500_000;

/// A start with a shorter lease is not sent, in milliseconds: the look at an idle worker goes
/// on waiting, and the run would lapse before its lease is renewed.
const LEAST_LEASE: u64 = IDLE_WAIT + 1000;

impl Machine {
    /// Sends the next batch of records, if none is under way.
    pub(crate) fn commit(&mut self) {
        if self.batch.is_some() {
            return;
        }
        let mut batch = Batch::default();
        let mut records = Vec::new();
        let mut bytes = 0;
        while records.len() < self.settings.batch && bytes < BATCH_BYTES {
            if records.len() == self.dirty.len() {
                break;
            }
            let id = self.dirty[records.len()];
            let workers = &self.fleet;
            let Some(state) = self.jobs.get_mut(&id) else {
                break;
            };
            state.dirty = false;
            let record = state.record(|slot| workers.get(slot).name.clone()).encode();
            bytes += record.len();
            records.push((id, record));
            for task in state.task_ids() {
                let planned = state.task(task).filter(|t| {
                    let run = t.run.as_ref();
                    run.is_some_and(|r| r.stage == Stage::Planned)
                });
                if let Some(planned) = planned {
                    batch.starts.push((task, planned.last));
                }
            }
        }
        self.dirty.drain(..records.len());
        let whole = self.dirty.is_empty();
        if whole {
            self.collect_observed(&mut batch);
        }
        if !records.is_empty() {
            self.figures.commits += 1;
            self.batch = Some(batch);
            self.out.push(Action::Commit(records));
        } else if whole {
            // Nothing is left to be made durable: ends may be dropped at once.
            self.observe(&batch);
        }
    }

    fn collect_observed(&mut self, batch: &mut Batch) {
        let mut left = std::mem::take(&mut self.counted);
        left.sort_unstable();
        left.dedup();
        left.retain(|&slot| self.fleet.get(slot).is_behind());
        let rows = left
            .iter()
            .map(|&slot| (slot, self.fleet.get(slot).counted));
        batch.observed.extend(rows);
        self.counted = left;
    }

    fn observe(&mut self, batch: &Batch) {
        for &(slot, number) in &batch.observed {
            let worker = self.fleet.get_mut(slot);
            worker.observed = worker.observed.max(number);
            worker.next_look = worker.next_look.min(self.now);
        }
    }

    /// The batch in flight is durable: its starts may be sent, its ends dropped.
    pub(crate) fn committed(&mut self) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        self.observe(&batch);
        for (id, run) in batch.starts {
            self.send_start(id, run);
        }
    }

    fn send_start(&mut self, id: TaskId, number: u32) {
        let (now, settings) = (self.now, self.settings);
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = state.job.spec.clone();
        let Some(task) = state.task_mut(id).filter(|t| t.last == number) else {
            return;
        };
        let saved = task.saved_text();
        let Some(run) = task.run.as_mut().filter(|r| r.stage == Stage::Planned) else {
            return;
        };
        let current = self.fleet.is_current(now, &settings);
        let worker = self.fleet.get_mut(run.worker);
        let reading = worker.clock.map_or(0, |(reading, _)| reading);
        let deadline = worker.deadline(&settings, self.contact);
        let lasts = |d: &u64| *d >= reading + LEAST_LEASE;
        // A place may become durable seconds after it was chosen: meanwhile the worker may
        // have said that it leaves or has less room, or this owner may not have heard.
        let fits = current && worker.is_open(now) && !worker.is_over();
        let Some(deadline) = deadline.filter(lasts).filter(|_| fits) else {
            return self.clear(id);
        };
        run.stage = Stage::Sent(now);
        run.sent = Some(now);
        run.partial = !saved.is_empty();
        worker.promised = worker.promised.max(deadline);
        let (slot, waited) = (run.worker, now - run.since);
        self.figures.starts += 1;
        let order = StartOrder {
            task: id,
            run: number,
            spec,
            deadline,
            saved,
        };
        self.tell_start(slot, &order, waited);
        self.out.push(Action::Start(slot, order));
    }

    /// Logs a start that waited so many milliseconds for its place to become durable, and where
    /// the checkpoint was made that it brings.
    fn tell_start(&self, slot: u32, order: &StartOrder, waited: u64) {
        let (id, run) = (order.task, order.run);
        let worker = self.fleet.get(slot);
        let apart = worker.guest == Some(id);
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(checkpoint) = task.and_then(|t| t.saved.as_deref()) else {
            log::info!(task = id.to_string().as_str(), run, worker = &*worker.id, waited_ms = waited, apart; "start: sent");
            return;
        };
        let (saved_run, saved_on) = self.source(checkpoint);
        let saved_ms = checkpoint.origin.map_or(0, |o| self.now - o.listed);
        log::info!(task = id.to_string().as_str(), run, worker = &*worker.id, waited_ms = waited, apart, saved = shown(&checkpoint.text), saved_run, saved_on, saved_ms; "start: sent");
    }
}
