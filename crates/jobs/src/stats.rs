//! Figures for operators.

/// What the machine counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs that are not finished.
    pub open_jobs: u64,
    /// Tasks that are kept in memory, of finished jobs as well.
    pub tasks: u64,
    /// Starts that were sent.
    pub starts: u64,
    /// Runs that did their work.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended otherwise.
    pub stopped: u64,
    /// Starts that workers refused, rejected ones included.
    pub refused: u64,
    /// Starts that workers rejected for the checkpoint that they brought.
    pub rejected: u64,
    /// Starts without an answer.
    pub unanswered_starts: u64,
    /// Runs given up since their leases were over.
    pub lapsed: u64,
    /// Runs lost with their workers, for whatever cause; those whose leases were over as well.
    pub lost: u64,
    /// Jobs given up since a task of theirs crashed its workers.
    pub jobs_given_up: u64,
    /// Runs of earlier owners on workers that were not heard yet; they hold their tasks.
    pub unverified_runs: u64,
    /// Jobs of which nothing has run for seconds though a task could.
    pub starved_jobs: u64,
    /// Tasks that have a run. None beside jobs that stand still: a guard keeps work from all
    /// workers.
    pub running: u64,
    /// Looks that were sent.
    pub polls: u64,
    /// Passes of placement over the open jobs.
    pub passes: u64,
    /// Workers that were rated for a step, in all passes.
    pub ratings: u64,
    /// Passes that left steps to the next one.
    pub truncated_passes: u64,
    /// Passes that were held back, since starts were answered late.
    pub throttled_passes: u64,
    /// Passes that placed nothing, since too little was known of the workers.
    pub skipped_passes: u64,
    /// How old what is known of the workers' announcements is, in milliseconds.
    pub workers_age_ms: u64,
    /// Batches that were sent to be committed.
    pub commits: u64,
}
