//! Settings of a router.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutePolicy {
    /// In turn, without budgets, ejection or early refusal; a baseline.
    RoundRobin,
    /// The better of two random targets by expected time, with budgets.
    #[default]
    TwoChoices,
}

/// Settings of a router; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// How targets are chosen.
    pub policy: RoutePolicy,
    /// Time for which a target's report of its load is trusted.
    #[serde(rename = "fresh")]
    pub report_ttl: Millis,
    /// Failures in a row after which a target is ejected.
    #[serde(rename = "failures")]
    pub ejection_threshold: u32,
    /// Length of the first ejection; doubles each time.
    #[serde(rename = "eject")]
    pub ejection: Millis,
    /// Longest ejection.
    #[serde(rename = "max_eject")]
    pub max_ejection: Millis,
    /// Most targets of a zone that may be ejected, in hundredths.
    #[serde(rename = "max_ejected")]
    pub max_ejected_percent: u32,
    /// Time over which a returning target gets back its full share.
    pub slow_start: Millis,
    /// Most attempts of one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Share of requests that may be hedged, in thousandths; 0 switches it off.
    #[serde(rename = "hedges")]
    pub hedge_permille: u32,
    /// Most requests that one organisation may have here at one time.
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
