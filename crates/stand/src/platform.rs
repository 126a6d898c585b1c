//! In-memory services of the platform, with rate limits and faults.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use gorsespur_core::name::Name;
use gorsespur_services::Rows;
use gorsespur_wire::{
    members::MemberList,
    table::{GetAnswer, ScanAnswer, ScanRequest, Tx, TxAnswer},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::PlatformFaults;

/// Why a call had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The service is down.
    Down,
    /// The rate limit of the current second is used up.
    RateLimited,
}

/// Table service, object store and membership list.
#[derive(Debug)]
pub struct Platform {
    rows: Rows,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    member_lists: VecDeque<(Instant, MemberList)>,
    lag: Duration,
    pub(crate) faults: PlatformFaults,
    writes: RateLimit,
    reads: RateLimit,
    rng: SmallRng,
}

/// Limits calls per second by a fixed window.
#[derive(Debug)]
struct RateLimit {
    start: Instant,
    count: u32,
    limit: u32,
    total: u64,
}

impl RateLimit {
    fn new(limit: u32) -> RateLimit {
        RateLimit {
            start: Instant::now(),
            count: 0,
            limit,
            total: 0,
        }
    }

    fn acquire(&mut self) -> Result<(), Refusal> {
        if self.start.elapsed() >= Duration::from_secs(1) {
            self.start = Instant::now();
            self.count = 0;
        }
        if self.count >= self.limit {
            return Err(Refusal::RateLimited);
        }
        self.count += 1;
        self.total += 1;
        Ok(())
    }
}

impl Platform {
    /// Returns an empty platform.
    ///
    /// `writes` and `reads` limit the calls to the table service per second; a new
    /// membership list becomes visible after `lag`; `seed` seeds the random faults.
    pub fn new(writes: u32, reads: u32, lag: Duration, seed: u64) -> Platform {
        Platform {
            rows: Rows::default(),
            objects: BTreeMap::new(),
            member_lists: VecDeque::new(),
            lag,
            faults: PlatformFaults::default(),
            writes: RateLimit::new(writes),
            reads: RateLimit::new(reads),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the membership list; the new list becomes visible after the lag.
    pub fn set_members(&mut self, list: MemberList) {
        self.member_lists
            .push_back((Instant::now() + self.lag, list));
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Returns the numbers of writes and reads that were admitted so far.
    pub fn totals(&self) -> (u64, u64) {
        (self.writes.total, self.reads.total)
    }

    pub(crate) fn members(&mut self) -> Result<MemberList, Refusal> {
        if self.faults.members_down {
            return Err(Refusal::Down);
        }
        while self.member_lists.len() > 1 && self.member_lists[1].0 <= Instant::now() {
            self.member_lists.pop_front();
        }
        let oldest = self.member_lists.front();
        let visible = oldest.filter(|l| l.0 <= Instant::now());
        Ok(visible.map(|l| l.1.clone()).unwrap_or_default())
    }

    /// Runs a transaction; the flag is true if its answer must be dropped.
    pub(crate) fn tx(&mut self, tx: &Tx) -> Result<(TxAnswer, bool), Refusal> {
        if self.faults.table_down {
            return Err(Refusal::Down);
        }
        self.writes.acquire()?;
        let answer = self.rows.tx(tx);
        if let TxAnswer::Conflict { .. } = answer {
            return Ok((answer, false));
        }
        let lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        Ok((answer, lost))
    }

    pub(crate) fn get(&mut self, keys: &[Name]) -> Result<GetAnswer, Refusal> {
        self.acquire_read()?;
        let rows = self.rows.get(keys);
        Ok(GetAnswer { rows })
    }

    pub(crate) fn scan(&mut self, req: &ScanRequest) -> Result<ScanAnswer, Refusal> {
        self.acquire_read()?;
        Ok(self.rows.scan(req))
    }

    fn acquire_read(&mut self) -> Result<(), Refusal> {
        if self.faults.table_down {
            return Err(Refusal::Down);
        }
        self.reads.acquire()
    }
}
