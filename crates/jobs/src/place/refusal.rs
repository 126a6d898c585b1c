//! Why a worker does not take a task.

/// The first reason that was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It takes nothing new now: it leaves, is silent, failed too often, or is evacuated.
    Closed,
    /// A suspect runs there apart.
    Isolating,
    /// Its last runs failed, and enough others are to show why.
    OnProbation,
    /// It is of another service, or lacks a label.
    Label,
    /// Processors, memory or accelerators are short.
    NoRoom,
    /// What fills there has its share of processors.
    BestEffortShare,
    /// The task failed there of late, or another one did.
    FailedBefore,
    /// It is kept free for a lasting task.
    Reserved,
    /// It has as many tasks of the step as it may have.
    StepLimit,
    /// A tail there is over its target.
    OverTarget,
    /// The task would disturb what serves there.
    Interference,
}

impl Refusal {
    /// How many reasons there are.
    pub(crate) const COUNT: usize = Refusal::Interference as usize + 1;
}
