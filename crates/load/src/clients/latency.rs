//! Latency histograms.

use hdrhistogram::Histogram;

/// Maximum latency in microseconds. Longer latencies are recorded as this value.
const MAX_US: u64 = 60_000_000;

/// A histogram of latencies in microseconds, with three significant digits.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    pub fn new() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3);
        LatencyHistogram {
            histogram: histogram
                .unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|_| unreachable!())),
        }
    }

    pub fn record(&mut self, us: u64) {
        self.histogram.saturating_record(us.max(1));
    }

    pub fn merge(&mut self, other: &LatencyHistogram) {
        let _ = self.histogram.add(&other.histogram);
    }

    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the latency in milliseconds at a quantile from 0 to 1.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }
}
