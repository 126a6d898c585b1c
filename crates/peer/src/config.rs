//! Templates in force: polled by one instance a zone, handed on by its peers.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::{
    config::ConfigEntry,
    hashing::highest_weight,
    name::Name,
    retry::{Backoff, CircuitBreaker},
};
use gorsespur_runtime::cancel::Cancel;
use gorsespur_services::{Table, TableError, post};
use gorsespur_wire::{
    codec::decode,
    keys::{self, CONFIG, CONFIG_HEAD},
    paths::PEER_CONFIG,
    peer::{ConfigAnswer, ConfigRequest},
    stored::{ConfigChange, ConfigHead, StoredTemplate},
    table::Row,
};

use crate::Shared;

/// Time between two looks.
const PAUSE: u64 = 250;

/// Longest time between two looks while the table service fails.
const MAX_PAUSE: u64 = 4_000;

/// Failures in a row after which the table service is left alone for a while.
const FAILURES: u32 = 3;

/// Time limit of asking a peer.
const ASK: Duration = Duration::from_millis(500);

/// Most changes that are read by the log; after more all templates are read.
const MAX_LOG: u64 = 200;

/// Rows of one read.
const BATCH: u32 = 500;

/// Follows the changes of configuration until `cancel`.
pub(crate) fn follow(shared: &Shared, table: &dyn Table, cancel: &Cancel) {
    let mut backoff = Backoff::new(PAUSE, MAX_PAUSE, shared.incarnation);
    let mut breaker = CircuitBreaker::new(FAILURES, MAX_PAUSE);
    loop {
        ask_peers(shared);
        let now = shared.clock.now();
        let mut pause = PAUSE;
        if polls(shared) && breaker.allow(now) {
            let result = poll(shared, table);
            breaker.record(shared.clock.now(), result.is_ok());
            match result {
                Ok(()) => backoff.reset(),
                Err(err) => {
                    log::debug!("config: can't poll: {err}");
                    pause = backoff.next_delay().min(PAUSE * 2);
                }
            }
        }
        if cancel.wait(Duration::from_millis(pause)) {
            return;
        }
    }
}

/// Tells whether this instance polls for its zone; one that has no template
/// and heard of none does too.
fn polls(shared: &Shared) -> bool {
    let s = &shared.settings;
    let now = shared.clock.now();
    let peers = shared.peers();
    let live = peers.live(now);
    let mut ids: Vec<&str> = vec![&s.id];
    for p in live {
        if *p.heartbeat.zone == *s.zone && !p.heartbeat.leaving {
            ids.push(&p.heartbeat.id);
        }
    }
    !shared.is_loaded() || highest_weight(&format!("config/{}", s.zone), ids) == Some(&*s.id)
}

fn poll(shared: &Shared, table: &dyn Table) -> Result<(), TableError> {
    let rows = table.get(&[Name::from(CONFIG_HEAD)])?;
    let head = rows.first().and_then(|r| r.as_ref());
    let head = head.and_then(|r| decode::<ConfigHead>(&r.value).ok());
    let change = head.map_or(0, |h| h.change);
    if change <= shared.configs().head() && shared.is_loaded() {
        return Ok(());
    }
    let mine = shared.configs().head();
    let named = if shared.is_loaded() {
        changed(table, mine, change)?
    } else {
        None
    };
    match named {
        Some(orgs) => read_named(shared, table, &orgs)?,
        None => read_all(shared, table)?,
    }
    shared.configs().advance_head(change);
    shared.set_loaded();
    Ok(())
}

/// Returns the keys of the templates that the log names after change `from`;
/// nothing if the log does not reach back so far.
fn changed(table: &dyn Table, from: u64, to: u64) -> Result<Option<Vec<Name>>, TableError> {
    if to - from > MAX_LOG {
        return Ok(None);
    }
    let log: Vec<Name> = (from + 1..=to).map(keys::change).collect();
    let mut out = Vec::new();
    for row in table.get(&log)? {
        let entry = row.and_then(|r| decode::<ConfigChange>(&r.value).ok());
        let Some(entry) = entry else { return Ok(None) };
        out.push(keys::config(&entry.org));
    }
    out.sort();
    out.dedup();
    Ok(Some(out))
}

fn read_named(shared: &Shared, table: &dyn Table, keys: &[Name]) -> Result<(), TableError> {
    for row in table.get(keys)?.into_iter().flatten() {
        offer_row(shared, &row);
    }
    Ok(())
}

fn read_all(shared: &Shared, table: &dyn Table) -> Result<(), TableError> {
    let mut after = None;
    let prefix = Name::from(CONFIG);
    loop {
        let (rows, more) = table.scan(&prefix, after, BATCH)?;
        after = rows.last().map(|r| r.key.clone());
        for row in &rows {
            offer_row(shared, row);
        }
        if !more {
            return Ok(());
        }
    }
}

fn offer_row(shared: &Shared, row: &Row) {
    match decode::<StoredTemplate>(&row.value) {
        Ok(stored) => {
            let (version, template) = (stored.version, stored.template);
            offer(shared, &ConfigEntry { version, template });
        }
        Err(err) => log::error!("config: row {} is malformed: {err}", row.key),
    }
}

fn offer(shared: &Shared, entry: &ConfigEntry) {
    if shared.configs().update(entry) {
        log::info!(
            "config: {} version {} is in force",
            entry.template.name,
            entry.version
        );
        shared.config_changed();
    }
}

/// Asks the peer that is furthest ahead for what is missing here.
fn ask_peers(shared: &Shared) {
    let mine = shared.configs().head();
    let Some((addr, head)) = ahead(shared) else {
        return;
    };
    if head <= mine && (shared.is_loaded() || head == 0) {
        return;
    }
    let known = shared.configs().versions();
    let request = ConfigRequest { known };
    let answer: Result<ConfigAnswer, _> = post(addr, PEER_CONFIG, &request, ASK);
    let Ok(answer) = answer else {
        log::debug!("config: peer {addr} did not answer");
        return;
    };
    for entry in &answer.entries {
        offer(shared, entry);
    }
    shared.configs().advance_head(answer.head);
    shared.set_loaded();
}

fn ahead(shared: &Shared) -> Option<(SocketAddr, u64)> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let mut best: Option<(SocketAddr, u64)> = None;
    for p in peers.live(now) {
        if best.is_none_or(|b| p.heartbeat.config_head > b.1) {
            best = Some((p.addr, p.heartbeat.config_head));
        }
    }
    best
}
