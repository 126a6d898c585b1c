//! Counts the instances.
//!
//! Each instance announces itself in the store when it starts, and every few hours afterwards. The
//! owner counts the announcements and publishes the counts in each renewal of the lease.
//!
//! Limits: a stopped instance is counted for a day. The counts only decide how often instances poll
//! the store.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::retry::Backoff;
use gorsespur_runtime::{cancel::CancelToken, clock::wall_ms};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    metrics::{Count, Duty},
    rows::{INSTANCES, INSTANCES_PART, decode, encode},
    shared::Shared,
    store::{Row, StoreError, Tx, Write},
};

/// Time over which instances spread their first announcements, in milliseconds. A part of the store
/// accepts some hundred writes a second, and all instances may start at once.
const ANNOUNCE_SPREAD_MS: u64 = 10_000;

/// Longest time between announcements of an instance, in milliseconds.
const ANNOUNCE_PERIOD_MS: u64 = 6 * 3_600_000;

/// Age after which an announcement expires, in milliseconds.
const EXPIRY_MS: u64 = 4 * ANNOUNCE_PERIOD_MS;

/// First pause after a failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 2000;

/// Longest pause after a failure, in milliseconds.
const MAX_PAUSE_MS: u64 = 120_000;

/// Time limit of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Returns whether an instance with this CPU share is small compared with the largest one.
pub(crate) fn is_small(share: u64, largest: u64) -> bool {
    share * 2 < largest
}

/// Counts of instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Census {
    /// Instances that are not small.
    pub(crate) large: u64,
    /// All instances.
    pub(crate) all: u64,
}

impl Census {
    /// Returns the number of small instances, or of those that are not.
    pub(crate) fn peers(&self, small: bool) -> u64 {
        match small {
            true => self.all - self.large.min(self.all),
            false => self.large,
        }
    }
}

/// An instance's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceRow {
    /// The instance's CPU share, in thousandths.
    pub(crate) share: u64,
    /// Time of the announcement, in milliseconds since the Unix epoch.
    pub(crate) at: u64,
}

impl InstanceRow {
    /// Encodes the announcement of an instance that receives signs of life at `peer`. Earlier
    /// versions ignore what follows the row.
    pub(crate) fn encode(&self, peer: Option<SocketAddr>) -> Vec<u8> {
        let mut value = encode(self);
        value.extend(peer.iter().flat_map(encode));
        value
    }
}

/// An announcement as read.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    row: InstanceRow,
    /// Where the instance receives signs of life of the owner.
    peer: Option<SocketAddr>,
}

impl Announcement {
    fn decode(bytes: &[u8]) -> Option<Announcement> {
        let row: InstanceRow = decode("instance", bytes)?;
        // The encoding of a row is unique, so that its length tells where the address begins.
        let rest = bytes.get(encode(&row).len()..).unwrap_or_default();
        let peer = match rest {
            [] => None,
            _ => decode("address of an instance", rest),
        };
        Some(Announcement { row, peer })
    }
}

/// Announces the instance until cancelled.
pub(crate) fn announce(shared: &std::sync::Arc<Shared>, cancel: &CancelToken) {
    let mut rng = rand::rng();
    let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, rng.random());
    let mut wait = rng.random_range(0..ANNOUNCE_SPREAD_MS);
    while !cancel.wait(Duration::from_millis(wait)) {
        wait = match write(shared) {
            Ok(()) => {
                backoff.reset();
                rng.random_range(ANNOUNCE_PERIOD_MS / 2..ANNOUNCE_PERIOD_MS)
            }
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "census: announcement failed");
                backoff.next_delay()
            }
        };
    }
}

fn write(shared: &Shared) -> Result<(), StoreError> {
    let row = InstanceRow {
        share: shared.settings.share,
        at: wall_ms(),
    };
    let tx = Tx {
        part: INSTANCES_PART.into(),
        writes: vec![Write {
            table: INSTANCES,
            key: shared.settings.name.to_string(),
            value: row.encode(shared.settings.peer),
        }],
        ..Tx::default()
    };
    shared
        .store(Duty::Census)
        .commit(&tx, WRITE_TIMEOUT)
        .map(drop)
}

/// The announcements that the owner has read.
#[derive(Debug, Default)]
pub(crate) struct InstanceRegistry {
    /// Announcements by the instances' names, sorted.
    rows: Vec<(String, Announcement)>,
}

impl InstanceRegistry {
    /// Applies rows that were read or changed. Returns the names of instances whose announcements
    /// have expired at `now`, in milliseconds since the Unix epoch.
    pub(crate) fn apply(&mut self, shared: &Shared, rows: &[Row], now: u64) -> Vec<String> {
        let mut expired = Vec::new();
        for row in rows {
            let at = self.rows.binary_search_by(|(name, _)| name.cmp(&row.key));
            let instance = (!row.removed).then(|| Announcement::decode(&row.value));
            if matches!(instance, Some(None)) {
                shared.metrics.count(Count::BadRows);
            }
            let instance = instance.flatten();
            if instance.is_some_and(|i| i.row.at + EXPIRY_MS < now) {
                expired.push(row.key.clone());
            }
            let instance = instance.filter(|i| i.row.at + EXPIRY_MS >= now);
            match (at, instance) {
                (Ok(at), Some(instance)) => self.rows[at].1 = instance,
                (Ok(at), None) => drop(self.rows.remove(at)),
                (Err(at), Some(instance)) => self.rows.insert(at, (row.key.clone(), instance)),
                (Err(_), None) => {}
            }
        }
        expired
    }

    /// Returns the addresses of the instances that receive signs of life of the owner.
    pub(crate) fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.iter().filter_map(|(_, instance)| instance.peer)
    }

    /// Counts the instances.
    pub(crate) fn census(&self) -> Census {
        let shares = || self.rows.iter().map(|(_, instance)| instance.row.share);
        let largest = shares().max().unwrap_or(0);
        Census {
            large: shares().filter(|&s| !is_small(s, largest)).count() as u64,
            all: self.rows.len() as u64,
        }
    }
}
