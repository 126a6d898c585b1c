//! Settings of the entry.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::{member::Role, problem::Problems, route::RouteSettings};
use gorsespur_peer::{AgentSettings, RawCommon};
use gorsespur_runtime::server::Limits;
use serde::Deserialize;

/// Maximum number of handler threads.
const MAX_HANDLERS: usize = 2_000;

/// The settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// What every instance has.
    pub instance: RawCommon,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Limits on callers.
    #[serde(default)]
    pub limits: RawCallerLimits,
    /// Routing.
    #[serde(default)]
    pub route: RouteSettings,
    /// Time, in milliseconds, for which a stopping instance still takes requests.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

fn default_drain() -> u64 {
    2_000
}

/// Limits on callers in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawCallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a target's answer, in bytes.
    pub answer_bytes: usize,
    /// Timeout of one read or write, in milliseconds.
    pub io_ms: u64,
    /// Timeout of a whole body, in milliseconds.
    pub body_ms: u64,
    /// Number of handler threads; each request in progress occupies one.
    pub handlers: usize,
    /// Maximum number of requests that wait for a handler.
    pub waiting: usize,
    /// Maximum number of connections; beyond it, the connections that are idle
    /// for longest are closed.
    pub connections: usize,
}

impl Default for RawCallerLimits {
    fn default() -> RawCallerLimits {
        RawCallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            io_ms: 5_000,
            body_ms: 5_000,
            handlers: 128,
            waiting: 64,
            connections: 1_000,
        }
    }
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// What every instance has.
    pub instance: AgentSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Limits on callers.
    pub limits: Limits,
    /// Maximum size of a target's answer, in bytes.
    pub max_answer_bytes: usize,
    /// Routing.
    pub route: RouteSettings,
    /// Time for which a stopping instance still takes requests.
    pub drain: Duration,
}

/// Checks the settings and returns all problems at once.
pub fn check(raw: RawEntry) -> Result<EntrySettings, Problems> {
    let mut p = Problems::default();
    let l = &raw.limits;
    let ok = (1 << 10..=1 << 20).contains(&l.head_bytes);
    p.require(ok, "limits.head_bytes", "must be from 1024 to 1048576");
    let ok = (1..=64 << 20).contains(&l.body_bytes);
    p.require(ok, "limits.body_bytes", "must be from 1 to 67108864");
    let ok = (1..=256 << 20).contains(&l.answer_bytes);
    p.require(ok, "limits.answer_bytes", "must be from 1 to 268435456");
    let ok = (10..=600_000).contains(&l.io_ms);
    p.require(ok, "limits.io_ms", "must be from 10 to 600000");
    let ok = (10..=600_000).contains(&l.body_ms);
    p.require(ok, "limits.body_ms", "must be from 10 to 600000");
    let ok = (1..=MAX_HANDLERS).contains(&l.handlers);
    p.require(
        ok,
        "limits.handlers",
        format!("must be from 1 to {MAX_HANDLERS}"),
    );
    let ok = (1..=100_000).contains(&l.waiting);
    p.require(ok, "limits.waiting", "must be from 1 to 100000");
    let ok = (1..=100_000).contains(&l.connections);
    p.require(ok, "limits.connections", "must be from 1 to 100000");
    let ok = raw.route.max_org_requests >= 1 && raw.route.max_org_requests <= l.handlers;
    p.require(ok, "route.share", "must be from 1 to limits.handlers");
    p.require(
        raw.route.max_attempts >= 1,
        "route.attempts",
        "must be at least 1",
    );
    p.require(
        raw.route.hedge_permille <= 1_000,
        "route.hedges",
        "must be at most 1000",
    );
    p.require(
        raw.route.max_ejected_percent <= 100,
        "route.max_ejected",
        "must be at most 100",
    );
    p.require(
        raw.drain_ms <= 600_000,
        "drain_ms",
        "must be at most 600000",
    );
    let limits = Limits {
        head_bytes: l.head_bytes,
        body_bytes: l.body_bytes,
        io_timeout: Duration::from_millis(l.io_ms),
        body_timeout: Duration::from_millis(l.body_ms),
        handlers: l.handlers,
        max_queued: l.waiting,
        max_connections: l.connections,
    };
    let max_answer_bytes = l.answer_bytes;
    let instance = AgentSettings::check(raw.instance, Role::Entry, &mut p);
    p.into_result(EntrySettings {
        instance,
        callers: raw.callers,
        limits,
        max_answer_bytes,
        route: raw.route,
        drain: Duration::from_millis(raw.drain_ms),
    })
}
