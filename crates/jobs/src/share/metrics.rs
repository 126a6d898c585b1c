//! Records the metrics in worker reports and updates the interference model from them.

use std::sync::Arc;

use crate::{
    event::{RunEnd, WorkerReport},
    scheduler::Scheduler,
    share::{
        forecast::Point,
        own_load::OwnLoad,
        sample::{Pressure, StepKey},
    },
};

/// Largest share of a worker's CPUs that a run counts with. Workers report any number.
const MAX_SHARE: f64 = 2.0;

/// Shortest interval at which the metrics of one worker are used. Each covers half a second.
const MIN_METRICS_INTERVAL_MS: u64 = 450;

/// Interval between fits of the interference model.
const FIT_INTERVAL_MS: u64 = 500;

impl Scheduler {
    /// Records the metrics in a worker's report and chooses the paces of its best-effort runs.
    /// `ended` are the ends that the worker reports for the first time.
    pub(crate) fn observe_metrics(&mut self, slot: u32, report: &WorkerReport, ended: &[&RunEnd]) {
        let now = self.now;
        let worker = self.fleet.get_mut(slot);
        if worker.serving_tasks == 0 {
            return self.restore_paces(slot);
        }
        if now < worker.metrics_at + MIN_METRICS_INTERVAL_MS {
            return;
        }
        worker.metrics_at = now;
        let is_working = self.is_best_effort_working(slot);
        let pressures: Arc<[Pressure]> = self.pressures(slot, report, ended).into();
        let (mut is_over, mut is_above) = (false, false);
        for row in &report.running {
            let Some(state) = self.jobs.get_mut(&row.task.job) else {
                continue;
            };
            let image = state.images[row.task.step as usize];
            let target = state.job.spec.steps[row.task.step as usize].latency_target;
            let step = state.step_mut(row.task.repetition, row.task.step);
            let Some(step) = step.filter(|_| target > 0) else {
                continue;
            };
            let lowest = step.headroom.lowest();
            let task = step.tasks.get_mut(row.task.index as usize);
            let Some(run) = task.and_then(|t| t.run.as_mut()) else {
                continue;
            };
            let Some(ms) = row.metric.filter(|ms| *ms > 0) else {
                run.record_no_latency();
                is_over |= run.over_since.is_some();
                continue;
            };
            let step_key = StepKey {
                job: row.task.job,
                repetition: row.task.repetition,
                step: row.task.step,
            };
            let ratio = ms as f64 / target as f64;
            is_above |= ratio >= 1.0;
            self.interference
                .add_sample(step_key, image, 1.0 / ratio, &pressures);
            let worst = lowest - self.interference.headroom_taken(image, &pressures);
            run.record_latency(ratio, worst, now);
            is_over |= run.over_since.is_some();
        }
        let worker = self.fleet.get_mut(slot);
        worker.own_load.record_best_effort(is_working, now);
        worker.own_load.record_over_target(is_above, now);
        worker.is_over_target = is_over && worker.best_effort_cpu > 0;
        worker.slack = None;
        if worker.best_effort_cpu > 0 {
            self.choose_paces(slot);
        }
    }

    /// Lets best-effort runs on a worker without serving tasks run at full pace. Else a run that
    /// was slowed for a serving task that has ended would stay slowed, and no more best-effort
    /// tasks would be placed there.
    fn restore_paces(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        worker.is_over_target = false;
        worker.own_load = OwnLoad::default();
        if worker.best_effort_cpu > 0 {
            self.choose_paces(slot);
        }
    }

    /// Fits the interference model each half second, updates the forecasts, and lowers paces where
    /// a tail latency has been over its target for long.
    pub(crate) fn update_model(&mut self) {
        if self.now < self.last_fit + FIT_INTERVAL_MS {
            return;
        }
        self.last_fit = self.now;
        let jobs = &self.jobs;
        let forecast = |step_key: StepKey| {
            let step = jobs
                .get(&step_key.job)?
                .step(step_key.repetition, step_key.step)?;
            step.headroom.current_forecast()
        };
        for base in self.interference.fit(forecast) {
            let step_key = base.step_key;
            let state = self.jobs.get_mut(&step_key.job);
            let step = state.and_then(|j| j.step_mut(step_key.repetition, step_key.step));
            let Some(step) = step else {
                continue;
            };
            step.headroom.update(base.headroom);
            step.history.push(Point {
                at: self.now,
                headroom: base.headroom,
                precision: base.precision,
            });
            self.seasonality.score(step_key, base.headroom, self.now);
        }
        self.forecast_headrooms();
        self.update_spare_cpu();
        for slot in 0..self.fleet.workers.len() as u32 {
            self.fleet.workers[slot as usize].slack = None;
            if self.fleet.get(slot).is_over_target {
                self.escalate(slot);
            }
        }
    }

    /// Returns whether a best-effort run on the worker may be using CPU.
    fn is_best_effort_working(&self, slot: u32) -> bool {
        let worker = self.fleet.get(slot);
        if worker.best_effort_cpu == 0 {
            return false;
        }
        let (_, best_effort_runs) = self.colocated_runs(slot);
        let runs = best_effort_runs.iter().filter_map(|run| {
            let task = self.jobs.get(&run.task.job)?.task(run.task)?;
            task.run.as_ref()
        });
        let mut working = runs.filter(|r| r.pace > 0 || r.wanted_pace > 0);
        working.next().is_some()
    }

    /// Returns the CPU shares that best-effort images used on a worker in the last half second.
    ///
    /// A poll is answered as soon as a run ends, so a run that has just ended used CPU for all of
    /// that time.
    fn pressures(&self, slot: u32, report: &WorkerReport, ended: &[&RunEnd]) -> Vec<Pressure> {
        let running = report.running.iter().map(|r| (r.task, r.metric));
        let ended = ended.iter().map(|e| (e.task, None));
        let mut out: Vec<Pressure> = Vec::new();
        for (task, cpu_used) in running.chain(ended) {
            let Some(state) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(step) = state.job.spec.steps.get(task.step as usize) else {
                continue;
            };
            if !step.best_effort {
                continue;
            }
            let image = state.images[task.step as usize];
            let share = self.fleet.get(slot).cpu_share(cpu_used.unwrap_or(step.cpu));
            let share = share.min(MAX_SHARE);
            match out.iter_mut().find(|p| p.image == image) {
                Some(p) => p.share += share,
                None => out.push(Pressure { image, share }),
            }
        }
        out
    }
}
