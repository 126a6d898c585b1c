//! Headroom of a step: how far the tail latencies of its tasks are below their target.
//!
//! Headroom is the target divided by the tail latency; above one, the target is met. It varies with
//! the load, which all tasks of a step share. It is forecast by a curve where curves are reliable,
//! and else estimated from the last and the lowest recent value.

/// Paces and placement keep the headroom above this value. Measurements and curves are off by about
/// a tenth. With 1.2, best-effort jobs earn 0.775 of their value, with 1.3 0.785, and tail
/// latencies are over their targets for as long.
pub(crate) const MIN_HEADROOM: f64 = 1.3;

/// Headroom of a serving task before its first measurement.
pub(crate) const INITIAL_HEADROOM: f64 = 2.5;

/// Smoothing factor: the share of the newest measurement in the current headroom.
const SMOOTHING: f64 = 0.8;

/// Factor by which the lowest recent headroom rises each half second.
const RECOVERY_FACTOR: f64 = 1.04;

/// Half seconds for which a fall of the headroom is extrapolated: until a pace chosen now is
/// replaced.
const EXTRAPOLATION_INTERVALS: f64 = 1.5;

/// Headroom of one step without best-effort runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Headroom {
    current: f64,
    /// Decrease per half second.
    fall: f64,
    /// Lowest recent value.
    lowest: f64,
    has_samples: bool,
    /// Forecast by a curve, if curves are reliable.
    forecast: Option<HeadroomForecast>,
}

/// Headroom of a step as a curve forecasts it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadroomForecast {
    /// Value in the half second that begins.
    pub(crate) current: f64,
    /// Minimum until a pace chosen now is replaced.
    pub(crate) min_for_pace: f64,
    /// Minimum while a run that starts now lasts.
    pub(crate) min_for_run: f64,
    /// Mean while a run that starts now lasts.
    pub(crate) mean_for_run: f64,
}

impl Default for Headroom {
    fn default() -> Headroom {
        Headroom {
            current: INITIAL_HEADROOM,
            fall: 0.0,
            lowest: INITIAL_HEADROOM,
            has_samples: false,
            forecast: None,
        }
    }
}

impl Headroom {
    /// Returns the lowest expected headroom until a pace chosen now is replaced.
    pub(crate) fn min_for_pace(&self) -> f64 {
        match self.forecast {
            Some(f) => f.min_for_pace,
            None => self.current - self.fall.max(0.0) * EXTRAPOLATION_INTERVALS,
        }
    }

    /// Returns the lowest expected headroom while a run that starts now lasts.
    pub(crate) fn min_for_run(&self) -> f64 {
        match self.forecast {
            Some(f) => f.min_for_run,
            None => self.midpoint(),
        }
    }

    /// Returns the mean expected headroom while a run that starts now lasts.
    pub(crate) fn mean_for_run(&self) -> f64 {
        match self.forecast {
            Some(f) => f.mean_for_run,
            None => self.midpoint(),
        }
    }

    /// Returns the mean of the current and the lowest recent headroom, since a high load comes
    /// back.
    fn midpoint(&self) -> f64 {
        (self.current + self.lowest) / 2.0
    }

    /// Sets the forecast, or clears it if curves are not reliable.
    pub(crate) fn set_forecast(&mut self, forecast: Option<HeadroomForecast>) {
        self.forecast = forecast;
    }

    /// Returns the headroom that was forecast for the last half second, if any.
    pub(crate) fn current_forecast(&self) -> Option<f64> {
        self.forecast.map(|f| f.current)
    }

    pub(crate) fn current(&self) -> f64 {
        self.current
    }

    /// Returns the lowest recent headroom.
    pub(crate) fn lowest(&self) -> f64 {
        self.lowest
    }

    /// Updates the headroom with the newest measurement.
    pub(crate) fn update(&mut self, newest: f64) {
        if !self.has_samples {
            (self.current, self.lowest, self.has_samples) = (newest, newest, true);
            return;
        }
        let change = SMOOTHING * (newest - self.current);
        self.current += change;
        self.fall = -change;
        self.lowest = self.current.min(self.lowest * RECOVERY_FACTOR);
    }
}
