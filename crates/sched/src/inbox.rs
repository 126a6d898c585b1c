//! Submitted jobs that wait in the table service.

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

/// Time between two looks without a hint.
const PAUSE: u64 = 1_000;

/// Longest time between two looks while the table service fails.
const MAX_PAUSE: u64 = 5_000;

/// Rows of one read.
const BATCH: u32 = 500;

/// Least time between two looks.
const GAP: Duration = Duration::from_millis(50);

/// Hands jobs from a shard's inbox to its machine until `cancel`.
///
/// A row stays in the inbox until the record of its job is in the journal, and
/// may be read again before; the machine passes over jobs that it knows.
pub(crate) fn follow(
    table: &dyn Table,
    shard: &Name,
    input: &Sender<Input>,
    look: &Receiver<()>,
    seed: u64,
    cancel: &CancelToken,
) {
    let prefix = keys::inbox_rows(shard);
    let mut backoff = Backoff::new(PAUSE, MAX_PAUSE, seed);
    let mut handed: BTreeSet<Name> = BTreeSet::new();
    while !cancel.is_cancelled() {
        let pause = match read(table, &prefix, input, &mut handed) {
            Ok(()) => {
                backoff.reset();
                PAUSE
            }
            Err(()) => backoff.next_delay(),
        };
        let hinted = look.recv_timeout(Duration::from_millis(pause)).is_ok();
        while look.try_recv().is_ok() {}
        if hinted && cancel.wait(GAP) {
            return;
        }
    }
}

fn read(
    table: &dyn Table,
    prefix: &Name,
    input: &Sender<Input>,
    handed: &mut BTreeSet<Name>,
) -> Result<(), ()> {
    let mut after = None;
    let mut present = BTreeSet::new();
    loop {
        let (rows, more) = table.scan(prefix, after, BATCH).map_err(|err| {
            log::debug!("inbox: {err}");
        })?;
        after = rows.last().map(|r| r.key.clone());
        let mut specs = Vec::new();
        for row in rows {
            present.insert(row.key.clone());
            if handed.contains(&row.key) {
                continue;
            }
            match decode::<JobSpec>(&row.value) {
                Ok(spec) => specs.push(spec),
                Err(err) => log::error!("inbox: row {} is malformed: {err}", row.key),
            }
        }
        if !specs.is_empty() && input.send(Input::Event(Event::Submit(specs))).is_err() {
            return Ok(());
        }
        if !more {
            break;
        }
    }
    *handed = present;
    Ok(())
}
