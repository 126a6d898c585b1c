//! How far the tails of a step's tasks are below their target.
//!
//! Headroom is target over tail: above one, users are served in time. It swings with
//! the load, which all tasks of a step share. Where a curve foresees it, that is taken; else
//! what was seen last and the lowest of late.

/// Target over tail is kept above this: figures are off by a tenth, and so are curves. With 1.2
/// filling jobs earned 0.775 of their worth, with 1.3 0.785 (10 days with trouble on 350 full
/// workers), and tails were over their targets for as long.
pub(crate) const MIN_HEADROOM: f64 = 1.3;

/// Headroom of a serving task before its first figure.
pub(crate) const INITIAL_HEADROOM: f64 = 2.5;

/// Share of the newest figures in a headroom that is tracked.
const SMOOTHING: f64 = 0.8;

/// By how much the lowest recent headroom rises each half second.
const RECOVERY_FACTOR: f64 = 1.04;

/// Half seconds that a fall of headroom is thought to go on for: until a pace that is
/// chosen now is replaced.
const EXTRAPOLATION_INTERVALS: f64 = 1.5;

/// What is known of the headroom of one step, without what fills.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Headroom {
    current: f64,
    /// By how much it falls each half second.
    fall: f64,
    /// Lowest of late.
    lowest: f64,
    has_samples: bool,
    /// What a curve foresees, if one does.
    forecast: Option<HeadroomForecast>,
}

/// What a curve foresees of a headroom.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadroomForecast {
    /// What it is in the half second that begins.
    pub(crate) current: f64,
    /// The least until a pace that is chosen now is replaced.
    pub(crate) min_for_pace: f64,
    /// The least while a new task runs.
    pub(crate) min_for_run: f64,
    /// The mean while a new task runs.
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
    /// Returns what it will be when a pace that is chosen now is replaced.
    pub(crate) fn min_for_pace(&self) -> f64 {
        match self.forecast {
            Some(f) => f.min_for_pace,
            None => self.current - self.fall.max(0.0) * EXTRAPOLATION_INTERVALS,
        }
    }

    /// Returns the least that it will be while a new task runs.
    pub(crate) fn min_for_run(&self) -> f64 {
        match self.forecast {
            Some(f) => f.min_for_run,
            None => self.midpoint(),
        }
    }

    /// Returns what it will be on average while a new task runs.
    pub(crate) fn mean_for_run(&self) -> f64 {
        match self.forecast {
            Some(f) => f.mean_for_run,
            None => self.midpoint(),
        }
    }

    /// Returns the middle of what it is and the lowest of late: a load comes back.
    fn midpoint(&self) -> f64 {
        (self.current + self.lowest) / 2.0
    }

    /// Takes what a curve foresees; nothing if curves don't.
    pub(crate) fn set_forecast(&mut self, forecast: Option<HeadroomForecast>) {
        self.forecast = forecast;
    }

    /// Returns what was foreseen of it for the last half second, if a curve did.
    pub(crate) fn current_forecast(&self) -> Option<f64> {
        self.forecast.map(|f| f.current)
    }

    /// Returns what it is.
    pub(crate) fn current(&self) -> f64 {
        self.current
    }

    /// Returns the lowest of late.
    pub(crate) fn lowest(&self) -> f64 {
        self.lowest
    }

    /// Takes the newest figure.
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
