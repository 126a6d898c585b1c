//! Which reported ends are counted, and when.
//!
//! A worker that was cut off may report the end of a run whose lease has expired and whose task was
//! started again since. If that end were counted while the later start may still be carried out,
//! the task would start after it was done. So such an end waits, and its worker keeps it, until the
//! later run is reported, is known never to start, or its leases have expired.
//!
//! Limits: where a worker lists as many ends as fit into a report, none of them waits.

use crate::{
    event::{RunEnd, WorkerReport},
    runs::report::MAX_REPORTED_ENDS,
    scheduler::Scheduler,
};

impl Scheduler {
    /// Counts the ends in a report of a worker that were not read before.
    pub(super) fn count_ends(&mut self, slot: u32, report: &WorkerReport) {
        // A worker that keeps so many ends would never list those behind a held one.
        let is_full = report.finished.len() >= MAX_REPORTED_ENDS;
        if is_full {
            self.release_held_ends(slot, |_, _| true);
        }
        for end in &report.finished {
            let worker = self.fleet.get_mut(slot);
            if end.number <= worker.counted_end {
                continue;
            }
            worker.counted_end = end.number;
            if !is_full && self.awaits_start(end) {
                self.hold_end(slot, end);
                continue;
            }
            self.workers_with_ends.push(slot);
            self.handle_run_end(slot, end);
        }
    }

    /// Counts the held ends whose later runs have been settled. Nothing may be placed before: the
    /// task of such an end may have no run, and is done.
    pub(crate) fn count_held_ends(&mut self) {
        for slot in std::mem::take(&mut self.holding_workers) {
            self.release_held_ends(slot, |this, end| !this.awaits_start(end));
            if !self.fleet.get(slot).held_ends.is_empty() {
                self.holding_workers.push(slot);
            }
        }
    }

    /// Counts the held ends of a worker that `is_due` selects.
    fn release_held_ends(&mut self, slot: u32, is_due: impl Fn(&Scheduler, &RunEnd) -> bool) {
        for end in std::mem::take(&mut self.fleet.get_mut(slot).held_ends) {
            if is_due(self, &end) {
                self.workers_with_ends.push(slot);
                self.handle_run_end(slot, &end);
            } else {
                self.fleet.get_mut(slot).held_ends.push(end);
            }
        }
    }

    /// Returns whether a later run of the task of an end, or of another member of its gang, may
    /// still start.
    fn awaits_start(&self, end: &RunEnd) -> bool {
        let id = end.task;
        let Some(state) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(step) = state.job.spec.steps.get(id.step as usize) else {
            return false;
        };
        let Some(tasks) = state.step(id.repetition, id.step).map(|s| &s.tasks[..]) else {
            return false;
        };
        let tasks = match step.gang {
            true => tasks,
            false => tasks
                .get(id.index as usize)
                .map_or(&[][..], std::slice::from_ref),
        };
        tasks.iter().any(|t| {
            let run = t.run.as_ref();
            t.last_run > end.run && run.is_some_and(|r| r.may_start_later())
        })
    }

    fn hold_end(&mut self, slot: u32, end: &RunEnd) {
        let worker = self.fleet.get_mut(slot);
        worker.held_ends.push(end.clone());
        if !self.holding_workers.contains(&slot) {
            self.holding_workers.push(slot);
        }
        self.stats.held_ends += 1;
        log::info!(task = end.task.to_string().as_str(), run = end.run, worker = &*self.fleet.get(slot).id, how:? = end.ending; "run: its end waits for a later start");
    }
}
