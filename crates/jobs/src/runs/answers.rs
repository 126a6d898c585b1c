//! Handles the results of starts and stops, and polls without an answer; sends stops.

use crate::{
    action::Action,
    event::{Started, Stopped},
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    scheduler::Scheduler,
};

/// A worker that refused a start for lack of capacity that it should have had gets no run
/// for this long, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 250;

/// Delay before an unconfirmed stop is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 400;

/// Delay before a silent worker is polled again, in milliseconds.
const SILENT_RETRY_MS: u64 = 250;

impl Scheduler {
    /// Returns a task's run if it is on this worker and has this number.
    pub(crate) fn run_on(&mut self, slot: u32, id: TaskId, run: u32) -> Option<&mut Run> {
        let task = self.jobs.get_mut(&id.job)?.task_mut(id)?;
        if task.last_run != run {
            return None;
        }
        task.run.as_deref_mut().filter(|r| r.worker == slot)
    }

    pub(crate) fn handle_started(&mut self, slot: u32, id: TaskId, number: u32, started: Started) {
        let now = self.now;
        if started == Started::Dead {
            if let Some(run) = self.run_on(slot, id, number) {
                run.attributed = true;
            }
            return self.worker_lost(slot);
        }
        let stage = self.run_on(slot, id, number).map(|r| r.stage);
        if let Some(Stage::Sent(at)) = stage {
            self.window.record_answer(now - at);
        }
        let attributed = self.is_attributed(slot, id, started);
        let Some(run) = self.run_on(slot, id, number) else {
            return;
        };
        run.attributed |= attributed;
        run.answered |= started != Started::Unknown;
        match started {
            Started::Done | Started::DoneAt(_) => {
                if matches!(run.stage, Stage::Sent(_) | Stage::Unanswered(_)) {
                    run.stage = Stage::Confirmed(now);
                }
                return self.mark_job_active(id);
            }
            Started::Unknown | Started::Old => {
                if matches!(run.stage, Stage::Sent(_)) {
                    run.stage = Stage::Unanswered(now);
                }
                self.stats.unanswered_starts += 1;
                log::warn!(task = id.to_string().as_str(), run = number, worker = &*self.fleet.get(slot).id, started:?; "start: unclear");
                return;
            }
            _ => {}
        }
        let sent = matches!(run.stage, Stage::Sent(_));
        self.stats.refused += 1;
        let worker = self.fleet.get_mut(slot);
        log::info!(task = id.to_string().as_str(), run = number, worker = &*worker.id, started:?; "start: refused");
        match started {
            Started::Refused => self.record_worker_failure(slot),
            Started::Rejected => self.reject_start(slot, id),
            Started::NotSent => {
                worker.silent_since.get_or_insert(now);
            }
            _ => worker.closed_until = worker.closed_until.max(now + NO_ROOM_PAUSE_MS),
        }
        if sent {
            self.clear_run(id);
        }
    }

    pub(crate) fn handle_stopped(&mut self, slot: u32, id: TaskId, number: u32, stopped: Stopped) {
        let now = self.now;
        if stopped == Stopped::Dead {
            return self.worker_lost(slot);
        }
        let done = stopped == Stopped::Done;
        if let Some(run) = self.run_on(slot, id, number) {
            if matches!(run.stage, Stage::Stopping(_)) {
                run.stage = match done {
                    true => Stage::StopConfirmed(now),
                    false => Stage::Stopping(Some(now + STOP_RETRY_MS)),
                };
            }
            return;
        }
        let orphans = &mut self.fleet.get_mut(slot).orphans;
        let Some(orphan) = orphans.iter_mut().find(|s| s.task == id && s.run == number) else {
            return;
        };
        orphan.sent_at = None;
        match done {
            true => orphan.stopped_at = Some(now),
            false => orphan.retry_at = now + STOP_RETRY_MS,
        }
    }

    /// Handles a poll sent at `sent` that got no answer.
    pub(crate) fn handle_no_reply(&mut self, slot: u32, sent: u64) {
        let now = self.now;
        let worker = self.fleet.get_mut(slot);
        if worker.dead {
            return;
        }
        worker.end_poll();
        worker.next_poll_at = now + SILENT_RETRY_MS;
        worker.unanswered_poll = Some(sent);
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            log::warn!(worker = &*worker.id, runs = worker.runs.len(); "worker: silent");
        }
        let worker = self.fleet.get(slot);
        if worker.poll_has_effect {
            self.fence_off(slot, worker.poll_generation);
        }
    }

    /// Sends the stops that are due.
    pub(crate) fn send_stops(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            if !self.fleet.get(slot).orphans.is_empty() {
                self.stop_orphans(slot);
            }
        }
        let mut unfinished = std::mem::take(&mut self.stopping);
        unfinished.sort_unstable();
        unfinished.dedup();
        unfinished.retain(|&id| self.send_stop(id));
        self.stopping = unfinished;
    }

    /// Sends the stops of orphans on a worker that are due.
    fn stop_orphans(&mut self, slot: u32) {
        let now = self.now;
        if !self.fleet.get(slot).can_take_orders() {
            return;
        }
        let worker = self.fleet.get_mut(slot);
        let generation = worker.generation;
        for orphan in &mut worker.orphans {
            if orphan.sent_at.is_some() || orphan.stopped_at.is_some() || orphan.retry_at > now {
                continue;
            }
            orphan.sent_at = Some(now);
            let (task, run) = (orphan.task, orphan.run);
            self.actions.push(Action::Stop {
                worker: slot,
                generation,
                task,
                run,
            });
        }
    }

    /// Sends a stop if it is due; returns whether the run has to be checked again.
    fn send_stop(&mut self, id: TaskId) -> bool {
        let now = self.now;
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return false;
        };
        let number = task.last_run;
        let Some(run) = task.run.as_mut() else {
            return false;
        };
        let due = match run.stage {
            Stage::Stopping(None) => true,
            Stage::Stopping(Some(at)) => at <= now,
            _ => return false,
        };
        let slot = run.worker;
        let worker = self.fleet.get(slot);
        if !due || !worker.can_take_orders() {
            return true;
        }
        // No further stop is sent before the answer, or its absence, sets the next time.
        run.stage = Stage::Stopping(Some(u64::MAX));
        log::info!(task = id.to_string().as_str(), run = number, worker = &*worker.id; "stop: sent");
        self.actions.push(Action::Stop {
            worker: slot,
            generation: worker.generation,
            task: id,
            run: number,
        });
        true
    }
}
