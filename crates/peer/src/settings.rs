//! Settings that all instances have.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::{
    member::{MemberSettings, Role},
    name::{Name, check_name},
    problem::Problems,
};
use gorsespur_runtime::{logging::LogSettings, metrics::MetricSettings};
use serde::Deserialize;

use crate::{Layout, Zone};

/// Maximum number of shards of a zone.
const MAX_SHARDS: u32 = 1_000;

/// Longest duration in a setting.
const MAX_MS: u64 = 600_000;

/// The platform's services as written in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the membership list.
    pub members: SocketAddr,
    /// Timeout of a call in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

fn default_timeout() -> u64 {
    1_000
}

/// A zone as written in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    /// Name.
    pub name: String,
    /// Number of shards.
    #[serde(default = "default_shards")]
    pub shards: u32,
}

fn default_shards() -> u32 {
    1
}

/// Settings of all instances as written in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCommon {
    /// Name of the instance.
    pub id: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address for peers: HTTP, and heartbeats as datagrams.
    pub listen: SocketAddr,
    /// Addresses of some peers, for starting without the platform.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// All zones; the same on all instances.
    pub zones: Vec<RawZone>,
    /// The platform's services.
    pub platform: RawPlatform,
    /// Intervals and time limits of the membership.
    #[serde(default)]
    pub membership: MemberSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// Checked settings that all instances have.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Name of the instance.
    pub id: Name,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address for peers.
    pub listen: SocketAddr,
    /// Addresses of some peers.
    pub seeds: Vec<SocketAddr>,
    /// Layout of all shards.
    pub layout: Layout,
    /// Names of all zones, sorted.
    pub zones: Vec<Name>,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the membership list.
    pub members: SocketAddr,
    /// Timeout of a call to the platform.
    pub timeout: Duration,
    /// Intervals and time limits of the membership.
    pub membership: MemberSettings,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
}

impl AgentSettings {
    /// Checks the settings of an instance and adds problems to `p`.
    pub fn check(raw: RawCommon, role: Role, p: &mut Problems) -> AgentSettings {
        check_name_at(&raw.id, "id", p);
        check_name_at(&raw.zone, "zone", p);
        let is_listed = raw.zones.iter().any(|z| z.name == raw.zone);
        p.require(
            is_listed,
            "zone",
            format!("{:?} is not in the list of zones", raw.zone),
        );
        let mut zones = Vec::new();
        let mut names: Vec<Name> = Vec::new();
        for (i, z) in raw.zones.iter().enumerate() {
            check_name_at(&z.name, &format!("zones[{i}].name"), p);
            let in_range = (1..=MAX_SHARDS).contains(&z.shards);
            let path = format!("zones[{i}].shards");
            p.require(
                in_range,
                path,
                format!("{} is not from 1 to {MAX_SHARDS}", z.shards),
            );
            let name = Name::from(&*z.name);
            let is_duplicate = names.contains(&name);
            p.require(!is_duplicate, format!("zones[{i}].name"), "duplicate name");
            names.push(name.clone());
            zones.push(Zone {
                name,
                shards: z.shards,
            });
        }
        names.sort();
        check_ms(raw.platform.timeout_ms, "platform.timeout_ms", p);
        check_ms(raw.membership.heartbeat_interval, "membership.beat", p);
        check_ms(raw.membership.dead_after, "membership.dead", p);
        let is_valid =
            raw.membership.dead_after >= raw.membership.heartbeat_interval.saturating_mul(2);
        p.require(
            is_valid,
            "membership.dead",
            "must be at least twice membership.beat",
        );
        p.require(
            !raw.listen.ip().is_unspecified(),
            "listen",
            "must be an address that peers can reach",
        );
        AgentSettings {
            id: raw.id.into(),
            role,
            zone: raw.zone.into(),
            listen: raw.listen,
            seeds: raw.seeds,
            layout: Layout::new(&zones),
            zones: names,
            table: raw.platform.table,
            objects: raw.platform.objects,
            members: raw.platform.members,
            timeout: Duration::from_millis(raw.platform.timeout_ms),
            membership: raw.membership,
            log: raw.log,
            metrics: raw.metrics,
        }
    }
}

fn check_name_at(text: &str, path: &str, p: &mut Problems) {
    if let Err(err) = check_name(text) {
        p.add(path, err.to_string());
    }
}

fn check_ms(value: u64, path: &str, p: &mut Problems) {
    let in_range = (1..=MAX_MS).contains(&value);
    p.require(in_range, path, format!("{value} is not from 1 to {MAX_MS}"));
}
