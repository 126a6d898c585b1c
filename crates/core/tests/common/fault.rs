//! The faults of the brief, as single events.

/// A fault that [`World::inject`](super::World::inject) causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The owner's process dies.
    OwnerDies,
    /// The owner is paused beyond its lease and resumes.
    OwnerPaused,
    /// The table service is unavailable for a while.
    StoreDown,
    /// The owner alone can't reach the table service for a while.
    OwnerCutFromStore,
    /// A worker dies and never returns.
    WorkerDies,
    /// Two workers of a rack die at once and never return.
    RackDies,
    /// A worker reboots at once.
    WorkerReboots,
    /// A worker is unreachable for all owners for a while.
    WorkerCut,
    /// A worker is reachable only for the current owner for a while.
    WorkerKeepsOwner,
    /// The process of a worker is paused and resumes.
    WorkerPaused,
    /// Answers of a worker are lost for a while.
    AnswersLost,
    /// Requests to a worker are delayed beyond the exchange timeout.
    RequestsLate,
    /// Requests to a worker arrive more than once.
    RequestsTwice,
    /// A worker fails every task for a while.
    WorkerFailsAll,
    /// A worker is listed as leaving.
    WorkerLeaves,
    /// Callers cancel a quarter of their jobs.
    Cancels,
    /// An urgent job is submitted.
    UrgentComes,
}

impl Fault {
    /// All faults.
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
