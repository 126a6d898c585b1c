//! Tells which new jobs can be served, from what their queues are entitled to and from what waits.
//!
//! The load pattern is more callers than capacity. A job that is accepted and can't be served in
//! time fails late, and a long-running one that is accepted takes capacity that short jobs need.
//! The owner computes a few figures for each queue, and every instance decides by them whether to
//! accept a job.
//!
//! Limits: figures are a moment old when an instance reads them, and a burst that comes meanwhile
//! is accepted.
//!
//! - [`arrivals`]: what callers ask for, including what is refused;
//! - [`backlog`]: what waits before a new job, and what runs;
//! - [`pace`]: how quickly waiting work is taken up;
//! - [`typical`]: the typical job of a queue;
//! - [`boundary`]: the share of the order whose jobs can start in time;
//! - [`forecast`]: the wait, and whether to refuse new jobs.

pub(crate) mod arrivals;
pub(crate) mod backlog;
pub(crate) mod boundary;
pub(crate) mod forecast;
pub(crate) mod pace;
pub(crate) mod typical;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    admission::{
        arrivals::Arrivals,
        backlog::{QueueLoad, arrival, competition, held_cpu},
        boundary::Competition,
        forecast::{Objective, Outlook, forecast},
        pace::Pace,
        typical::TypicalJob,
    },
    entitlement::WorkKind,
    model::{job::JobState, spec::Step},
    order::{estimates::EstimateModel, urgency::ORDER_SHARES},
    place::free_capacity::FreeCapacity,
    runs::worker::Capacity,
    scheduler::Scheduler,
};

/// Time between two forecasts, in milliseconds: half of the time between two publications.
const FORECAST_PERIOD_MS: u64 = 200;

/// What new jobs of a queue can expect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueFigures {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// CPU that new long-running tasks may request, in thousandths of a core.
    pub long_running_cpu: u64,
    /// Memory that new long-running tasks may request, in MB.
    pub long_running_memory: u64,
    /// Forecast for short jobs.
    pub short: WaitForecast,
    /// Forecast for best-effort jobs.
    pub best_effort: WaitForecast,
}

/// The expected wait of a new job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitForecast {
    /// Expected time until a task of the job starts, in milliseconds.
    pub wait: u64,
    /// Longest wait with which a job of typical length still meets its objective, in milliseconds.
    pub slack: u64,
    /// Time after which a refused caller should come back, in milliseconds.
    pub retry_after: u64,
    /// Share of the order whose new jobs are to be refused, in thousandths: those that go last by
    /// [`order_share`](crate::order_share). 0 where all are accepted.
    pub refused: u32,
}

/// The last forecasts.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    /// Sorted by queue and kind.
    rows: Vec<ForecastRow>,
    updated_at: u64,
    /// Jobs taken up until then count in the typical jobs.
    observed_until: Option<u64>,
}

/// The forecast for one queue and kind, and what it is learned from.
#[derive(Debug)]
struct ForecastRow {
    queue: Arc<str>,
    kind: WorkKind,
    pace: Pace,
    arrivals: Arrivals,
    /// Since when free capacity has fitted a typical task.
    fits_since: Option<u64>,
    typical: TypicalJob,
    forecast: WaitForecast,
}

impl Forecasts {
    fn row(&self, queue: &str, kind: WorkKind) -> Option<&ForecastRow> {
        let key = (queue, kind);
        let at = self
            .rows
            .binary_search_by(|r| (&*r.queue, r.kind).cmp(&key));
        at.ok().map(|at| &self.rows[at])
    }

    fn row_mut(&mut self, queue: &Arc<str>, kind: WorkKind) -> &mut ForecastRow {
        let key = (queue, kind);
        let at = self.rows.binary_search_by(|r| (&r.queue, r.kind).cmp(&key));
        let at = at.unwrap_or_else(|at| {
            let row = ForecastRow {
                queue: queue.clone(),
                kind,
                pace: Pace::default(),
                arrivals: Arrivals::default(),
                fits_since: None,
                typical: TypicalJob::default(),
                forecast: WaitForecast::default(),
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    /// Returns the number of queues that refuse jobs, by kind.
    pub(crate) fn closed_count(&self) -> u64 {
        self.rows.iter().filter(|r| r.forecast.refused > 0).count() as u64
    }

    /// Returns the longest forecast wait in milliseconds.
    pub(crate) fn longest_wait(&self) -> u64 {
        let waits = self.rows.iter().map(|r| r.forecast.wait);
        waits.max().unwrap_or(0)
    }
}

/// Returns the kind of a job for the forecasts; `None` for long-running jobs.
fn kind_of(state: &JobState) -> Option<WorkKind> {
    let steps = &state.job.spec.steps;
    if steps.iter().any(|s| s.long_running) {
        return None;
    }
    match steps.iter().any(|s| s.best_effort) {
        true => Some(WorkKind::BestEffort),
        false => Some(WorkKind::Short),
    }
}

impl Scheduler {
    /// Renews the forecasts if that is due. Placement must just have run: what then still waits
    /// finds no capacity.
    pub(crate) fn update_forecasts(&mut self) {
        if self.now < self.forecasts.updated_at + FORECAST_PERIOD_MS {
            return;
        }
        // Without placement the open jobs are not sorted.
        if !self.fleet.is_fresh(self.now, &self.settings) {
            return;
        }
        self.forecasts.updated_at = self.now;
        self.observe_new_jobs();
        let mut loads = self.queue_loads();
        for load in &mut loads {
            let row = self.forecasts.row_mut(&load.queue, load.kind);
            row.arrivals
                .record_admitted(self.now, ORDER_SHARES - row.forecast.refused);
            load.asked = row.arrivals.asked_cpu();
        }
        for load in &loads {
            let held = held_cpu(&loads, load);
            let row = self.forecasts.row_mut(&load.queue, load.kind);
            row.pace.record(self.now, held);
            let (pace, typical) = (row.pace.current(self.now), row.typical);
            let since = row.fits_since.unwrap_or(self.now);
            let fits_since = self.fits_typical_task(load, &typical).then_some(since);
            let outlook = Outlook {
                competition: pace.map(|pace| competition(&loads, load, pace)),
                fits_for: fits_since.map(|since| self.now - since),
                objective: self.typical_objective(&load.queue, &typical),
            };
            self.forecasts.row_mut(&load.queue, load.kind).fits_since = fits_since;
            self.renew_forecast(load, &outlook);
        }
    }

    fn renew_forecast(&mut self, load: &QueueLoad, outlook: &Outlook) {
        let row = self.forecasts.row_mut(&load.queue, load.kind);
        let before = row.forecast;
        row.forecast = forecast(before.refused > 0, outlook);
        if !self.settings.partial_admission {
            row.forecast.refused = 0;
        }
        let now = row.forecast;
        if (now.refused > 0) != (before.refused > 0) {
            let competition = outlook.competition.as_ref();
            let backlog = competition.map_or(0, Competition::backlog);
            let pace = competition.map(|c| c.pace);
            log::info!(queue = &*load.queue, kind:? = load.kind, refused = now.refused, wait = now.wait, slack = now.slack, retry_after = now.retry_after, backlog, pace:?, asked = load.asked, fits_for:? = outlook.fits_for; "admission: changed");
        }
    }

    /// Adds the jobs that were taken up since the last forecast to the typical jobs.
    fn observe_new_jobs(&mut self) {
        let no_model = EstimateModel::default();
        let since = self.forecasts.observed_until;
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get(id) else {
                continue;
            };
            if since.is_some_and(|at| state.known_since <= at) {
                continue;
            }
            let (Some(kind), Some((path, _))) = (kind_of(state), state.critical_path) else {
                continue;
            };
            let model = self.estimates.get(&state.job.queue).unwrap_or(&no_model);
            let row = self.forecasts.row_mut(&state.job.queue, kind);
            row.typical.observe(state, path.total);
            row.arrivals.add(arrival(state, model, self.now));
        }
        self.forecasts.observed_until = Some(self.now);
    }

    /// Returns the objective of a typical job, or `None` if the queue has no objective or no job
    /// was seen.
    fn typical_objective(&self, queue: &str, typical: &TypicalJob) -> Option<Objective> {
        let policy = self.policy(queue)?;
        let has_objective = policy.stretch > 0.0 || policy.latency > 0;
        if !has_objective || !typical.is_known() {
            return None;
        }
        let path = typical.path_ms();
        Some(Objective {
            path,
            limit: policy.objective_ms(path),
        })
    }

    /// Returns whether a worker of the service can take a typical task now.
    ///
    /// Best-effort tasks may find no worker although one has capacity, where they would interfere
    /// with serving tasks. Tasks that are no larger and have waited for a while show that.
    fn fits_typical_task(&self, load: &QueueLoad, typical: &TypicalJob) -> bool {
        if !typical.is_known() {
            return true;
        }
        let size = typical.task_size();
        if load.stuck.is_some_and(|s| is_within(s, size)) {
            return false;
        }
        let step = Step {
            count: 1,
            cpu: size.cpu,
            memory: size.memory,
            gpu: size.gpu,
            best_effort: load.kind == WorkKind::BestEffort,
            ..Step::default()
        };
        self.fleet.workers.iter().any(|worker| {
            let info = worker.info.as_ref();
            let info = info.filter(|_| worker.accepts_runs(self.now));
            info.is_some_and(|i| i.service == load.service)
                && worker.isolated_task.is_none()
                && !worker.is_on_probation(self.now)
                && FreeCapacity::of(worker).fits(&step, false)
        })
    }

    /// Returns the forecast for new jobs of a queue.
    pub(crate) fn wait_forecast(&self, queue: &str, kind: WorkKind) -> WaitForecast {
        let row = self.forecasts.row(queue, kind);
        row.map_or(WaitForecast::default(), |r| r.forecast)
    }

    /// Returns the forecast for a job that was just accepted.
    pub(crate) fn forecast_for(&self, state: &JobState) -> WaitForecast {
        let kind = kind_of(state);
        kind.map_or(WaitForecast::default(), |kind| {
            self.wait_forecast(&state.job.queue, kind)
        })
    }

    /// Returns the figures of all queues, sorted by queue.
    pub fn queue_figures(&self) -> Vec<QueueFigures> {
        let mut figures = Vec::with_capacity(self.queues.len());
        for policy in &self.queues {
            let Some(row) = self.entitlement(&policy.queue, WorkKind::LongRunning) else {
                continue;
            };
            let mut asked = row.demand.held;
            asked.add(row.demand.waiting);
            figures.push(QueueFigures {
                queue: policy.queue.clone(),
                long_running_cpu: row.limit.cpu.saturating_sub(asked.cpu),
                long_running_memory: row.limit.memory.saturating_sub(asked.memory),
                short: self.wait_forecast(&policy.queue, WorkKind::Short),
                best_effort: self.wait_forecast(&policy.queue, WorkKind::BestEffort),
            });
        }
        figures
    }
}

/// Returns whether a task is no larger than another one.
fn is_within(task: Capacity, other: Capacity) -> bool {
    task.cpu <= other.cpu && task.memory <= other.memory && task.gpu <= other.gpu
}
