//! Reasons why a worker does not take a task.

/// The first reason found why a worker does not take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The worker accepts no runs: it is leaving, silent, quarantined or evacuated.
    Closed,
    /// A suspect runs on the worker in isolation.
    Isolating,
    /// The worker's last runs failed, and enough other runs are there to show why.
    OnProbation,
    /// The worker belongs to another service or lacks a label.
    Label,
    /// The worker lacks CPU, memory or accelerators.
    NoRoom,
    /// Best-effort tasks on the worker already use their share of CPU.
    BestEffortShare,
    /// The task failed on this worker recently, or on another one while this one has
    /// failures too.
    FailedBefore,
    /// The worker is reserved for another step.
    Reserved,
    /// The worker runs as many tasks of the step as it may.
    StepLimit,
    /// The tail latency of a serving task on the worker is over its target.
    OverTarget,
    /// The task would interfere too much with serving tasks on the worker.
    Interference,
}

impl Refusal {
    /// Number of reasons.
    pub(crate) const COUNT: usize = Refusal::Interference as usize + 1;
}
