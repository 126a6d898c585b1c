//! Forecasts the headrooms of all steps.
//!
//! A best-effort run that starts or changes its pace now runs beside the load of the next seconds.
//! The forecast horizons follow from how long a pace and a run last.
//!
//! Limits: while curves are not reliable, only as many are fitted as can be scored.

use crate::{
    model::{ids::JobId, job::JobState},
    scheduler::Scheduler,
    share::{
        forecast::History, headroom::HeadroomForecast, sample::StepKey, seasonality::Seasonality,
    },
};

/// Time until a pace chosen now is replaced and its replacement takes effect.
const PACE_HORIZON_MS: u64 = 1500;

/// Typical duration of a best-effort run. With 4 s, best-effort jobs earn 0.76 of their value, with
/// 2.5 s 0.77.
const RUN_HORIZON_MS: u64 = 2500;

/// Time from now to the middle of the half second that the next metrics cover.
const NEXT_METRICS_MS: u64 = 250;

impl Scheduler {
    /// Updates the forecasts of all steps, and the seasonality when that is due.
    pub(crate) fn forecast_headrooms(&mut self) {
        let now = self.now;
        self.seasonality.decay(now);
        if self.seasonality.is_due(now) {
            let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
            let steps = jobs.flat_map(|j| j.repetitions.iter().flatten());
            let histories: Vec<&History> = steps.map(|s| &s.history).collect();
            self.seasonality.choose_period(&histories, now);
        }
        let reliable = self.seasonality.is_reliable();
        for &id in &self.open_jobs {
            if let Some(state) = self.jobs.get_mut(&id) {
                forecast_job(&mut self.seasonality, id, state, reliable, now);
            }
        }
    }
}

/// Updates the forecasts of a job's steps. While curves are not `reliable`, they are only scored.
fn forecast_job(
    seasonality: &mut Seasonality,
    job: JobId,
    state: &mut JobState,
    reliable: bool,
    now: u64,
) {
    for (repetition, steps) in (0..).zip(&mut state.repetitions) {
        for (index, step) in (0..).zip(steps) {
            if step.history.is_empty() {
                continue;
            }
            // The curve would be neither used nor scored.
            if !reliable && seasonality.is_full() {
                step.headroom.set_forecast(None);
                continue;
            }
            let step_key = StepKey {
                job,
                repetition,
                step: index,
            };
            let curve = step.history.fit(&seasonality.prior, now).curve;
            seasonality.add_forecast(step_key, &curve, step.headroom.current(), now);
            step.headroom
                .set_forecast(reliable.then(|| HeadroomForecast {
                    current: curve.expected(now + NEXT_METRICS_MS),
                    min_for_pace: curve.minimum(now, PACE_HORIZON_MS),
                    min_for_run: curve.minimum(now, RUN_HORIZON_MS),
                    mean_for_run: curve.average(now, RUN_HORIZON_MS),
                }));
        }
    }
}
