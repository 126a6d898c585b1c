//! Attempts that hold room on a worker.

use super::AttemptId;
use crate::{Millis, size::Size, template::Priority};

/// Why an attempt is to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or its service shrank.
    Cancelled,
    /// It makes room for an urgent task.
    Preempted,
    /// It slows others too much.
    Noisy,
    /// Its worker leaves.
    Leaving,
}

/// Soft state of an attempt on a worker.
#[derive(Debug, Clone)]
pub struct Allocation {
    /// The attempt.
    pub attempt: AttemptId,
    /// Room that is reserved.
    pub size: Size,
    /// Class of its job.
    pub class: u16,
    /// Priority.
    pub priority: Priority,
    /// Whether it is a replica of a service.
    pub service: bool,
    /// How long it goes on without the table service.
    pub hold: Millis,
    /// Number of the record that started it; sent when that is committed.
    pub start_record: u64,
    /// First exchange that carried the start.
    pub sent_seq: Option<u64>,
    /// Whether the worker reported it as running.
    pub is_running: bool,
    /// When its start was recorded, by the owner's clock.
    pub since: Millis,
    /// Why it is to stop, if it is.
    pub stop: Option<StopReason>,
    /// Share of its processors in hundredths.
    pub cpu_percent: u32,
    /// How much slower than alone it was at the last sample; 1 is not slowed.
    pub slowdown: f32,
    /// When it was last throttled or released, by the owner's clock.
    pub throttle_changed_at: Millis,
}
