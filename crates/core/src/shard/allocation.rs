//! Attempts that reserve resources on a worker.

use super::AttemptId;
use crate::{Millis, size::Size, template::Priority};

/// Why an attempt has to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or its service shrank.
    Cancelled,
    /// It was preempted for an urgent task.
    Preempted,
    /// It slows services on its worker too much.
    Noisy,
    /// Its worker is leaving.
    Leaving,
}

/// Soft state of an attempt on a worker.
#[derive(Debug, Clone)]
pub struct Allocation {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources that are reserved.
    pub size: Size,
    /// Index of the class of its job.
    pub class: u16,
    /// Priority.
    pub priority: Priority,
    /// Whether it is a replica of a service.
    pub service: bool,
    /// Grace time for which its lease is renewed without the table service.
    pub hold: Millis,
    /// Number of the record that started it; the start is sent once that record is committed.
    pub start_record: u64,
    /// Number of the first exchange that carried the start.
    pub sent_seq: Option<u64>,
    /// Whether the worker reported it as running.
    pub is_running: bool,
    /// When it was reported as running, or else when its start was recorded, by the owner's clock.
    pub since: Millis,
    /// Why it has to stop; `None` if it may continue.
    pub stop: Option<StopReason>,
    /// Percentage of its CPU that it may use; 100 is not throttled.
    pub cpu_percent: u32,
    /// Running mean of its slowdown relative to running alone; 1 is not slowed.
    pub slowdown: f32,
    /// When its throttle last changed, by the owner's clock; 0 if it never did.
    pub throttle_changed_at: Millis,
}
