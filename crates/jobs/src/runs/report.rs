//! Handles the reports of workers and the ends of runs in them.

use crate::{
    event::{Ending, RunEnd, WorkerReport},
    model::{
        checkpoint::{Origin, log_excerpt},
        ids::TaskId,
        record::Outcome,
    },
    scheduler::Scheduler,
};

/// Maximum number of ends in one report; a report with this many may be incomplete.
pub(super) const MAX_REPORTED_ENDS: usize = 500;

/// First delay of a task after a failure, in milliseconds; it doubles with each failure.
const RETRY_BACKOFF_MS: u64 = 40;

/// Doublings of that delay at most.
const MAX_BACKOFF_DOUBLINGS: usize = 6;

/// Failed runs of a long-running task that are remembered at most.
const MAX_FAILED_RUNS: usize = 64;

impl Scheduler {
    /// Handles a worker's report, the answer to a poll of a generation sent at `sent`.
    pub(crate) fn handle_report(
        &mut self,
        slot: u32,
        generation: u32,
        sent: u64,
        report: WorkerReport,
    ) {
        let (now, settings) = (self.now, self.settings);
        self.fleet.get_mut(slot).end_poll();
        let Some(slot) = self.reporting_slot(slot, sent, report.start_time) else {
            return;
        };
        let worker = self.fleet.get_mut(slot);
        if worker.dead {
            return;
        }
        worker.record_clock(report.clock, now, &settings);
        worker.answered_generation = worker.answered_generation.max(generation);
        worker.first_end = report.finished.first().map(|e| e.number);
        let seemed_crashed = worker.process_ended || worker.crash_recorded;
        if let Some(since) = worker.silent_since.take() {
            log::info!(worker = &*worker.id, silent_ms = now - since; "worker: answers again");
            self.placement_due = true;
        }
        let counted = worker.counted_end;
        if seemed_crashed {
            self.clear_crash_signs(slot);
        }
        self.settle_crashes(slot);
        self.count_ends(slot, &report);
        for row in &report.running {
            self.handle_reported_run(slot, row, report.clock);
        }
        if report.finished.len() < MAX_REPORTED_ENDS {
            self.check_unreported(slot, generation, sent, &report);
        }
        self.check_stalled(slot);
        let ended = report.finished.iter().filter(|e| e.number > counted);
        self.observe_metrics(slot, &report, &ended.collect::<Vec<_>>());
    }

    pub(super) fn handle_run_end(&mut self, slot: u32, end: &RunEnd) {
        let id = end.task;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_final = state.outcome.is_final();
        let Some(task) = state.task_mut(id) else {
            return;
        };
        let run = task.run.as_ref();
        let current = run.is_some_and(|r| r.worker == slot) && task.last_run == end.run;
        let elapsed = run.map_or(0, |r| self.now.saturating_sub(r.placed_at));
        let partial = run.is_none_or(|r| r.partial);
        let moved_from = run.and_then(|r| r.moved_from.clone());
        if current && let Some(step) = state.step_mut(id.repetition, id.step) {
            let origin = Origin {
                run: end.run,
                worker: slot,
                reported_at: self.now,
            };
            step.save_checkpoint(id.index as usize, &end.checkpoint, origin);
        }
        log::info!(task = id.to_string().as_str(), run = end.run, worker = &*self.fleet.get(slot).id, how:? = end.ending, current, ran_ms = elapsed, saved = log_excerpt(&end.checkpoint); "run: ended");
        if current {
            if let Some(incarnation) = moved_from {
                self.withdraw_task_crash(id, &incarnation);
            }
            self.clear_run(id);
        }
        self.mark_dirty(id.job);
        match end.ending {
            Ending::Done => self.handle_done(slot, id, elapsed, current && !partial),
            Ending::Failed => self.handle_failed(slot, id, end.run, is_final),
            _ => self.stats.stopped += 1,
        }
    }

    fn handle_done(&mut self, slot: u32, id: TaskId, elapsed: u64, is_representative: bool) {
        self.stats.done += 1;
        self.fleet.get_mut(slot).record_success();
        if is_representative {
            self.observe_duration(id, elapsed);
        }
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let step = &state.job.spec.steps[id.step as usize];
        if step.long_running || state.outcome.is_final() {
            return;
        }
        if !step.best_effort && step.estimate > 0 && elapsed > 0 {
            self.fleet
                .get_mut(slot)
                .record_duration(elapsed * 100 / step.estimate);
        }
        let members = match step.gang {
            true => 0..step.count,
            false => id.index..id.index + 1,
        };
        for index in members {
            let member = TaskId { index, ..id };
            if let Some(state) = self.jobs.get_mut(&id.job) {
                state.repetitions[id.repetition as usize][id.step as usize]
                    .mark_done(index as usize);
            }
            self.stop_run(member);
        }
        self.placement_due = true;
        if self.jobs.get(&id.job).is_some_and(|j| j.is_done()) {
            self.end_job(id.job, Outcome::Complete);
        }
    }

    /// Updates the estimates by the duration of a run from its start at full pace.
    fn observe_duration(&mut self, id: TaskId, elapsed: u64) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let step = &job.spec.steps[id.step as usize];
        if let Some(state) = state.step_mut(id.repetition, id.step) {
            state.observed_times.observe(elapsed);
        }
        if step.long_running || step.estimate == 0 {
            return;
        }
        self.estimates
            .or_default(&job.queue)
            .observe(step.estimate, elapsed);
    }

    fn handle_failed(&mut self, slot: u32, id: TaskId, run: u32, is_final: bool) {
        self.stats.failed += 1;
        let now = self.now;
        self.record_worker_failure(slot);
        let Some(state) = self.jobs.get(&id.job) else {
            return;
        };
        let step = &state.job.spec.steps[id.step as usize];
        let (gang, long_running) = (step.gang, step.long_running);
        let queue = state.job.queue.clone();
        let attempts = self.policy(&queue).map(|q| q.attempts);
        // A gang fails as a whole, so its failures are counted at its first member.
        let counter = match gang {
            true => TaskId { index: 0, ..id },
            false => id,
        };
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(counter));
        let Some(task) = task else {
            return;
        };
        if task.failed_runs.contains(&run) {
            return;
        }
        task.failed_runs.push(run);
        // The number of failures of a long-running task is not limited, but that of a row is.
        if long_running && task.failed_runs.len() > MAX_FAILED_RUNS {
            task.failed_runs.remove(0);
        }
        let doublings = (task.failed_runs.len() - 1).min(MAX_BACKOFF_DOUBLINGS);
        task.retry_at = now + (RETRY_BACKOFF_MS << doublings);
        task.failed_worker = Some(slot);
        let count = task.failed_runs.len() as u32;
        if !long_running && !is_final && attempts.is_some_and(|a| count >= a) {
            log::warn!(task = id.to_string().as_str(), failures = count; "job: failed too often");
            self.end_job(id.job, Outcome::Failed);
        }
    }
}
