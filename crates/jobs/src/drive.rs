//! What is to be done now: looks, and what has run out.

use crate::{
    action::Action,
    machine::Machine,
    model::{
        ids::{JobId, TaskId},
        task::Stage,
    },
    place::pass::Coverage,
};

/// Runs are gone through this often, in milliseconds. At each of hundreds of answers a
/// second it cost, with placement, two fifths of an owner's peak: 0.41 of a core with 490
/// workers, 0.24 with both paced.
const CHECK_PERIOD_MS: u64 = 20;

/// Placement pauses for a millisecond for each so many open jobs, so that what it costs
/// does not grow with the answers that arrive ...
const JOBS_PER_PAUSE_MS: u64 = 40;

/// ... and for no longer than this, in milliseconds.
const MAX_PAUSE_MS: u64 = 20;

/// Placement runs at least this often, in milliseconds, for what time alone changes.
const PLACEMENT_PERIOD_MS: u64 = 100;

impl Machine {
    /// Does all that is due: first what keeps promises, which costs little, then what
    /// serves jobs, which may cost much where work has piled up.
    ///
    /// Leases are renewed by looks and stops end harm: neither waits for a pass of
    /// placement.
    pub(crate) fn drive(&mut self) {
        if self.now >= self.last_check + CHECK_PERIOD_MS {
            self.last_check = self.now;
            self.check_runs();
        }
        self.send_polls();
        self.update_model();
        if self.is_placement_due() {
            self.last_placement = self.now;
            self.stats.passes += 1;
            // What a cut pass has left is placed by the next one.
            self.placement_due = self.place_tasks() == Coverage::Partial;
        }
        self.commit();
        self.send_polls();
        self.log_load();
    }

    /// Does what is asked of every run in turn.
    fn check_runs(&mut self) {
        self.note_crashes();
        self.expire_leases();
        self.check_leaving();
        self.add_repetitions();
        self.send_stops();
        self.send_paces();
    }

    /// Tells whether it is time to place tasks.
    fn is_placement_due(&self) -> bool {
        let pause = (self.open_jobs.len() as u64 / JOBS_PER_PAUSE_MS).min(MAX_PAUSE_MS);
        let since = self.now.saturating_sub(self.last_placement);
        since >= PLACEMENT_PERIOD_MS || self.placement_due && since >= pause
    }

    /// Adds the repetitions that are due.
    fn add_repetitions(&mut self) {
        let mut scheduled = std::mem::take(&mut self.scheduled);
        scheduled.retain(|&id| self.add_job_repetitions(id));
        self.scheduled = scheduled;
    }

    /// Adds the repetitions of a job that are due; true if more are to come.
    fn add_job_repetitions(&mut self, id: JobId) -> bool {
        let Some(state) = self.jobs.get_mut(&id) else {
            return false;
        };
        if state.outcome.is_final() {
            return false;
        }
        let before = state.repetitions.len();
        state.add_due_repetitions(self.wall_clock);
        self.placement_due |= state.repetitions.len() > before;
        (state.repetitions.len() as u32) < state.job.spec.repetitions()
    }

    /// Stops on leaving workers what would die with them.
    fn check_leaving(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            let (Some(since), Some(info)) = (worker.leaving_since, worker.info.as_ref()) else {
                continue;
            };
            let end = since + info.remaining_ms;
            if worker.runs.is_empty() || worker.dead {
                continue;
            }
            for id in worker.runs.clone() {
                if !self.ends_before(id, end) {
                    self.stop_run(id);
                }
            }
        }
    }

    /// Tells whether a run is likely to end before `end`.
    fn ends_before(&self, id: TaskId, end: u64) -> bool {
        let Some(state) = self.jobs.get(&id.job) else {
            return true;
        };
        let step = &state.job.spec.steps[id.step as usize];
        let Some(run) = state.task(id).and_then(|t| t.run.as_ref()) else {
            return true;
        };
        if step.long_running {
            return false;
        }
        let remaining = step.estimate * u64::from(100 - run.percent.min(100)) / 100;
        self.now + remaining + remaining / 4 < end
    }

    /// Stops runs on a worker whose progress stands still; only an answer tells of that.
    pub(crate) fn check_stalled(&mut self, slot: u32) {
        let worker = self.fleet.get(slot);
        if !worker.is_live() {
            return;
        }
        let runs = worker.runs.clone();
        let remaining = runs.iter().filter_map(|&id| self.check_stall(slot, id));
        let first_due = remaining.min();
        self.fleet.get_mut(slot).stall_due = first_due;
    }

    /// Stops a run that stands still; returns in how many milliseconds it will have stood
    /// still for too long if it takes longer than was thought.
    fn check_stall(&mut self, slot: u32, id: TaskId) -> Option<u64> {
        let (now, stall_limit) = (self.now, self.settings.stall_limit);
        let (clock, _) = self.fleet.get(slot).clock?;
        let state = self.jobs.get_mut(&id.job)?;
        let job = state.job.clone();
        let step = &job.spec.steps[id.step as usize];
        let run = state.task_mut(id)?.run.as_mut()?;
        let Stage::Confirmed(confirmed_at) = run.stage else {
            return None;
        };
        // A look a second shows progress: what takes longer a percent is not judged.
        let limit = stall_limit.max(step.estimate / 20) * if step.best_effort { 3 } else { 1 };
        let slowed = run.pace < 100 || run.wanted_pace < 100;
        let is_overdue = !slowed && now > confirmed_at + step.estimate + limit;
        if step.long_running || step.gang || !is_overdue {
            return None;
        }
        // Only what the worker's own answers show counts: they may be read late.
        let stalled = run.stalled_for(clock);
        if stalled <= limit {
            return Some(limit + 1 - stalled);
        }
        log::warn!(task = id.to_string().as_str(), percent = run.percent, still_ms = stalled, worker = &*self.fleet.get(slot).id; "run: stands still");
        run.stage = Stage::Stopping(None);
        self.stopping.push(id);
        self.note_worker_failure(slot);
        None
    }

    /// Sends the looks that are due, at the workers that changed or whose time has come.
    fn send_polls(&mut self) {
        let mut due = self.fleet.take_due(self.now);
        // Looks go out in one order, however their workers changed.
        due.sort_unstable();
        for slot in due {
            self.send_poll(slot);
        }
    }

    fn send_poll(&mut self, slot: u32) {
        let (now, settings) = (self.now, self.settings);
        let worker = &mut self.fleet.workers[slot as usize];
        let is_needed = worker.registered || !worker.runs.is_empty() || !worker.orphans.is_empty();
        if worker.dead || worker.poll_in_flight || worker.info.is_none() || !is_needed {
            return;
        }
        // A later life would take it for a lease of the longest length, at each try anew.
        let renews = worker.start_time.is_none() || worker.silent_since.is_none();
        let deadline = worker.deadline(&settings, self.store_contact);
        let deadline = deadline.filter(|_| renews);
        let due_at = worker.poll_due(deadline, &settings);
        if now < due_at {
            if worker.timer_at != due_at {
                worker.timer_at = due_at;
                self.fleet.set_timer(slot, due_at);
            }
            return;
        }
        let wait = worker.poll_wait(&settings);
        let observed = worker.droppable_end();
        if let Some(end) = deadline {
            worker.granted_until = worker.granted_until.max(end);
            worker.note_lease_order(now, &settings);
        }
        worker.poll_in_flight = true;
        worker.polled_at = now;
        self.stats.polls += 1;
        self.actions.push(Action::Poll {
            worker: slot,
            observed,
            deadline,
            wait,
        });
    }

    /// Returns the names of the workers whose connections may be closed.
    pub fn closable_workers(&self) -> Vec<u32> {
        let mut out = Vec::new();
        for (slot, worker) in self.fleet.workers.iter().enumerate() {
            let idle = worker.runs.is_empty() && worker.orphans.is_empty();
            if worker.dead || !worker.registered && idle {
                out.push(slot as u32);
            }
        }
        out
    }
}
