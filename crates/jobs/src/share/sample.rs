//! What one look tells of a serving task.

use std::sync::Arc;

use crate::model::ids::JobId;

/// Number of an image; 0 for none.
pub(crate) type Image = u16;

/// What filling tasks of one image use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pressure {
    /// Their image.
    pub(crate) image: Image,
    /// What they use of the worker's processors, as a share of all.
    pub(crate) share: f64,
}

/// The tasks of one step in one repetition: they share their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) repetition: u32,
    pub(crate) step: u32,
}

/// The headroom of one task, and what filled beside it.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    /// The step.
    pub(crate) step_key: StepKey,
    /// The image of the serving task.
    pub(crate) serving_image: Image,
    /// Target over tail.
    pub(crate) headroom: f64,
    /// What filled.
    pub(crate) pressures: Arc<[Pressure]>,
    /// Fits that it has waited for.
    pub(crate) age: u8,
}

impl Sample {
    /// Returns its weight: errors are in proportion to the headroom.
    pub(crate) fn precision(&self) -> f64 {
        self.headroom.max(1.0).powi(-2)
    }
}
