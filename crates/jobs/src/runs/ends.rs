//! Which reported ends are counted, and when.
//!
//! A worker that was cut off may report the end of a run whose lease has expired and whose task was
//! started again since. If that end were counted while the later start may still be carried out,
//! the task would start after it was done. So such an end waits, and its worker keeps it, until the
//! later run is reported, is known never to start, or its leases have expired.

use crate::{
    event::{RunEnd, WorkerReport},
    scheduler::Scheduler,
};

impl Scheduler {
    /// Counts the ends in a report of a worker that were not counted before.
    pub(super) fn count_ends(&mut self, slot: u32, report: &WorkerReport) {
        for end in &report.finished {
            let worker = self.fleet.get_mut(slot);
            let held = worker.held_ends.binary_search(&end.number);
            if end.number <= worker.counted_end && held.is_err() {
                continue;
            }
            worker.counted_end = worker.counted_end.max(end.number);
            if self.awaits_start(end) {
                self.hold_end(slot, end);
                continue;
            }
            let worker = self.fleet.get_mut(slot);
            if let Ok(at) = held {
                worker.held_ends.remove(at);
            }
            self.workers_with_ends.push(slot);
            self.handle_run_end(slot, end);
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
        let Err(at) = worker.held_ends.binary_search(&end.number) else {
            return;
        };
        worker.held_ends.insert(at, end.number);
        self.stats.held_ends += 1;
        log::info!(task = end.task.to_string().as_str(), run = end.run, worker = &*self.fleet.get(slot).id, how:? = end.ending; "run: its end waits for a later start");
    }
}
