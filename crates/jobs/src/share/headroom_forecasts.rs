//! Foresees the headrooms of all steps.
//!
//! The load pattern that this answers: what fills begins or is paced now, and works beside the
//! load of the next seconds. How far ahead follows from how long a pace and a task last.
//!
//! Limits: while curves don't foresee, only as many are fitted as are judged.

use crate::{
    machine::Machine,
    model::{ids::JobId, job::JobState},
    share::{
        forecast::History, headroom::HeadroomForecast, sample::StepKey, seasonality::Seasonality,
    },
};

/// Milliseconds until a pace that is chosen now is replaced and that takes effect.
const PACE_HORIZON_MS: u64 = 1500;

/// Milliseconds for which a filling task runs, usually. With 4 s filling jobs earned 0.76 of
/// their worth, with 2.5 s 0.77 (10 days with trouble on 350 full workers).
const RUN_HORIZON_MS: u64 = 2500;

/// Milliseconds from now to the middle of the next figures.
const NEXT_METRICS_MS: u64 = 250;

impl Machine {
    /// Foresees the headrooms of all steps, as far as curves do.
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

/// Foresees the headrooms of a job's steps; if curves are not `reliable` to do so, they are only
/// judged.
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
            // Nobody would use its curve.
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
