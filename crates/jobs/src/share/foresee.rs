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
const SOON: u64 = 1500;

/// Milliseconds for which a filling task runs, usually. With 4 s filling jobs earned 0.76 of
/// their worth, with 2.5 s 0.77 (10 days with trouble on 350 full workers).
const LATER: u64 = 2500;

/// Milliseconds from now to the middle of the next figures.
const NEXT: u64 = 250;

impl Machine {
    /// Foresees the headrooms of all steps, as far as curves do.
    pub(crate) fn forecast_headrooms(&mut self) {
        let now = self.now;
        self.seasonality.fade(now);
        if self.seasonality.is_due(now) {
            let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
            let steps = jobs.flat_map(|j| j.repetitions.iter().flatten());
            let histories: Vec<&History> = steps.map(|s| &s.history).collect();
            self.seasonality.choose_period(&histories, now);
        }
        let known = self.seasonality.is_known();
        for &id in &self.open_jobs {
            if let Some(state) = self.jobs.get_mut(&id) {
                foresee_job(&mut self.seasonality, id, state, known, now);
            }
        }
    }
}

/// Foresees the headrooms of a job's steps; if curves are not `known` to do so, they are only
/// judged.
fn foresee_job(season: &mut Seasonality, job: JobId, state: &mut JobState, known: bool, now: u64) {
    for (time, steps) in (0..).zip(&mut state.repetitions) {
        for (at, step) in (0..).zip(steps) {
            if step.history.is_empty() {
                continue;
            }
            // Nobody would use its curve.
            if !known && season.is_full() {
                step.headroom.set_forecast(None);
                continue;
            }
            let group = StepKey {
                job,
                repetition: time,
                step: at,
            };
            let curve = step.history.fit(&season.prior, now).curve;
            season.add_forecast(group, &curve, step.headroom.now(), now);
            step.headroom.set_forecast(known.then(|| HeadroomForecast {
                now: curve.expected(now + NEXT),
                soon: curve.least(now, SOON),
                later: curve.least(now, LATER),
                average: curve.average(now, LATER),
            }));
        }
    }
}
