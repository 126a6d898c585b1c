//! The keeper thread of a shard: watches the shard's row, acquires the shard when
//! its lease has expired, and recovers its state.

use std::{path::PathBuf, sync::Arc, time::Instant};

use flume::Sender;
use gorsespur_core::{
    hashing::stable_hash,
    name::Name,
    owner::{LeaseWatch, ShardRow},
    shard::{ShardState, Takeover},
};
use gorsespur_peer::{AgentState, ZoneShard};
use gorsespur_runtime::{cancel::CancelToken, metrics::Metrics};
use gorsespur_services::{Objects, Table};
use gorsespur_wire::{codec::decode, keys};

use crate::{
    exchanger::Exchange,
    journal::{Journal, NewOwner},
    owned::OwnedShards,
    ownership::{RELEASE_TIMEOUT, cancel_after},
    recover::recover,
    settings::SchedSettings,
};

/// Delay before the second-ranked instance tries to acquire a shard, which lets
/// the first-ranked instance go ahead.
const RANK_DELAY_MS: u64 = 500;

/// State of a keeper thread.
pub(crate) struct Keeper {
    pub shard: ZoneShard,
    pub settings: SchedSettings,
    pub shared: Arc<AgentState>,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    pub owned: Arc<OwnedShards>,
    pub exchanges: Sender<Exchange>,
    pub metrics: Metrics,
    pub record_dir: Option<PathBuf>,
    pub stop: CancelToken,
}

impl Keeper {
    /// Watches the shard, and runs it while this instance owns it, until `stop`.
    pub fn run(self) {
        let mut lease_watch = LeaseWatch::new(self.settings.lease_ms);
        let mut last_poll = self.shared.clock.now();
        while !self.stop.wait(self.settings.watch_interval) {
            let now = self.shared.clock.now();
            if now - last_poll >= self.settings.lease_ms {
                lease_watch.reset();
            }
            last_poll = now;
            let Some(rank) = self.rank() else { continue };
            if rank > 1 || !self.shared.is_loaded() {
                continue;
            }
            let Some((row, version)) = self.read() else {
                continue;
            };
            let now = self.shared.clock.now();
            lease_watch.observe(now, row.as_ref(), version);
            let delay = rank as u64 * RANK_DELAY_MS;
            let is_due = lease_watch.can_acquire(now.saturating_sub(delay));
            if !is_due || !lease_watch.is_unchanged_for(now, delay) {
                continue;
            }
            self.acquire(row.as_ref(), version);
            lease_watch.reset();
        }
    }

    /// Returns this instance's rank among the candidates for the shard; 0 is the
    /// preferred owner.
    fn rank(&self) -> Option<usize> {
        let mut candidates = self.shared.same_role_ids();
        let name = &self.shard.place.name;
        candidates.sort_by_key(|id| std::cmp::Reverse(stable_hash(&[name, id])));
        candidates
            .iter()
            .position(|id| *id == self.shared.settings.id)
    }

    fn read(&self) -> Option<(Option<ShardRow>, u64)> {
        let key = keys::shard(&self.shard.place.name);
        let rows = self.table.get(&[key]).ok()?;
        let Some(Some(row)) = rows.into_iter().next() else {
            return Some((None, 0));
        };
        match decode(&row.value) {
            Ok(value) => Some((Some(value), row.version)),
            Err(err) => {
                log::error!("shard {}: malformed row: {err}", self.shard.place.name);
                None
            }
        }
    }

    /// Acquires the shard and runs it until the ownership ends.
    ///
    /// The shard is marked active for that time; otherwise no thread of this
    /// process commands its workers.
    fn acquire(&self, row: Option<&ShardRow>, version: u64) {
        let index = self.shard.place.index;
        self.owned.mark_active(index);
        self.acquire_and_run(row, version);
        self.owned.mark_inactive(index);
    }

    fn acquire_and_run(&self, row: Option<&ShardRow>, version: u64) {
        let name = &self.shard.place.name;
        let s = &self.shared.settings;
        let new_owner = NewOwner {
            id: s.id.clone(),
            addr: s.listen,
            hold: self.longest_hold(),
            clock: self.shared.clock,
        };
        let journal = Journal::acquire(
            self.table.clone(),
            name,
            row,
            version,
            &new_owner,
            &self.stop,
        );
        let Ok(mut journal) = journal else {
            log::debug!("shard {name}: not acquired; another instance was faster");
            return;
        };
        let started = Instant::now();
        let Some(state) = self.recover(&mut journal) else {
            return;
        };
        let epoch = journal.row().epoch;
        let (jobs, recovery_ms) = (state.jobs().len(), started.elapsed().as_millis());
        log::info!(
            "shard {name}: acquired with epoch {epoch}; recovered {jobs} jobs in {recovery_ms} ms"
        );
        let takeover = Takeover {
            epoch,
            state,
            next_record: journal.row().next_record,
            inherited_hold: journal.row().hold,
            settled: journal.row().settled,
        };
        let old_owner = row
            .filter(|r| r.settled && r.owner.is_some())
            .map(|r| r.addr);
        let reason = self.run_shard(&mut journal, takeover, old_owner);
        log::info!("shard {name}: ownership of epoch {epoch} ended: {reason:?}");
    }

    fn longest_hold(&self) -> u64 {
        let configs = self.shared.configs();
        let holds = configs.entries().iter().map(|e| e.template.limits.hold);
        holds.max().unwrap_or(0)
    }

    /// Recovers the shard state, and renews the lease between attempts.
    fn recover(&self, journal: &mut Journal) -> Option<ShardState> {
        let name = &self.shard.place.name;
        loop {
            let table = self.table.as_ref();
            match recover(table, self.objects.as_ref(), name, journal.row()) {
                Ok(state) => return Some(state),
                Err(err) => log::warn!("shard {name}: can't recover; retrying: {err}"),
            }
            if self.stop.wait(self.settings.watch_interval) {
                let _ = journal.release(&cancel_after(RELEASE_TIMEOUT));
                return None;
            }
            let hold = journal.row().hold;
            journal.renew(hold, &self.stop).ok()?;
        }
    }
}

/// Returns the name of a shard's keeper thread.
pub(crate) fn thread_name(shard: &Name) -> String {
    format!("keeper-{shard}")
}
