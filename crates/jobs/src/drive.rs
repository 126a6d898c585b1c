//! The order of the scheduler's work: checks of runs, polls, placement and commits.

use crate::{
    action::Action,
    model::{
        ids::{JobId, TaskId},
        task::Stage,
    },
    place::pass::Coverage,
    scheduler::Scheduler,
};

/// Interval between checks of all runs. Checking the runs and placing tasks at each of hundreds
/// of answers a second takes two fifths of an owner's CPU time at its peak.
const CHECK_PERIOD_MS: u64 = 20;

/// Placement pauses for a millisecond per this many open jobs, so that its cost does not grow
/// with the rate of answers.
const JOBS_PER_PAUSE_MS: u64 = 40;

/// Longest pause between passes of placement when one is due.
const MAX_PAUSE_MS: u64 = 20;

/// Placement runs at least this often, for changes that come with time alone.
const PLACEMENT_PERIOD_MS: u64 = 100;

impl Scheduler {
    /// Does all the work that is due.
    ///
    /// Checks of runs and polls come first because they are cheap: polls renew leases and stops
    /// end interference, so neither may wait for a pass of placement, which takes long when
    /// many tasks wait.
    pub(crate) fn drive(&mut self) {
        self.count_held_ends();
        if self.now >= self.last_check + CHECK_PERIOD_MS {
            self.last_check = self.now;
            self.check_runs();
            self.count_held_ends();
        }
        self.send_polls();
        self.update_model();
        self.update_queues();
        self.update_entitlements();
        if self.is_placement_due() {
            self.last_placement = self.now;
            self.stats.passes += 1;
            self.return_lent_tasks();
            // The next pass continues a truncated one.
            self.placement_due = self.place_tasks() == Coverage::Partial;
            if !self.placement_due {
                self.lend();
            }
        }
        self.commit();
        self.send_polls();
        self.log_load();
    }

    /// Runs the periodic checks of all runs and scheduled jobs.
    fn check_runs(&mut self) {
        self.record_crashes();
        self.expire_leases();
        self.check_leaving();
        self.add_repetitions();
        self.return_lent_tasks();
        self.send_stops();
        self.send_paces();
    }

    /// Returns whether a pass of placement is due.
    fn is_placement_due(&self) -> bool {
        let pause = (self.open_jobs.len() as u64 / JOBS_PER_PAUSE_MS).min(MAX_PAUSE_MS);
        let since = self.now.saturating_sub(self.last_placement);
        since >= PLACEMENT_PERIOD_MS || self.placement_due && since >= pause
    }

    /// Adds the repetitions of all jobs that are due.
    fn add_repetitions(&mut self) {
        let mut scheduled = std::mem::take(&mut self.scheduled);
        scheduled.retain(|&id| self.add_job_repetitions(id));
        self.scheduled = scheduled;
    }

    /// Adds the repetitions of a job that are due. Returns whether more are to come.
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

    /// Stops the runs on leaving workers that are unlikely to end before their worker does.
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

    /// Returns whether a run is likely to end before `end`.
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

    /// Stops the stalled runs on a worker. Only a report of the worker shows a stall.
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

    /// Stops a run if it is stalled. Returns in how many milliseconds it will count as stalled
    /// if it exceeds its estimate and makes no progress.
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
        // A poll comes about every second and shows progress in percent. A twentieth of the
        // estimate spares runs that need longer for each percent.
        let limit = stall_limit.max(step.estimate / 20) * if step.best_effort { 3 } else { 1 };
        let slowed = run.pace < 100 || run.wanted_pace < 100;
        let is_overdue = !slowed && now > confirmed_at + step.estimate + limit;
        if step.long_running || step.gang || !is_overdue {
            return None;
        }
        // Only times on the worker's clock count, since its reports may be read late.
        let stalled = run.stalled_for(clock);
        if stalled <= limit {
            return Some(limit + 1 - stalled);
        }
        log::warn!(task = id.to_string().as_str(), percent = run.percent, still_ms = stalled, worker = &*self.fleet.get(slot).id; "run: stands still");
        run.stage = Stage::Stopping(None);
        self.stopping.push(id);
        self.record_worker_failure(slot);
        None
    }

    /// Sends the polls that are due to workers that changed or whose timer fired.
    fn send_polls(&mut self) {
        let mut due = self.fleet.take_due(self.now);
        // Sorted, so that the order does not depend on how the workers changed.
        due.sort_unstable();
        for slot in due {
            self.send_poll(slot);
        }
    }

    fn send_poll(&mut self, slot: u32) {
        let (now, settings) = (self.now, self.settings);
        let worker = self.fleet.get(slot);
        let is_needed = worker.announced || !worker.runs.is_empty() || !worker.orphans.is_empty();
        if worker.dead || worker.poll_in_flight || worker.info.is_none() || !is_needed {
            return;
        }
        // A later incarnation would take the deadline for a lease of the maximum length, again
        // at each retry.
        let renews = worker.start_time.is_none() || worker.silent_since.is_none();
        let deadline = worker.deadline(&settings, self.store_contact);
        let deadline = deadline.filter(|_| renews);
        let droppable = worker.droppable_end();
        let keeps_ends = droppable > 0 && self.must_keep_ends(slot);
        let due_at = worker.poll_due(deadline, keeps_ends, &settings);
        let worker = &mut self.fleet.workers[slot as usize];
        if now < due_at {
            if worker.timer_at != due_at {
                worker.timer_at = due_at;
                self.fleet.set_timer(slot, due_at);
            }
            return;
        }
        let observed = if keeps_ends { 0 } else { droppable };
        let wait = worker.poll_wait(observed, &settings);
        if let Some(end) = deadline {
            worker.granted_until = worker.granted_until.max(end);
            worker.record_lease_order(now, &settings);
        }
        worker.poll_in_flight = true;
        worker.poll_drops_ends = observed > 0 && worker.start_time.is_some();
        worker.polled_at = now;
        worker.poll_generation = worker.generation;
        worker.poll_has_effect = observed > 0 || deadline.is_some() && worker.start_time.is_some();
        let generation = worker.generation;
        self.stats.polls += 1;
        self.actions.push(Action::Poll {
            worker: slot,
            generation,
            observed,
            deadline,
            wait,
        });
    }

    /// Returns the slots of the workers whose connections may be closed.
    pub fn closable_workers(&self) -> Vec<u32> {
        let mut out = Vec::new();
        for (slot, worker) in self.fleet.workers.iter().enumerate() {
            let idle = worker.runs.is_empty() && worker.orphans.is_empty();
            if worker.dead || !worker.announced && idle {
                out.push(slot as u32);
            }
        }
        out
    }
}
