//! Weights of the placement objectives of an organisation.

use serde::{Deserialize, Serialize};

/// Relative weights of the placement objectives; they sum to 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of the tail latency of services.
    #[serde(rename = "tail")]
    pub tail_latency: f64,
    /// Weight of the batch throughput.
    pub throughput: f64,
    /// Weight of evictions.
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
