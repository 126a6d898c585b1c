//! The platform's services in memory, with rate limits and faults.

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
pub(crate) enum Refused {
    /// The service is down.
    Down,
    /// Too many calls in this second.
    Rate,
}

/// What the platform keeps.
#[derive(Debug)]
pub struct Platform {
    rows: Rows,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    lists: VecDeque<(Instant, MemberList)>,
    lag: Duration,
    pub(crate) faults: PlatformFaults,
    writes: Window,
    reads: Window,
    rng: SmallRng,
}

/// Calls in the present second.
#[derive(Debug)]
struct Window {
    start: Instant,
    count: u32,
    limit: u32,
    total: u64,
}

impl Window {
    fn new(limit: u32) -> Window {
        Window {
            start: Instant::now(),
            count: 0,
            limit,
            total: 0,
        }
    }

    fn take(&mut self) -> Result<(), Refused> {
        if self.start.elapsed() >= Duration::from_secs(1) {
            self.start = Instant::now();
            self.count = 0;
        }
        if self.count >= self.limit {
            return Err(Refused::Rate);
        }
        self.count += 1;
        self.total += 1;
        Ok(())
    }
}

impl Platform {
    /// Returns an empty platform with limits a second and a lag of the membership list.
    pub fn new(writes: u32, reads: u32, lag: Duration, seed: u64) -> Platform {
        Platform {
            rows: Rows::default(),
            objects: BTreeMap::new(),
            lists: VecDeque::new(),
            lag,
            faults: PlatformFaults::default(),
            writes: Window::new(writes),
            reads: Window::new(reads),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the membership list; it shows after the lag.
    pub fn set_members(&mut self, list: MemberList) {
        self.lists.push_back((Instant::now() + self.lag, list));
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Returns the writes and reads so far.
    pub fn totals(&self) -> (u64, u64) {
        (self.writes.total, self.reads.total)
    }

    pub(crate) fn members(&mut self) -> Result<MemberList, Refused> {
        if self.faults.members_down {
            return Err(Refused::Down);
        }
        while self.lists.len() > 1 && self.lists[1].0 <= Instant::now() {
            self.lists.pop_front();
        }
        let first = self.lists.front();
        let shown = first.filter(|l| l.0 <= Instant::now());
        Ok(shown.map(|l| l.1.clone()).unwrap_or_default())
    }

    /// Runs a transaction; the flag tells whether its answer is to be lost.
    pub(crate) fn tx(&mut self, tx: &Tx) -> Result<(TxAnswer, bool), Refused> {
        if self.faults.table_down {
            return Err(Refused::Down);
        }
        self.writes.take()?;
        let answer = self.rows.tx(tx);
        if let TxAnswer::Conflict { .. } = answer {
            return Ok((answer, false));
        }
        let lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        Ok((answer, lost))
    }

    pub(crate) fn get(&mut self, keys: &[Name]) -> Result<GetAnswer, Refused> {
        self.read()?;
        let rows = self.rows.get(keys);
        Ok(GetAnswer { rows })
    }

    pub(crate) fn scan(&mut self, req: &ScanRequest) -> Result<ScanAnswer, Refused> {
        self.read()?;
        Ok(self.rows.scan(req))
    }

    fn read(&mut self) -> Result<(), Refused> {
        if self.faults.table_down {
            return Err(Refused::Down);
        }
        self.reads.take()
    }
}
