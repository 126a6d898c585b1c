//! Statistics for operators.

/// Counters and gauges of the scheduler. Counters cover the time since the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs that are not finished.
    pub open_jobs: u64,
    /// Tasks in memory, including those of finished jobs.
    pub tasks: u64,
    /// Starts sent.
    pub starts: u64,
    /// Runs that completed their work.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in any other way.
    pub stopped: u64,
    /// Starts that workers refused, including rejected ones.
    pub refused: u64,
    /// Starts that workers rejected because of their checkpoint.
    pub rejected: u64,
    /// Starts without an answer.
    pub unanswered_starts: u64,
    /// How often the generation of a worker's orders was raised.
    pub raised_generations: u64,
    /// Ends of earlier runs that waited until a later run could no longer start.
    pub held_ends: u64,
    /// Runs given up because their leases had expired.
    pub lapsed: u64,
    /// Runs lost with their workers for any reason, including expired leases.
    pub lost: u64,
    /// Jobs that failed because one of their tasks crashed its workers.
    pub jobs_given_up: u64,
    /// Jobs that failed because the store rejects their state for good.
    pub jobs_not_stored: u64,
    /// Runs of earlier owners on workers that have not reported yet. Their tasks are not placed
    /// again.
    pub unverified_runs: u64,
    /// Jobs that have had no run for seconds although one of their tasks could run.
    pub starved_jobs: u64,
    /// For how long the longest starved job has had no run, in milliseconds.
    pub longest_stall_ms: u64,
    /// Jobs that can no longer meet their objective.
    pub late_jobs: u64,
    /// Suspects that wait for isolation.
    pub waiting_suspects: u64,
    /// Workers that isolate a suspect.
    pub isolating_workers: u64,
    /// Tasks whose run is to be stopped and has not ended.
    pub stopping: u64,
    /// Runs stopped so far because they interfered with serving tasks.
    pub moved: u64,
    /// Long-running tasks that were stopped for short work.
    pub lent: u64,
    /// Lent tasks that run again.
    pub returned: u64,
    /// Lent tasks that don't run again yet.
    pub lent_now: u64,
    /// Longest time from the stop of a lent task until it ran again, in milliseconds.
    pub longest_away_ms: u64,
    /// Tasks that have a run. Zero together with starved jobs means that a safety check
    /// excludes all workers.
    pub running: u64,
    /// Polls sent.
    pub polls: u64,
    /// Passes of placement over the open jobs.
    pub passes: u64,
    /// Ratings of a worker for a step, over all passes.
    pub ratings: u64,
    /// Passes that left steps to the next pass.
    pub truncated_passes: u64,
    /// Passes that were throttled because starts were answered late.
    pub throttled_passes: u64,
    /// Passes that placed nothing because the workers' announcements were stale.
    pub skipped_passes: u64,
    /// Age of the last complete read of the workers' announcements, in milliseconds.
    pub workers_age_ms: u64,
    /// Queues that hold less than they are entitled to while their tasks wait, by kind of work.
    pub short_queues: u64,
    /// Thousandths of a core that are free beside long-running tasks in pieces too small for a
    /// typical short task.
    pub stranded_cpu: u64,
    /// Batches sent to be committed.
    pub commits: u64,
}
