//! What a new owner knows of the time before its own.

/// What a new owner knows of the time before its own; both on its steady clock, in
/// milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Takeover {
    /// When it asked for the lease on the jobs that it was given: its first contact with the
    /// store. A successor counts from when that was done, however late the answer was read.
    pub asked_at: u64,
    /// When all leases of workers are over that earlier owners may have granted.
    pub prior_leases_end: u64,
}
