//! Commits changes of jobs, and then sends the starts and releases the ends that wait for the
//! commit.

use crate::{
    action::{Action, Batch, StartOrder},
    model::{
        checkpoint::log_excerpt,
        ids::{JobId, TaskId},
        record::Record,
        task::Stage,
    },
    runs::{
        log::{Appender, TASK_BYTES},
        poll::IDLE_POLL_WAIT_MS,
    },
    scheduler::{InFlight, Scheduler},
};

/// Shortest lease that a start is sent with, in milliseconds. The poll of an idle worker goes on
/// waiting, and with a shorter lease the run would lapse before the next poll renews it.
const MIN_LEASE_MS: u64 = IDLE_POLL_WAIT_MS + 1000;

/// A batch under construction.
struct BatchBuilder {
    records: Vec<(JobId, Vec<u8>)>,
    rows: Appender,
    in_flight: InFlight,
}

impl BatchBuilder {
    fn is_empty(&self) -> bool {
        self.records.is_empty() && self.rows.is_empty()
    }
}

impl Scheduler {
    /// Sends the next batch if none is in flight.
    pub(crate) fn commit(&mut self) {
        if self.in_flight.is_some() {
            return;
        }
        let mut batch = Batch::default();
        // At most half of a batch, so that neither policies nor records wait for the other.
        self.take_policy_changes(self.settings.batch_records / 2, &mut batch);
        let max_records = self.settings.batch_records - batch.queue_changes();
        let mut builder = BatchBuilder {
            records: Vec::new(),
            rows: Appender::new(&self.log, self.settings.row_bytes),
            in_flight: InFlight {
                first_row: self.log.next(),
                ..InFlight::default()
            },
        };
        let mut written = 0;
        while written < self.dirty_jobs.len() && builder.records.len() < max_records {
            if !self.write_job(self.dirty_jobs[written], &mut builder) {
                break;
            }
            written += 1;
        }
        self.dirty_jobs.drain(..written);
        // Compaction alone is not worth a write.
        if !builder.is_empty() {
            self.compact_log(&mut builder.rows);
        }
        let is_complete = self.dirty_jobs.is_empty();
        let mut in_flight = builder.in_flight;
        if is_complete {
            self.collect_pending_ends(&mut in_flight);
        }
        batch.records = builder.records;
        batch.dropped_rows = builder.rows.dropped();
        batch.appended_rows = builder.rows.finish(&mut self.log);
        if !batch.is_empty() {
            self.stats.commits += 1;
            self.in_flight = Some(in_flight);
            self.actions.push(Action::Commit(batch));
        } else if is_complete {
            // Everything is durable, so ends may be dropped at once.
            self.mark_ends_durable(&in_flight);
        }
    }

    /// Writes the changes of a job; returns whether all of them fit into the batch.
    fn write_job(&mut self, id: JobId, builder: &mut BatchBuilder) -> bool {
        let Some(state) = self.jobs.get(&id) else {
            return true;
        };
        if !state.outcome.is_final() {
            let needs_own_row = state.needs_own_row;
            if needs_own_row && !builder.rows.begin_own_row() || !self.log_tasks(id, builder) {
                return false;
            }
            if needs_own_row {
                builder.rows.end_row();
                builder.in_flight.own_rows.push(id);
            }
        }
        let Some(state) = self.jobs.get_mut(&id) else {
            return true;
        };
        if state.written_outcome != state.outcome {
            state.written_outcome = state.outcome;
            let record = Record::new(state.outcome);
            builder.records.push((id, record.encode()));
        }
        state.dirty = false;
        true
    }

    /// Logs the changed tasks of a job; returns whether all of them fit into the batch.
    fn log_tasks(&mut self, id: JobId, builder: &mut BatchBuilder) -> bool {
        let (jobs, fleet) = (&mut self.jobs, &self.fleet);
        let Some(state) = jobs.get_mut(&id) else {
            return true;
        };
        for (repetition, steps) in (0..).zip(&mut state.repetitions) {
            for (step, state) in (0..).zip(steps) {
                if state.is_done() {
                    state.forget_logged();
                    let row = state.logged_row;
                    state.logged_row =
                        row.or_else(|| Some(builder.rows.add_step(id, (repetition, step))));
                    continue;
                }
                for (index, task) in (0..).zip(&mut state.tasks) {
                    if task.last_run == 0 {
                        continue;
                    }
                    if task.has_changed() {
                        if builder.rows.is_full() {
                            return false;
                        }
                        let name = |slot| fleet.get(slot).incarnation_name.clone();
                        let record = task.record((repetition, step, index), name);
                        task.mark_logged(builder.rows.add_task(id, record));
                    }
                    let run = task.run.as_ref();
                    if run.is_some_and(|r| r.stage == Stage::Planned) {
                        let id = TaskId {
                            job: id,
                            repetition,
                            step,
                            index,
                        };
                        builder.in_flight.starts.push((id, task.last_run));
                    }
                }
            }
        }
        true
    }

    /// Drops the oldest rows of a log that is too long, and logs their valid entries again.
    fn compact_log(&mut self, rows: &mut Appender) {
        let live = if self.log.is_large() {
            self.live_bytes()
        } else {
            0
        };
        while !rows.is_drop_limit_reached() && !rows.is_full() {
            let has_excess_rows = self.log.len() > self.settings.log_rows;
            let Some((number, jobs)) = self.log.oldest() else {
                return;
            };
            if !has_excess_rows && !self.log.is_too_large(live) {
                return;
            }
            let jobs = jobs.to_vec();
            for id in jobs {
                if !self.rewrite_logged(id, number, rows) {
                    return;
                }
            }
            self.log.drop_oldest();
            rows.record_dropped_row();
        }
    }

    /// Returns the approximate size of the log's valid entries in bytes.
    fn live_bytes(&self) -> usize {
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let steps = jobs.flat_map(|j| j.repetitions.iter().flatten());
        let tasks = steps.flat_map(|s| &s.tasks).filter(|t| t.logged.is_some());
        tasks.count() * TASK_BYTES
    }

    /// Logs the valid entries of a job in a row again; returns whether all of them fit.
    fn rewrite_logged(&mut self, id: JobId, number: u64, rows: &mut Appender) -> bool {
        let (jobs, fleet) = (&mut self.jobs, &self.fleet);
        let Some(state) = jobs.get_mut(&id) else {
            return true;
        };
        if state.outcome.is_final() {
            // The record replaces the entries once it is written.
            return state.written_outcome == state.outcome;
        }
        for (repetition, steps) in (0..).zip(&mut state.repetitions) {
            for (step, state) in (0..).zip(steps) {
                if state.logged_row == Some(number) {
                    state.logged_row = Some(rows.add_step(id, (repetition, step)));
                }
                for (index, task) in (0..).zip(&mut state.tasks) {
                    if task.logged.is_none() || task.logged_row != number {
                        continue;
                    }
                    if rows.is_full() {
                        return false;
                    }
                    // Logs the current state. Whatever waits for that state to be durable waits for
                    // its own batch.
                    let name = |slot| fleet.get(slot).incarnation_name.clone();
                    let record = task.record((repetition, step, index), name);
                    task.mark_logged(rows.add_task(id, record));
                }
            }
        }
        true
    }

    fn collect_pending_ends(&mut self, in_flight: &mut InFlight) {
        let mut pending = std::mem::take(&mut self.workers_with_ends);
        pending.sort_unstable();
        pending.dedup();
        pending.retain(|&slot| {
            let worker = self.fleet.get(slot);
            worker.settled_end() > worker.durable_end
        });
        let rows = pending
            .iter()
            .map(|&slot| (slot, self.fleet.get(slot).settled_end()));
        in_flight.observed.extend(rows);
        self.workers_with_ends = pending;
    }

    fn mark_ends_durable(&mut self, in_flight: &InFlight) {
        for &(slot, number) in &in_flight.observed {
            let worker = self.fleet.get_mut(slot);
            worker.durable_end = worker.durable_end.max(number);
            worker.next_poll_at = worker.next_poll_at.min(self.now);
        }
    }

    /// Handles the commit of the batch in flight: its starts may be sent, and its ends dropped.
    pub(crate) fn handle_committed(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.mark_ends_durable(&in_flight);
        for id in in_flight.own_rows {
            if let Some(state) = self.jobs.get_mut(&id) {
                state.needs_own_row = false;
            }
        }
        for (id, run) in in_flight.starts {
            self.send_start(id, run);
        }
    }

    pub(super) fn send_start(&mut self, id: TaskId, number: u32) {
        let (now, settings) = (self.now, self.settings);
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = state.job.spec.clone();
        let Some(task) = state.task_mut(id).filter(|t| t.last_run == number) else {
            return;
        };
        let checkpoint = task.checkpoint_text();
        let Some(run) = task.run.as_mut().filter(|r| r.stage == Stage::Planned) else {
            return;
        };
        let is_fresh = self.fleet.is_fresh(now, &settings);
        let worker = self.fleet.get_mut(run.worker);
        if worker.poll_drops_ends {
            worker.waiting_starts.push((id, number));
            return;
        }
        let reading = worker.clock.map_or(0, |(reading, _)| reading);
        let deadline = worker.deadline(&settings, self.store_contact);
        let is_long_enough = |d: &u64| *d >= reading + MIN_LEASE_MS;
        // A placement may become durable seconds after it was chosen. Meanwhile the worker may have
        // reported that it leaves or has less capacity, or its announcement may have become stale.
        let can_start = is_fresh && worker.accepts_runs(now) && !worker.is_overcommitted();
        let Some(deadline) = deadline.filter(is_long_enough).filter(|_| can_start) else {
            return self.clear_run(id);
        };
        run.stage = Stage::Sent(now);
        run.sent_at = Some(now);
        run.partial = !checkpoint.is_empty();
        run.generation = worker.generation;
        let generation = worker.generation;
        worker.granted_until = worker.granted_until.max(deadline);
        worker.record_lease_order(now, &settings);
        let (slot, waited) = (run.worker, now - run.placed_at);
        self.stats.starts += 1;
        let order = StartOrder {
            task: id,
            run: number,
            spec,
            deadline,
            checkpoint,
            generation,
        };
        self.log_start(slot, &order, waited);
        self.actions.push(Action::Start(slot, order));
    }

    /// Logs a start, the milliseconds that it waited for its placement to become durable, and where
    /// the checkpoint that it carries was made.
    fn log_start(&self, slot: u32, order: &StartOrder, waited: u64) {
        let (id, run) = (order.task, order.run);
        let worker = self.fleet.get(slot);
        let is_isolated = worker.isolated_task == Some(id);
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(checkpoint) = task.and_then(|t| t.checkpoint.as_deref()) else {
            log::info!(task = id.to_string().as_str(), run, worker = &*worker.id, waited_ms = waited, apart = is_isolated; "start: sent");
            return;
        };
        let (saved_run, saved_on) = self.checkpoint_source(checkpoint);
        let saved_ms = checkpoint.origin.map_or(0, |o| self.now - o.reported_at);
        log::info!(task = id.to_string().as_str(), run, worker = &*worker.id, waited_ms = waited, apart = is_isolated, saved = log_excerpt(&checkpoint.text), saved_run, saved_on, saved_ms; "start: sent");
    }
}
