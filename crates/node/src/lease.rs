//! Watches the lease, and takes it when its owner has given it up or is gone.
//!
//! Taking it too early costs the work of a takeover and no more: the old owner's
//! next write fails, and workers refuse its lower epoch.

use std::{sync::Arc, time::Duration};

use gorsespur_core::retry::Backoff;
use gorsespur_jobs::Takeover;
use gorsespur_runtime::cancel::CancelToken;
use rand::Rng;

use crate::{
    contest::{Contest, JITTER},
    metrics::{Count, Duty},
    owner::{self, Tenure},
    rows::{HEAD, HeadRow, JOURNAL, LEASE, LeaseRow, OWNER, OWNER_PART, decode, encode},
    shared::Shared,
    store::{Commit, Expect, Row, StoreError, Tx, Write},
    turns::Turn,
};

/// How long one question for changes waits at most: an instance that may take the
/// lease sooner asks again just then, lest a small one asks before a large one.
const WAIT: u64 = 600;

/// How long one question waits at least, in milliseconds: a lease is not taken
/// before the store was asked.
const LEAST_WAIT: u64 = 10;

/// Time for an answer to a claim, as for writes of the journal.
const LIMIT: Duration = Duration::from_millis(2500);

/// First pause after a failure, in milliseconds.
const FIRST_PAUSE: u64 = 150;

/// Longest such pause, in milliseconds: a lease whose owner was lost with the store is taken soon
/// after that answers again.
const LAST_PAUSE: u64 = 600;

/// Pause after a claim that failed: a slow store refuses claims while more than a second of
/// writes waits, and each one more makes the others wait longer.
const CLAIM_PAUSE: Duration = Duration::from_millis(1000);

/// The lease as it was last seen.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    row: Option<Row>,
    lease: LeaseRow,
    /// When this version was first seen.
    pub(crate) since: u64,
    /// When its epoch was first seen.
    begun: u64,
    /// The store's version up to which changes are known.
    version: u64,
}

impl Seen {
    fn contest<'a>(&'a self, shared: &'a Shared, now: u64, odds: Odds) -> Contest<'a> {
        Contest {
            lease: self.row.as_ref().map(|_| &self.lease),
            name: &shared.settings.name,
            share: shared.settings.share,
            age: now - self.since,
            watched: odds.watched,
            tenure: now - self.begun,
            jitter: odds.jitter,
        }
    }
}

/// What is an instance's own in a contest for the lease.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Odds {
    /// For how long it has followed the lease without a rest, in milliseconds.
    pub(crate) watched: u64,
    /// A delay by chance, in milliseconds.
    pub(crate) jitter: u64,
}

/// Watches until cancelled; while this instance owns the lease, it decides.
pub(crate) fn watch(shared: &Arc<Shared>, cancel: &CancelToken) {
    let mut watch = Watch::default();
    let mut rng = rand::rng();
    let mut jitter = rng.random_range(0..JITTER);
    let mut turn = Turn::new(shared.clock.now());
    let mut backoff = Backoff::new(FIRST_PAUSE, LAST_PAUSE, rng.random());
    while !cancel.is_cancelled() {
        let odds = |turn: &Turn| Odds {
            watched: turn.watched(shared.clock.now()),
            jitter,
        };
        let seen = match watch.look(shared, odds(&turn)) {
            Ok(seen) => seen,
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "lease: not seen");
                shared.untouched();
                cancel.wait(Duration::from_millis(backoff.next_delay()));
                continue;
            }
        };
        backoff.reset();
        let now = shared.clock.now();
        let contest = seen.contest(shared, now, odds(&turn));
        if shared.is_leaving() || !contest.is_won() {
            match turn.rest(now, contest.alike(), rng.random()) {
                Some(rest) => {
                    cancel.wait(Duration::from_millis(rest));
                    turn = Turn::new(shared.clock.now());
                }
                None => {
                    cancel.wait(Duration::from_millis(contest.pause()));
                }
            }
            continue;
        }
        jitter = rng.random_range(0..JITTER);
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

/// What an instance that watches the lease remembers.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// The lease as it was last seen. It outlasts failures of the store and of claims: seen
    /// anew, its age would begin anew, and with it the wait for its owner's leases. Only an
    /// answer of the store lets it be claimed.
    seen: Option<Seen>,
}

impl Watch {
    /// Asks for changes of the lease, and returns it as it is now.
    pub(crate) fn look(&mut self, shared: &Shared, odds: Odds) -> Result<&Seen, StoreError> {
        let seen = match &self.seen {
            None => read(shared)?,
            Some(old) => look_again(shared, old, odds)?,
        };
        Ok(self.seen.insert(seen))
    }
}

fn look_again(shared: &Shared, old: &Seen, odds: Odds) -> Result<Seen, StoreError> {
    let contest = old.contest(shared, shared.clock.now(), odds);
    let remaining = contest.remaining();
    let wait = Duration::from_millis(remaining.clamp(LEAST_WAIT, WAIT));
    let changes = match shared.store(Duty::Lease).changes(LEASE, old.version, wait) {
        Err(StoreError::Forgotten) => return read_again(shared, old),
        changes => changes?,
    };
    shared.touched();
    let mut seen = Seen {
        version: changes.version,
        ..old.clone()
    };
    let row = changes.rows.into_iter().rfind(|r| r.key == OWNER);
    if let Some(row) = row {
        let lease = read_lease(shared, Some(&row))?;
        seen.row = (!row.removed).then_some(row);
        if lease.epoch != seen.lease.epoch {
            seen.begun = shared.clock.now();
        }
        seen.lease = lease;
        seen.since = shared.clock.now();
    }
    Ok(seen)
}

fn read_again(shared: &Shared, old: &Seen) -> Result<Seen, StoreError> {
    let new = read(shared)?;
    let version = |s: &Seen| s.row.as_ref().map(|r| r.version);
    let same = version(&new) == version(old);
    Ok(Seen {
        since: if same { old.since } else { new.since },
        begun: match new.lease.epoch == old.lease.epoch {
            true => old.begun,
            false => new.begun,
        },
        ..new
    })
}

fn read(shared: &Shared) -> Result<Seen, StoreError> {
    let page = shared.store(Duty::Lease).read_all(LEASE, OWNER_PART)?;
    shared.touched();
    let row = page.rows.into_iter().find(|r| r.key == OWNER);
    let lease = read_lease(shared, row.as_ref())?;
    Ok(Seen {
        row,
        lease,
        since: shared.clock.now(),
        begun: shared.clock.now(),
        version: page.version,
    })
}

/// Reads the lease's row; if that can't be read, what the journal's end tells of it.
///
/// It is not taken for no lease: epochs would begin anew, and workers refuse lower ones.
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
        .read_one(JOURNAL, OWNER_PART, HEAD)?;
    let head: Option<HeadRow> = head.and_then(|r| decode("head", &r.value));
    let head = head.ok_or_else(|| StoreError::Malformed {
        reason: "lease and journal's end".into(),
    })?;
    Ok(LeaseRow {
        epoch: head.epoch,
        ..LeaseRow::default()
    })
}

/// Tries to become the owner; nothing if another was faster.
pub(crate) fn claim(shared: &Arc<Shared>, seen: &Seen) -> Result<Option<Tenure>, StoreError> {
    let version = seen.row.as_ref().map_or(0, |r| r.version);
    let epoch = seen.lease.epoch + 1;
    let asked = shared.clock.now();
    let contest = seen.contest(shared, asked, Odds::default());
    let inherited = contest.inherited(asked, &shared.settings.jobs);
    let lease = LeaseRow {
        owner: shared.settings.name.to_string(),
        epoch,
        released: false,
        share: shared.settings.share,
        largest: seen.lease.largest.max(shared.settings.share),
        pending: seen.lease.pending.clone(),
        term: 0,
        earlier: inherited.saturating_sub(asked),
        census: seen.lease.census,
    };
    let head = HeadRow { epoch, number: 0 };
    let tx = Tx {
        part: OWNER_PART.into(),
        expects: vec![Expect {
            table: LEASE,
            key: OWNER.into(),
            version,
        }],
        writes: vec![
            Write {
                table: LEASE,
                key: OWNER.into(),
                value: encode(&lease),
            },
            Write {
                table: JOURNAL,
                key: HEAD.into(),
                value: encode(&head),
            },
        ],
        removes: Vec::new(),
    };
    let done = match shared.store(Duty::Lease).commit(&tx, LIMIT) {
        Ok(Commit::Done(version)) => Some(version),
        Ok(Commit::Conflict(_)) => None,
        Err(StoreError::Unknown { .. }) => find_claim(shared, &lease)?,
        Err(err) => return Err(err),
    };
    let Some(version) = done else {
        log::info!(epoch; "lease: another instance was faster");
        return Ok(None);
    };
    log::info!(epoch, from = seen.lease.owner.as_str(), released = seen.lease.released, age_ms = asked - seen.since, leases_ms = inherited.saturating_sub(asked); "lease: taken");
    Ok(Some(Tenure {
        epoch,
        largest: lease.largest,
        census: lease.census,
        pending: lease.pending,
        head: version,
        takeover: Takeover {
            asked_at: asked,
            prior_leases_end: inherited,
        },
    }))
}

/// After a lost answer: the version of our claim, if it was done.
fn find_claim(shared: &Shared, lease: &LeaseRow) -> Result<Option<u64>, StoreError> {
    let row = shared
        .store(Duty::Lease)
        .read_one(LEASE, OWNER_PART, OWNER)?;
    let Some(row) = row else {
        return Ok(None);
    };
    let found: Option<LeaseRow> = decode("lease", &row.value);
    let ours = found.is_some_and(|l| l.epoch == lease.epoch && l.owner == lease.owner);
    Ok(ours.then_some(row.version))
}
