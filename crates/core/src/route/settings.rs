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
    pub fresh: Millis,
    /// Failures in a row after which a target is ejected.
    pub failures: u32,
    /// Length of the first ejection; doubles each time.
    pub eject: Millis,
    /// Longest ejection.
    pub max_eject: Millis,
    /// Most targets of a zone that may be ejected, in hundredths.
    pub max_ejected: u32,
    /// Time over which a returning target gets back its full share.
    pub slow_start: Millis,
    /// Most attempts of one request.
    pub attempts: u32,
    /// Share of requests that may be hedged, in thousandths; 0 switches it off.
    pub hedges: u32,
    /// Most requests that one organisation may have here at one time.
    pub share: usize,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            policy: RoutePolicy::default(),
            fresh: 500,
            failures: 3,
            eject: 1_000,
            max_eject: 30_000,
            max_ejected: 50,
            slow_start: 3_000,
            attempts: 3,
            hedges: 20,
            share: 80,
        }
    }
}
