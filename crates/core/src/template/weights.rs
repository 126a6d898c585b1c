//! What an organisation cares about.

use serde::{Deserialize, Serialize};

/// Shares of the three measures in placement; they sum to 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Tail latency of services.
    #[serde(rename = "tail")]
    pub tail_latency: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub evictions: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        let third = 1.0 / 3.0;
        Weights {
            tail_latency: third,
            throughput: third,
            evictions: third,
        }
    }
}
