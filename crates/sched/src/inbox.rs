//! Reads submitted jobs from a shard's inbox in the table service.

use std::{collections::BTreeSet, time::Duration};

use flume::{Receiver, Sender};
use gorsespur_core::{
    name::Name,
    retry::Backoff,
    shard::{Event, JobSpec},
};
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::Table;
use gorsespur_wire::{codec::decode, keys};

use crate::input::Input;

/// Time between two polls of the inbox without a hint.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Longest time between two polls while the table service fails.
const MAX_POLL_INTERVAL_MS: u64 = 5_000;

/// Rows per scan.
const SCAN_ROWS: u32 = 500;

/// Minimum time between two polls, so that frequent hints share a poll.
const MIN_POLL_GAP: Duration = Duration::from_millis(50);

/// Forwards jobs from a shard's inbox to its scheduler until `cancel`.
///
/// A row stays in the inbox until the record of its job is in the journal, so a
/// job may be forwarded more than once; the scheduler ignores jobs that it
/// already has. A message on `wake` starts a poll early.
pub(crate) fn follow(
    table: &dyn Table,
    shard: &Name,
    input: &Sender<Input>,
    wake: &Receiver<()>,
    seed: u64,
    cancel: &CancelToken,
) {
    let prefix = keys::inbox_rows(shard);
    let mut backoff = Backoff::new(POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS, seed);
    let mut forwarded: BTreeSet<Name> = BTreeSet::new();
    while !cancel.is_cancelled() {
        let delay_ms = match read(table, &prefix, input, &mut forwarded) {
            Ok(()) => {
                backoff.reset();
                POLL_INTERVAL_MS
            }
            Err(()) => backoff.next_delay(),
        };
        let is_woken = wake.recv_timeout(Duration::from_millis(delay_ms)).is_ok();
        while wake.try_recv().is_ok() {}
        if is_woken && cancel.wait(MIN_POLL_GAP) {
            return;
        }
    }
}

fn read(
    table: &dyn Table,
    prefix: &Name,
    input: &Sender<Input>,
    forwarded: &mut BTreeSet<Name>,
) -> Result<(), ()> {
    let mut after = None;
    let mut present = BTreeSet::new();
    loop {
        let (rows, has_more) = table.scan(prefix, after, SCAN_ROWS).map_err(|err| {
            log::debug!("inbox: can't scan: {err}");
        })?;
        after = rows.last().map(|r| r.key.clone());
        let mut specs = Vec::new();
        for row in rows {
            present.insert(row.key.clone());
            if forwarded.contains(&row.key) {
                continue;
            }
            match decode::<JobSpec>(&row.value) {
                Ok(spec) => specs.push(spec),
                Err(err) => log::error!("inbox: malformed row {}: {err}", row.key),
            }
        }
        if !specs.is_empty() && input.send(Input::Event(Event::Submit(specs))).is_err() {
            return Ok(());
        }
        if !has_more {
            break;
        }
    }
    *forwarded = present;
    Ok(())
}
