//! Templates in force, polled by one instance per zone and distributed by its peers.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::{
    config::ConfigEntry,
    hashing::highest_weight,
    name::Name,
    retry::{Backoff, CircuitBreaker},
};
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::{Table, TableError, post};
use gorsespur_wire::{
    codec::decode,
    keys::{self, CONFIG, CONFIG_HEAD},
    paths::PEER_CONFIG,
    peer::{ConfigAnswer, ConfigRequest},
    stored::{ConfigChange, ConfigHead, StoredTemplate},
    table::Row,
};

use crate::AgentState;

/// Interval between two polls of peers and the table service.
const POLL_INTERVAL_MS: u64 = 250;

/// Longest interval between two polls while the table service fails.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Consecutive failures after which the table service is not polled for a while.
const BREAKER_FAILURES: u32 = 3;

/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of changes that are read from the log; beyond that all templates are read.
const MAX_LOG_ENTRIES: u64 = 200;

/// Rows per scan of the table.
const SCAN_ROWS: u32 = 500;

/// Follows the changes of configuration until `cancel` is cancelled.
pub(crate) fn follow(state: &AgentState, table: &dyn Table, cancel: &CancelToken) {
    let mut backoff = Backoff::new(POLL_INTERVAL_MS, MAX_BACKOFF_MS, state.incarnation);
    let mut breaker = CircuitBreaker::new(BREAKER_FAILURES, MAX_BACKOFF_MS);
    loop {
        pull_from_peer(state);
        let now = state.clock.now();
        let mut pause_ms = POLL_INTERVAL_MS;
        if is_zone_poller(state) && breaker.allow(now) {
            let result = poll(state, table);
            breaker.record(state.clock.now(), result.is_ok());
            match result {
                Ok(()) => backoff.reset(),
                Err(err) => {
                    log::debug!("config: can't poll the table service: {err}");
                    pause_ms = backoff.next_delay().min(POLL_INTERVAL_MS * 2);
                }
            }
        }
        if cancel.wait(Duration::from_millis(pause_ms)) {
            return;
        }
    }
}

/// Returns whether this instance polls the table service: one instance per zone does, and
/// each one that has not loaded any configuration yet.
fn is_zone_poller(state: &AgentState) -> bool {
    let s = &state.settings;
    let now = state.clock.now();
    let peers = state.peers();
    let live = peers.live(now);
    let mut ids: Vec<&str> = vec![&s.id];
    for p in live {
        if *p.heartbeat.zone == *s.zone && !p.heartbeat.leaving {
            ids.push(&p.heartbeat.id);
        }
    }
    !state.is_loaded() || highest_weight(&format!("config/{}", s.zone), ids) == Some(&*s.id)
}

fn poll(state: &AgentState, table: &dyn Table) -> Result<(), TableError> {
    let rows = table.get(&[Name::from(CONFIG_HEAD)])?;
    let head = rows.first().and_then(|r| r.as_ref());
    let head = head.and_then(|r| decode::<ConfigHead>(&r.value).ok());
    let change = head.map_or(0, |h| h.change);
    if change <= state.configs().head() && state.is_loaded() {
        return Ok(());
    }
    let own_head = state.configs().head();
    let changed = if state.is_loaded() {
        changed_keys(table, own_head, change)?
    } else {
        None
    };
    match changed {
        Some(keys) => read_keys(state, table, &keys)?,
        None => read_all(state, table)?,
    }
    state.configs().advance_head(change);
    state.set_loaded();
    Ok(())
}

/// Returns the keys of the templates that changed after change `from`, by the log; returns
/// `None` if the log does not reach back that far.
fn changed_keys(table: &dyn Table, from: u64, to: u64) -> Result<Option<Vec<Name>>, TableError> {
    if to - from > MAX_LOG_ENTRIES {
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

fn read_keys(state: &AgentState, table: &dyn Table, keys: &[Name]) -> Result<(), TableError> {
    for row in table.get(keys)?.into_iter().flatten() {
        offer_row(state, &row);
    }
    Ok(())
}

fn read_all(state: &AgentState, table: &dyn Table) -> Result<(), TableError> {
    let mut after = None;
    let prefix = Name::from(CONFIG);
    loop {
        let (rows, more) = table.scan(&prefix, after, SCAN_ROWS)?;
        after = rows.last().map(|r| r.key.clone());
        for row in &rows {
            offer_row(state, row);
        }
        if !more {
            return Ok(());
        }
    }
}

fn offer_row(state: &AgentState, row: &Row) {
    match decode::<StoredTemplate>(&row.value) {
        Ok(stored) => {
            let (version, template) = (stored.version, stored.template);
            offer(state, &ConfigEntry { version, template });
        }
        Err(err) => log::error!("config: row {} is malformed: {err}", row.key),
    }
}

fn offer(state: &AgentState, entry: &ConfigEntry) {
    if state.configs().update(entry) {
        log::info!(
            "config: {} version {} is in force",
            entry.template.name,
            entry.version
        );
        state.config_changed();
    }
}

/// Requests the missing templates from the peer with the most recent change.
fn pull_from_peer(state: &AgentState) {
    let own_head = state.configs().head();
    let Some((addr, head)) = most_recent_peer(state) else {
        return;
    };
    if head <= own_head && (state.is_loaded() || head == 0) {
        return;
    }
    let known = state.configs().versions();
    let request = ConfigRequest { known };
    let response: Result<ConfigAnswer, _> = post(addr, PEER_CONFIG, &request, PEER_TIMEOUT);
    let Ok(response) = response else {
        log::debug!("config: no valid response from peer {addr}");
        return;
    };
    for entry in &response.entries {
        offer(state, entry);
    }
    state.configs().advance_head(response.head);
    state.set_loaded();
}

fn most_recent_peer(state: &AgentState) -> Option<(SocketAddr, u64)> {
    let now = state.clock.now();
    let peers = state.peers();
    let mut newest: Option<(SocketAddr, u64)> = None;
    for p in peers.live(now) {
        if newest.is_none_or(|b| p.heartbeat.config_head > b.1) {
            newest = Some((p.addr, p.heartbeat.config_head));
        }
    }
    newest
}
