//! Classes of tasks: a kind of job or a service of an organisation.

use crate::{Millis, name::Name, size::Size, template::Weights};

/// What a machine knows of a class.
#[derive(Debug, Clone)]
pub(super) struct TaskClass {
    pub org: Name,
    pub kind: Name,
    pub service: bool,
    pub weights: Weights,
    pub hold: Millis,
    pub max_evictions: u32,
    /// Most processors and memory that a task was seen to use.
    pub peak_usage: Size,
    pub done: u64,
    pub failed: u64,
}
