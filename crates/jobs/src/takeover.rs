//! The state that a new owner starts from.

/// When a new owner took over. Both times are milliseconds on the owner's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Takeover {
    /// When the owner requested the lease on the jobs: its first contact with the store. A
    /// successor counts from the time of the grant, however late the answer was read.
    pub asked_at: u64,
    /// When every lease on a worker that earlier owners may have granted has expired.
    pub prior_leases_end: u64,
}
