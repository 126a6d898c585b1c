//! Runs a shard during an ownership: its threads, its journal and its release.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use flume::{Receiver, Sender};
use gorsespur_core::{
    hashing::stable_hash,
    name::Name,
    owner::OwnerLease,
    shard::{ShardScheduler, Takeover},
};
use gorsespur_replay::Recorder;
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_wire::objects;

use crate::{
    collect::{Collected, PendingSnapshot, collect},
    inbox,
    input::{Input, KeeperMessage},
    inquiry::Inquiry,
    journal::{Journal, JournalError},
    keeper::Keeper,
    owned::OwnedShard,
    shard_thread::ShardThread,
    sweep::Sweep,
};

/// Maximum number of messages that wait for a shard thread.
const INPUT_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of messages that wait for a keeper.
const KEEPER_QUEUE_CAPACITY: usize = 1_024;

/// Timeout of the release of a shard when the instance stops.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time between two checks of the stop token.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks whether another instance should own the shard.
const BALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Reason why an ownership ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    Stopped,
    Moved,
    Fenced,
}

/// A snapshot in the object store.
struct StoredSnapshot {
    /// Number of the first record after the snapshot.
    next: u64,
    /// Journal row up to which the journal may be truncated.
    first_row: u64,
    /// Key of the previous snapshot.
    old_snapshot: Name,
}

impl Keeper {
    /// Runs the shard until it is fenced, moved or stopped.
    ///
    /// `old_owner` is the address of the old owner, if it is the only one that
    /// may still renew leases.
    pub(crate) fn run_shard(
        &self,
        journal: &mut Journal,
        takeover: Takeover,
        old_owner: Option<SocketAddr>,
    ) -> EndReason {
        let cancel = CancelToken::new();
        let (input, inputs) = flume::bounded(INPUT_QUEUE_CAPACITY);
        let (keeper, messages) = flume::bounded(KEEPER_QUEUE_CAPACITY);
        let (wake_inbox, wakes) = flume::bounded(1);
        let (hold, is_settled) = (journal.row().hold, takeover.settled);
        let shard_thread = self.start_scheduler(takeover, &input, inputs, keeper, &cancel);
        let inbox_thread = self.start_inbox(&input, wakes, &cancel);
        let settled = Arc::new(AtomicBool::new(false));
        let inquiry_thread = if is_settled {
            None
        } else {
            self.start_inquiry(old_owner, hold, &input, &settled, &cancel)
        };
        let sweep_thread = self.start_sweep(&cancel);
        self.owned.add(OwnedShard {
            index: self.shard.place.index,
            name: self.shard.place.name.clone(),
            input: input.clone(),
            wake_inbox,
        });
        let reason = self.write_journal(journal, &messages, &input, hold, &settled);
        self.owned.remove(self.shard.place.index);
        self.shared
            .claims()
            .retain(|c| c.shard != self.shard.place.index);
        cancel.cancel();
        drop(input);
        for thread in [shard_thread, inbox_thread, inquiry_thread, sweep_thread]
            .into_iter()
            .flatten()
        {
            let _ = thread.join();
        }
        // The shard thread may have announced the shard again before it ended.
        self.shared
            .claims()
            .retain(|c| c.shard != self.shard.place.index);
        if reason != EndReason::Fenced {
            self.release_shard(journal, &messages);
        }
        reason
    }

    fn start_scheduler(
        &self,
        takeover: Takeover,
        input: &Sender<Input>,
        inputs: Receiver<Input>,
        keeper: Sender<KeeperMessage>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let now = self.shared.clock.now();
        let epoch = takeover.epoch;
        let name = &self.shard.place.name;
        let seed = stable_hash(&[name, &epoch.to_string()]);
        let recorder = self.start_recorder(&takeover, seed, now);
        let thread = ShardThread {
            shard: self.shard.clone(),
            shared: self.shared.clone(),
            scheduler: ShardScheduler::new(
                self.shard.place.clone(),
                self.settings.shards.clone(),
                seed,
                takeover,
                now,
            ),
            lease: OwnerLease::new(self.settings.lease_ms, now),
            input: inputs,
            reply: input.clone(),
            keeper,
            exchanges: self.exchanges.clone(),
            metrics: self.metrics.clone(),
            recorder,
            cancel: cancel.clone(),
        };
        spawn(format!("shard-{name}"), move || thread.run())
    }

    fn start_recorder(&self, takeover: &Takeover, seed: u64, now: u64) -> Option<Recorder> {
        let dir = self.record_dir.as_ref()?;
        let (name, epoch) = (&self.shard.place.name, takeover.epoch);
        let path = dir.join(format!("{name}.{epoch}.trace"));
        let created = Recorder::create(
            &path,
            &self.shard.place,
            &self.settings.shards,
            seed,
            takeover,
            now,
        );
        match created {
            Ok(recorder) => Some(recorder),
            Err(err) => {
                log::error!("shard {name}: can't start the recording: {err}");
                None
            }
        }
    }

    fn start_inbox(
        &self,
        input: &Sender<Input>,
        wakes: Receiver<()>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let (table, name) = (self.table.clone(), self.shard.place.name.clone());
        let (input, cancel) = (input.clone(), cancel.clone());
        let seed = self.shared.incarnation;
        spawn(format!("inbox-{name}"), move || {
            inbox::follow(table.as_ref(), &name, &input, &wakes, seed, &cancel);
        })
    }

    fn start_sweep(&self, cancel: &CancelToken) -> Option<thread::JoinHandle<()>> {
        let sweep = Sweep {
            table: self.table.clone(),
            objects: self.objects.clone(),
            shard: self.shard.place.name.clone(),
            include_claims: self.shard.place.index == 0,
            retention_hours: self.settings.retention_hours,
        };
        let cancel = cancel.clone();
        let name = &self.shard.place.name;
        spawn(format!("sweep-{name}"), move || sweep.run(&cancel))
    }

    /// Starts the thread that finds out when no earlier owner can renew leases.
    fn start_inquiry(
        &self,
        old_owner: Option<SocketAddr>,
        hold: u64,
        input: &Sender<Input>,
        settled: &Arc<AtomicBool>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let inquiry = Inquiry {
            shard: self.shard.place.name.clone(),
            old_owner,
            unique_addr: self.shared.settings.listen,
            hold: Duration::from_millis(hold),
            input: input.clone(),
            settled: settled.clone(),
            cancel: cancel.clone(),
        };
        let name = &self.shard.place.name;
        spawn(format!("inquiry-{name}"), move || inquiry.run())
    }

    /// Writes the journal and renews the lease until the ownership ends.
    fn write_journal(
        &self,
        journal: &mut Journal,
        messages: &Receiver<KeeperMessage>,
        input: &Sender<Input>,
        mut hold: u64,
        settled: &AtomicBool,
    ) -> EndReason {
        let mut rows = journal.row().next_row - journal.row().first_row;
        let mut requested = false;
        let (done, results) = flume::bounded(1);
        let mut last_balance = Instant::now();
        let mut last_renewal = Instant::now();
        loop {
            if self.stop.is_cancelled() {
                return EndReason::Stopped;
            }
            if last_balance.elapsed() >= BALANCE_INTERVAL {
                last_balance = Instant::now();
                if self.should_move() {
                    return EndReason::Moved;
                }
            }
            if settled.load(Ordering::Acquire) {
                journal.settle();
            }
            let left = self
                .settings
                .renew_interval
                .saturating_sub(last_renewal.elapsed())
                .min(STOP_POLL_INTERVAL);
            let Collected {
                batch,
                snapshot,
                renew,
            } = collect(messages, left, &mut hold);
            let is_due = renew || last_renewal.elapsed() >= self.settings.renew_interval;
            let result = if !batch.records.is_empty() {
                rows += 1;
                journal.append(&batch, hold, &self.stop)
            } else if is_due {
                journal.renew(hold, &self.stop)
            } else {
                Ok(0)
            };
            match result {
                Ok(0) => {}
                Ok(sent) => {
                    last_renewal = Instant::now();
                    self.metrics.count("commits", 1);
                    let confirmed = Input::Confirmed {
                        sent,
                        committed: journal.row().next_record,
                        hold,
                    };
                    let _ = input.send(confirmed);
                }
                Err(JournalError::Fenced) => return EndReason::Fenced,
                Err(JournalError::Cancelled) => return EndReason::Stopped,
                Err(err @ (JournalError::Encode | JournalError::Gap { .. })) => {
                    log::error!("shard {}: {err}", self.shard.place.name);
                    return EndReason::Fenced;
                }
            }
            if let Some(pending) = snapshot {
                self.store_snapshot(journal, pending, &done);
            }
            if let Ok(stored) = results.try_recv() {
                requested = false;
                rows = match stored {
                    Some(StoredSnapshot {
                        next,
                        first_row,
                        old_snapshot,
                    }) => match journal.truncate(next, first_row, &self.stop) {
                        Ok(_) => {
                            self.delete_snapshot(old_snapshot);
                            journal.next_row() - first_row
                        }
                        Err(JournalError::Fenced) => return EndReason::Fenced,
                        Err(_) => return EndReason::Stopped,
                    },
                    None => self.settings.snapshot_rows / 2,
                };
            }
            if rows >= self.settings.snapshot_rows && !requested {
                requested = input.send(Input::Snapshot).is_ok();
            }
            if !batch.records.is_empty() && !self.settings.commit_interval.is_zero() {
                self.stop.wait(self.settings.commit_interval);
            }
        }
    }

    /// Puts a snapshot into the object store on a separate thread. The journal's
    /// writes must not wait for the object store, since they renew the lease.
    fn store_snapshot(
        &self,
        journal: &Journal,
        pending: PendingSnapshot,
        done: &Sender<Option<StoredSnapshot>>,
    ) {
        let (next, first_row) = (pending.next, journal.next_row());
        let key = objects::snapshot(&self.shard.place.name, next);
        let old_snapshot = journal.row().first_record;
        let old_snapshot = objects::snapshot(&self.shard.place.name, old_snapshot);
        let (store, done) = (self.objects.clone(), done.clone());
        let name = self.shard.place.name.clone();
        spawn(format!("snapshot-{name}"), move || {
            let put = store.put(&key, &pending.bytes);
            if let Err(err) = &put {
                log::warn!("shard {name}: can't store the snapshot: {err}");
            }
            let _ = done.send(put.is_ok().then_some(StoredSnapshot {
                next,
                first_row,
                old_snapshot,
            }));
        });
    }

    /// Deletes the previous snapshot on a separate thread.
    fn delete_snapshot(&self, key: Name) {
        let store = self.objects.clone();
        spawn(format!("snapshot-{}", self.shard.place.name), move || {
            let _ = store.delete(&key);
        });
    }

    /// Returns whether the preferred owner is another instance that has been
    /// steady for long enough.
    fn should_move(&self) -> bool {
        let s = &self.shared.settings;
        let now = self.shared.clock.now();
        let name = &self.shard.place.name;
        let mut best: (u64, bool) = (stable_hash(&[name, &s.id]), false);
        for peer in self.shared.peers().available(now, s.role, &s.zone) {
            let weight = stable_hash(&[name, &peer.heartbeat.id]);
            if weight > best.0 {
                best = (
                    weight,
                    now.saturating_sub(peer.steady_since) >= self.settings.steady_ms,
                );
            }
        }
        best.1
    }

    /// Appends the scheduler's remaining records and releases the shard.
    ///
    /// Records after a cancelled write are dropped, since they would leave a gap
    /// in the journal. Nothing has been done yet that depends on them.
    fn release_shard(&self, journal: &mut Journal, messages: &Receiver<KeeperMessage>) {
        let cancel = cancel_after(RELEASE_TIMEOUT);
        let mut hold = journal.row().hold;
        let batch = collect(messages, Duration::ZERO, &mut hold).batch;
        if !batch.records.is_empty() {
            match journal.append(&batch, hold, &cancel) {
                Ok(_) | Err(JournalError::Gap { .. }) => {}
                Err(_) => return,
            }
        }
        if let Err(err) = journal.release(&cancel) {
            log::warn!("shard {}: can't release: {err}", self.shard.place.name);
        }
    }
}

/// Returns a token that is cancelled after `limit`.
pub(crate) fn cancel_after(limit: Duration) -> CancelToken {
    let cancel = CancelToken::new();
    let timer = cancel.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        timer.cancel();
    });
    cancel
}

fn spawn(name: String, f: impl FnOnce() + Send + 'static) -> Option<thread::JoinHandle<()>> {
    match thread::Builder::new().name(name).spawn(f) {
        Ok(handle) => Some(handle),
        Err(err) => {
            log::error!("keeper: can't start a thread: {err}");
            None
        }
    }
}
