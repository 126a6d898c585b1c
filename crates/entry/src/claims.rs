//! Claims of idempotency keys in the table service.
//!
//! A key is claimed before its request is sent, so that a retry of the caller
//! through another instance does not run the request again. If the outcome of
//! the request is unknown, the claim stays, and every retry is answered as
//! unknown.

use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use gorsespur_core::{
    hashing::{StableHasher, stable_hash},
    name::Name,
    retry::Backoff,
    route::Outcome,
};
use gorsespur_runtime::{
    client::find_header,
    clock::{Clock, wall_hour},
    server::{Incoming, Reply},
};
use gorsespur_services::{Table, TableError};
use gorsespur_wire::{
    codec::{decode, encode},
    fields::OUTCOME,
    keys,
    stored::{Claim, ClaimEnd, ClaimedKey},
    table::{Expect, Row, Tx},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::hash::Hasher;

/// Maximum length of an answer that is stored with a claim.
const MAX_STORED_BYTES: usize = 64 << 10;

/// Bounds of the backoff between attempts to write a claim or read it back.
const FIRST_DELAY_MS: u64 = 10;
const MAX_DELAY_MS: u64 = 200;

/// Maximum number of attempts to finish or release a claim.
const WRITE_ATTEMPTS: u32 = 3;

/// A claim that this instance holds, with the version of its row.
#[derive(Debug, Clone)]
pub(crate) struct OwnClaim {
    claim: Claim,
    version: u64,
}

/// Result of claiming a key.
pub(crate) enum Claimed {
    /// The key is claimed for this request, which may be sent.
    Own(OwnClaim),
    /// The request has already run; this was its answer.
    Finished(Reply),
    /// The request has already been sent, and its outcome is not known.
    Unfinished,
    /// The key was used for a different request.
    KeyReused,
    /// The claim can't be recorded.
    Unavailable,
}

/// Claims idempotency keys.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    rng: Mutex<SmallRng>,
}

impl Claims {
    pub fn new(table: Arc<dyn Table>, instance: &Name, clock: Clock) -> Claims {
        let seed = stable_hash(&[instance]) ^ clock.now_micros();
        Claims {
            table,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    fn token(&self) -> u64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(1..=u64::MAX)
    }

    /// Claims `key` for a request; gives up at `deadline`.
    pub fn claim(&self, org: &Name, key: &str, req: &Incoming, deadline: Instant) -> Claimed {
        let row = keys::claim(org, key);
        let claim = Claim {
            token: self.token(),
            hour: wall_hour(),
            request: fingerprint(req),
            ended: None,
        };
        let claimed_key = ClaimedKey {
            org: org.clone(),
            key: Name::from(key),
            hour: claim.hour,
        };
        let (Ok(value), Ok(entry)) = (encode(&claim), encode(&claimed_key)) else {
            return Claimed::Unavailable;
        };
        let tx = Tx::new()
            .check(row.clone(), Expect::Absent)
            .put(row.clone(), value)
            .put(keys::claimed(claim.hour, org, key), entry);
        match self.table.tx(&tx) {
            Ok(version) => Claimed::Own(OwnClaim { claim, version }),
            Err(TableError::Unavailable) => Claimed::Unavailable,
            Err(TableError::Conflict { .. } | TableError::Unknown) => {
                self.read_back(&row, claim, deadline)
            }
        }
    }

    /// Reads a claim back, to find out which request holds the key.
    fn read_back(&self, key: &Name, claim: Claim, deadline: Instant) -> Claimed {
        let mut backoff = Backoff::new(FIRST_DELAY_MS, MAX_DELAY_MS, claim.token);
        while Instant::now() < deadline {
            if let Ok(rows) = self.table.get(std::slice::from_ref(key)) {
                return match rows.into_iter().next().flatten() {
                    None => Claimed::Unavailable,
                    Some(row) => resolve(&row, claim),
                };
            }
            thread::sleep(Duration::from_millis(backoff.next_delay()));
        }
        Claimed::Unavailable
    }

    /// Records the answer of a request that ran. If the answer is too long, its
    /// body is left out and retries get status 409.
    pub fn finish(&self, org: &Name, key: &str, own_claim: &OwnClaim, reply: &Reply) {
        let whole = reply.body.len() <= MAX_STORED_BYTES;
        let end = ClaimEnd {
            status: reply.status,
            kind: find_header(&reply.headers, "content-type")
                .unwrap_or("")
                .into(),
            body: if whole {
                reply.body.clone()
            } else {
                Vec::new()
            },
            has_body: whole,
        };
        let claim = Claim {
            ended: Some(end),
            ..own_claim.claim.clone()
        };
        let Ok(value) = encode(&claim) else { return };
        let key = keys::claim(org, key);
        let tx = Tx::new()
            .check(key.clone(), Expect::Version(own_claim.version))
            .put(key, value);
        self.write_with_retries(&tx);
    }

    /// Releases the claim of a request that certainly did not run.
    pub fn release(&self, org: &Name, key: &str, own_claim: &OwnClaim) {
        let key = keys::claim(org, key);
        let tx = Tx::new()
            .check(key.clone(), Expect::Version(own_claim.version))
            .delete(key);
        self.write_with_retries(&tx);
    }

    fn write_with_retries(&self, tx: &Tx) {
        let mut backoff = Backoff::new(FIRST_DELAY_MS, MAX_DELAY_MS, self.token());
        for _ in 0..WRITE_ATTEMPTS {
            match self.table.tx(tx) {
                Ok(_) | Err(TableError::Conflict { .. }) => return,
                Err(TableError::Unavailable | TableError::Unknown) => {}
            }
            thread::sleep(Duration::from_millis(backoff.next_delay()));
        }
        log::warn!("claims: can't finish or release a claim");
    }
}

fn resolve(row: &Row, claim: Claim) -> Claimed {
    let Ok(found) = decode::<Claim>(&row.value) else {
        return Claimed::Unavailable;
    };
    if found.token == claim.token {
        let version = row.version;
        return Claimed::Own(OwnClaim { claim, version });
    }
    if found.request != claim.request {
        return Claimed::KeyReused;
    }
    let Some(end) = found.ended else {
        return Claimed::Unfinished;
    };
    let status = if end.has_body { end.status } else { 409 };
    let mut reply = Reply::new(status, end.body).header(OUTCOME, Outcome::Ran.as_str());
    if !end.kind.is_empty() {
        reply = reply.header("content-type", &*end.kind);
    }
    Claimed::Finished(reply)
}

/// Returns a hash of the method, path, query and body, by which a retry of a
/// request is recognised.
fn fingerprint(req: &Incoming) -> u64 {
    let mut hasher = StableHasher::new();
    hasher.write_u64(stable_hash(&[&req.method, &req.path, &req.query]));
    hasher.write(&req.body);
    hasher.finish()
}
