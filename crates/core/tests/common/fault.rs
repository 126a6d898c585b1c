//! Faults of the brief, as one-time events.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The owner's process dies.
    OwnerDies,
    /// The owner is paused across its lease and goes on.
    OwnerPaused,
    /// The table service is down for a while.
    StoreDown,
    /// The owner alone can't reach the table service for a while.
    OwnerCutFromStore,
    /// A worker dies and never returns.
    WorkerDies,
    /// Two workers of a rack die at once and never return.
    RackDies,
    /// A worker reboots at once.
    WorkerReboots,
    /// A worker can't be reached by anyone for a while.
    WorkerCut,
    /// A worker can be reached only by the owner of now, for a while.
    WorkerKeepsOwner,
    /// A worker's process is paused and goes on.
    WorkerPaused,
    /// Answers of a worker are lost for a while.
    AnswersLost,
    /// Requests to a worker are delayed until much later.
    RequestsLate,
    /// Requests to a worker arrive twice.
    RequestsTwice,
    /// A worker fails every task for a while.
    WorkerFailsAll,
    /// A worker is listed as leaving.
    WorkerLeaves,
    /// Callers cancel some of their jobs.
    Cancels,
    /// An urgent job comes and needs room.
    UrgentComes,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 17] = [
        Fault::OwnerDies,
        Fault::OwnerPaused,
        Fault::StoreDown,
        Fault::OwnerCutFromStore,
        Fault::WorkerDies,
        Fault::RackDies,
        Fault::WorkerReboots,
        Fault::WorkerCut,
        Fault::WorkerKeepsOwner,
        Fault::WorkerPaused,
        Fault::AnswersLost,
        Fault::RequestsLate,
        Fault::RequestsTwice,
        Fault::WorkerFailsAll,
        Fault::WorkerLeaves,
        Fault::Cancels,
        Fault::UrgentComes,
    ];
}
