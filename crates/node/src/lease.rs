//! Watches the lease, and claims it when its owner has released it or failed to renew it.
//!
//! An early claim costs only the work of a takeover: the previous owner's next write fails, and
//! workers refuse its lower epoch.

use std::{sync::Arc, time::Duration};

use gorsespur_core::retry::Backoff;
use gorsespur_jobs::{MAX_GENERATION, Takeover};
use gorsespur_runtime::cancel::CancelToken;
use rand::Rng;

use crate::{
    candidate::{Candidate, MAX_JITTER_MS},
    follow_turns::{FollowTurn, Rest, RestStep},
    metrics::{Count, Duty},
    owner::{self, Tenure},
    row_limits::fit_pending,
    rows::{
        FIGURES, FiguresRow, HEAD_KEY, HeadRow, JOURNAL, LEASE, LeaseRow, OWNER_KEY, OWNER_PART,
        decode, encode,
    },
    shared::Shared,
    store::{Commit, Expect, Row, StoreError, Tx, Write},
};

/// Longest long poll for changes of the lease, in milliseconds. A poll also ends when this instance
/// may claim the lease, so that a small instance does not poll again before a large one.
const MAX_WAIT_MS: u64 = 600;

/// Shortest such long poll, in milliseconds: the store is always read before a claim.
const MIN_WAIT_MS: u64 = 10;

/// Difference between the epochs of an owner and its predecessor. The owner's fencing tokens are
/// the numbers in between and its epoch, so that a successor of any version has higher ones.
const EPOCH_STEP: u64 = MAX_GENERATION as u64;

/// Time limit of a claim, the same as for writes of the journal.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);

/// First pause after a failed read, in milliseconds.
const FIRST_PAUSE_MS: u64 = 150;

/// Longest pause after a failed read, in milliseconds. It bounds the delay of a takeover if the
/// owner was lost together with the store.
const MAX_PAUSE_MS: u64 = 600;

/// Pause after a failed claim. A slow store refuses claims while it has more than a second of
/// queued writes, and each further claim delays the others.
const CLAIM_PAUSE: Duration = Duration::from_millis(1000);

/// The lease as last read from the store.
#[derive(Debug, Clone)]
pub(crate) struct ObservedLease {
    row: Option<Row>,
    lease: LeaseRow,
    /// When this version of the row was first read, in milliseconds.
    pub(crate) version_since: u64,
    /// When its epoch was first read, in milliseconds.
    epoch_since: u64,
    /// Store version up to which changes have been read.
    version: u64,
}

impl ObservedLease {
    fn candidate<'a>(
        &'a self,
        shared: &'a Shared,
        now: u64,
        timing: FollowTiming,
    ) -> Candidate<'a> {
        Candidate {
            lease: self.row.as_ref().map(|_| &self.lease),
            name: &shared.settings.name,
            share: shared.settings.share,
            age_ms: now - self.version_since,
            followed_ms: timing.followed_ms,
            tenure_ms: now - self.epoch_since,
            jitter_ms: timing.jitter_ms,
        }
    }
}

/// The timing of an instance that watches the lease.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FollowTiming {
    /// Time for which it has followed the lease without a rest, in milliseconds.
    pub(crate) followed_ms: u64,
    /// Random delay of a claim, in milliseconds.
    pub(crate) jitter_ms: u64,
}

/// Watches the lease until cancelled, and runs the owner while this instance holds it.
pub(crate) fn watch(shared: &Arc<Shared>, cancel: &CancelToken) {
    let mut watch = LeaseWatch::default();
    let mut rng = rand::rng();
    let mut jitter_ms = rng.random_range(0..MAX_JITTER_MS);
    let mut turn = FollowTurn::new(shared.clock.now());
    let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, rng.random());
    while !cancel.is_cancelled() {
        let timing = |turn: &FollowTurn| FollowTiming {
            followed_ms: turn.followed_ms(shared.clock.now()),
            jitter_ms,
        };
        let seen = match watch.refresh(shared, timing(&turn)) {
            Ok(seen) => seen,
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "lease: read failed");
                shared.record_store_failure();
                cancel.wait(Duration::from_millis(backoff.next_delay()));
                continue;
            }
        };
        backoff.reset();
        let now = shared.clock.now();
        let candidate = seen.candidate(shared, now, timing(&turn));
        if shared.is_leaving() || !candidate.can_claim() {
            match turn.rest_ms(now, candidate.peers(), rng.random()) {
                Some(ms) => {
                    let rest = Rest::new(now, ms, rng.random_range(0..MAX_JITTER_MS));
                    turn = watch.rest(shared, rest, cancel);
                }
                None => {
                    cancel.wait(Duration::from_millis(candidate.follow_pause()));
                }
            }
            continue;
        }
        jitter_ms = rng.random_range(0..MAX_JITTER_MS);
        match claim(shared, seen) {
            Ok(Some(tenure)) => {
                shared.metrics.count(Count::Takeovers);
                owner::run(shared, tenure, cancel);
            }
            Ok(None) => {}
            Err(err) => {
                log::warn!(err = err.to_string().as_str(); "lease: claim failed");
                cancel.wait(CLAIM_PAUSE);
            }
        }
    }
}

/// State of an instance that watches the lease.
#[derive(Debug, Default)]
pub(crate) struct LeaseWatch {
    /// The last lease read. It is kept when the store or a claim fails: reading it afresh would
    /// reset its age, and with it the wait for the end of the previous owner's worker leases. A
    /// claim still needs a successful read first.
    seen: Option<ObservedLease>,
}

impl LeaseWatch {
    /// Waits for changes of the lease, and returns its current state.
    pub(crate) fn refresh(
        &mut self,
        shared: &Shared,
        timing: FollowTiming,
    ) -> Result<&ObservedLease, StoreError> {
        let seen = match &self.seen {
            None => read(shared)?,
            Some(old) => read_changes(shared, old, timing)?,
        };
        Ok(self.seen.insert(seen))
    }

    /// Rests from following the lease, until the rest is over or the lease seems to have no owner.
    /// Returns the turn that begins then.
    fn rest(&mut self, shared: &Shared, mut rest: Rest, cancel: &CancelToken) -> FollowTurn {
        while !cancel.is_cancelled() {
            let now = shared.clock.now();
            match rest.step(now, shared.heard_at()) {
                RestStep::Wait(ms) => {
                    cancel.wait(Duration::from_millis(ms));
                }
                RestStep::End => break,
                RestStep::Look => match self.look(shared) {
                    Ok(Look::Renewed) => rest.record_renewed(now),
                    Ok(Look::Unchanged { seen_at }) => {
                        let unchanged_ms = now.saturating_sub(seen_at);
                        log::info!(unchanged_ms; "lease: not renewed during a rest");
                        return FollowTurn::after_look(now, seen_at);
                    }
                    Err(err) => {
                        log::debug!(err = err.to_string().as_str(); "lease: look failed");
                        shared.record_store_failure();
                        break;
                    }
                },
            }
        }
        FollowTurn::new(shared.clock.now())
    }

    /// Reads the lease, which shows all renewals up to now, unlike the store's changes.
    fn look(&mut self, shared: &Shared) -> Result<Look, StoreError> {
        let Some(old) = &self.seen else {
            self.seen = Some(read(shared)?);
            return Ok(Look::Renewed);
        };
        let version_since = old.version_since;
        let new = reread(shared, old)?;
        let is_held = new.version_since != version_since && !new.lease.released;
        let new = self.seen.insert(new);
        match is_held {
            true => Ok(Look::Renewed),
            false => Ok(Look::Unchanged {
                seen_at: new.version_since,
            }),
        }
    }
}

/// What a look at the lease found.
#[derive(Debug)]
enum Look {
    /// The lease was renewed since it was last read.
    Renewed,
    /// It was not renewed since then, or was released.
    Unchanged {
        /// When the present version was first read, in milliseconds.
        seen_at: u64,
    },
}

fn read_changes(
    shared: &Shared,
    old: &ObservedLease,
    timing: FollowTiming,
) -> Result<ObservedLease, StoreError> {
    let candidate = old.candidate(shared, shared.clock.now(), timing);
    let claim_delay = candidate.claim_delay();
    let wait = Duration::from_millis(claim_delay.clamp(MIN_WAIT_MS, MAX_WAIT_MS));
    let changes = match shared.store(Duty::Lease).changes(LEASE, old.version, wait) {
        Err(StoreError::Compacted) => return reread(shared, old),
        changes => changes?,
    };
    shared.record_store_answer();
    let mut seen = ObservedLease {
        version: changes.version,
        ..old.clone()
    };
    let row = changes.rows.into_iter().rfind(|r| r.key == OWNER_KEY);
    if let Some(row) = row {
        let lease = read_lease(shared, Some(&row))?;
        seen.row = (!row.removed).then_some(row);
        if lease.epoch != seen.lease.epoch {
            seen.epoch_since = shared.clock.now();
        }
        seen.lease = lease;
        seen.version_since = shared.clock.now();
    }
    Ok(seen)
}

fn reread(shared: &Shared, old: &ObservedLease) -> Result<ObservedLease, StoreError> {
    let new = read(shared)?;
    let version = |s: &ObservedLease| s.row.as_ref().map(|r| r.version);
    let same = version(&new) == version(old);
    Ok(ObservedLease {
        version_since: if same {
            old.version_since
        } else {
            new.version_since
        },
        epoch_since: match new.lease.epoch == old.lease.epoch {
            true => old.epoch_since,
            false => new.epoch_since,
        },
        ..new
    })
}

fn read(shared: &Shared) -> Result<ObservedLease, StoreError> {
    let page = shared.store(Duty::Lease).read_all(LEASE, OWNER_PART)?;
    shared.record_store_answer();
    let row = page.rows.into_iter().find(|r| r.key == OWNER_KEY);
    let lease = read_lease(shared, row.as_ref())?;
    Ok(ObservedLease {
        row,
        lease,
        version_since: shared.clock.now(),
        epoch_since: shared.clock.now(),
        version: page.version,
    })
}

/// Decodes the lease's row. If the row is malformed, the epoch is taken from the head of the
/// journal.
///
/// A malformed row does not count as a missing lease: epochs would restart from 1, and workers
/// refuse lower ones.
fn read_lease(shared: &Shared, row: Option<&Row>) -> Result<LeaseRow, StoreError> {
    let Some(row) = row.filter(|r| !r.removed) else {
        return Ok(LeaseRow::default());
    };
    if let Some(lease) = decode("lease", &row.value) {
        return Ok(lease);
    }
    shared.metrics.count(Count::BadRows);
    let head = shared
        .store(Duty::Lease)
        .read_one(JOURNAL, OWNER_PART, HEAD_KEY)?;
    let head: Option<HeadRow> = head.and_then(|r| decode("head", &r.value));
    let head = head.ok_or_else(|| StoreError::Malformed {
        reason: "lease and head of the journal".into(),
    })?;
    Ok(LeaseRow {
        epoch: head.epoch,
        ..LeaseRow::default()
    })
}

/// Returns the fencing token of an order of a generation, sent by the owner of an epoch.
pub(crate) fn fencing_token(epoch: u64, generation: u32) -> u64 {
    epoch.saturating_sub(EPOCH_STEP) + u64::from(generation)
}

/// Tries to become the owner; returns `None` if another instance was faster.
pub(crate) fn claim(
    shared: &Arc<Shared>,
    seen: &ObservedLease,
) -> Result<Option<Tenure>, StoreError> {
    let version = seen.row.as_ref().map_or(0, |r| r.version);
    let epoch = seen.lease.epoch + EPOCH_STEP;
    let asked_at = shared.clock.now();
    let candidate = seen.candidate(shared, asked_at, FollowTiming::default());
    let prior_leases_end = candidate.prior_leases_end(asked_at, &shared.settings.jobs);
    let lease = LeaseRow {
        owner: shared.settings.name.to_string(),
        epoch,
        released: false,
        share: shared.settings.share,
        largest: seen.lease.largest.max(shared.settings.share),
        pending: fit_pending(
            seen.lease.pending.clone(),
            &shared.settings.name,
            shared.settings.jobs.row_bytes,
        )
        .list,
        term: 0,
        earlier: prior_leases_end.saturating_sub(asked_at),
        census: seen.lease.census,
    };
    let head = HeadRow { epoch, number: 0 };
    let tx = Tx {
        part: OWNER_PART.into(),
        expects: vec![Expect {
            table: LEASE,
            key: OWNER_KEY.into(),
            version,
        }],
        writes: vec![
            Write {
                table: LEASE,
                key: OWNER_KEY.into(),
                value: encode(&lease),
            },
            Write {
                table: JOURNAL,
                key: HEAD_KEY.into(),
                value: encode(&head),
            },
            // The figures of the previous owner are out of date.
            Write {
                table: FIGURES,
                key: OWNER_KEY.into(),
                value: encode(&FiguresRow::default()),
            },
        ],
        removes: Vec::new(),
    };
    let done = match shared.store(Duty::Lease).commit(&tx, CLAIM_TIMEOUT) {
        Ok(Commit::Done(version)) => Some(version),
        Ok(Commit::Conflict(_)) => None,
        Err(StoreError::Unknown { .. }) => find_claim(shared, &lease)?,
        Err(err) => return Err(err),
    };
    let Some(version) = done else {
        log::info!(epoch; "lease: another instance claimed it first");
        return Ok(None);
    };
    log::info!(epoch, from = seen.lease.owner.as_str(), released = seen.lease.released, age_ms = asked_at - seen.version_since, leases_ms = prior_leases_end.saturating_sub(asked_at); "lease: taken");
    Ok(Some(Tenure {
        epoch,
        largest: lease.largest,
        census: lease.census,
        pending: lease.pending,
        head: version,
        takeover: Takeover {
            asked_at,
            prior_leases_end,
        },
    }))
}

/// Returns the version of this instance's claim if it took effect although its answer was lost.
fn find_claim(shared: &Shared, lease: &LeaseRow) -> Result<Option<u64>, StoreError> {
    let row = shared
        .store(Duty::Lease)
        .read_one(LEASE, OWNER_PART, OWNER_KEY)?;
    let Some(row) = row else {
        return Ok(None);
    };
    let found: Option<LeaseRow> = decode("lease", &row.value);
    let ours = found.is_some_and(|l| l.epoch == lease.epoch && l.owner == lease.owner);
    Ok(ours.then_some(row.version))
}
