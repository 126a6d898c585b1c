//! Observations of the headroom of serving tasks, as the interference model takes them.

use std::sync::Arc;

use crate::model::ids::JobId;

/// Number of an image, 0 for none.
pub(crate) type Image = u16;

/// CPU use by the best-effort runs of one image on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pressure {
    pub(crate) image: Image,
    /// Share of the worker's CPUs.
    pub(crate) share: f64,
}

/// The tasks of one step in one repetition of a job. They share their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) repetition: u32,
    pub(crate) step: u32,
}

/// Headroom of one serving task, and the best-effort CPU use beside it.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) step_key: StepKey,
    /// Image of the serving task.
    pub(crate) serving_image: Image,
    /// Target divided by tail latency.
    pub(crate) headroom: f64,
    /// Best-effort CPU use by image.
    pub(crate) pressures: Arc<[Pressure]>,
    /// Number of fits that the sample has waited for others of its step.
    pub(crate) age: u8,
}

impl Sample {
    /// Returns the weight of the sample in a fit. Errors are proportional to the headroom.
    pub(crate) fn precision(&self) -> f64 {
        self.headroom.max(1.0).powi(-2)
    }
}
