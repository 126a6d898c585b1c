//! Classes of tasks: each kind of job and each service of an organisation is a class.

use crate::{Millis, name::Name, size::Size, template::Weights};

/// A class with its organisation's settings and its statistics.
#[derive(Debug, Clone)]
pub(super) struct TaskClass {
    pub org: Name,
    pub kind: Name,
    pub service: bool,
    pub weights: Weights,
    pub hold: Millis,
    pub max_evictions: u32,
    /// Highest CPU and memory use in the samples of its tasks.
    pub peak_usage: Size,
    pub done: u64,
    pub failed: u64,
}
