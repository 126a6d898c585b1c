//! Settings of a router.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutePolicy {
    /// Targets in turn, without retry budget, ejection or early refusal; a baseline.
    RoundRobin,
    /// The better of two random targets by expected latency, with retry budgets.
    #[default]
    TwoChoices,
}

/// Settings of a router; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// How targets are chosen.
    pub policy: RoutePolicy,
    /// Time for which the load report of a target is used.
    #[serde(rename = "fresh")]
    pub report_ttl: Millis,
    /// Number of consecutive failures after which a target is ejected.
    #[serde(rename = "failures")]
    pub ejection_threshold: u32,
    /// Duration of the first ejection; doubles with each further one.
    #[serde(rename = "eject")]
    pub ejection: Millis,
    /// Maximum duration of an ejection.
    #[serde(rename = "max_eject")]
    pub max_ejection: Millis,
    /// Maximum percentage of the targets of a zone that may be ejected at one time.
    #[serde(rename = "max_ejected")]
    pub max_ejected_percent: u32,
    /// Time over which a target regains its full share after an ejection.
    pub slow_start: Millis,
    /// Maximum number of attempts of a request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Share of requests that may be hedged, in thousandths; 0 disables hedging.
    #[serde(rename = "hedges")]
    pub hedge_permille: u32,
    /// Maximum number of open requests of an organisation on this instance.
    #[serde(rename = "share")]
    pub max_org_requests: usize,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            policy: RoutePolicy::default(),
            report_ttl: 500,
            ejection_threshold: 3,
            ejection: 1_000,
            max_ejection: 30_000,
            max_ejected_percent: 50,
            slow_start: 3_000,
            max_attempts: 3,
            hedge_permille: 20,
            max_org_requests: 80,
        }
    }
}
