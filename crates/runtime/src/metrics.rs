//! Metrics with `cadence`, sent as StatsD datagrams.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::exit::{EXIT_FAILURE, HasExitCode};

/// Maximum number of datagrams that wait to be sent; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 1024;

/// Settings of metrics.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Address of a StatsD collector; metrics are dropped if absent.
    pub statsd: Option<SocketAddr>,
}

/// An error of starting metrics.
#[derive(Debug, Snafu)]
pub enum MetricError {
    /// No socket can be bound.
    #[snafu(display("can't bind a socket for metrics"))]
    Bind {
        /// The system's error.
        source: std::io::Error,
    },
    /// The collector's address is invalid.
    #[snafu(display("can't send metrics"))]
    Sink {
        /// The library's error.
        source: cadence::MetricError,
    },
}

impl HasExitCode for MetricError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}

/// Sends counters, gauges and timings. Sending never blocks, and errors are ignored.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Starts sending to the collector, if one is set, with the name prefix `gorsespur.<role>`.
    pub fn start(settings: &MetricSettings, role: &str) -> Result<Metrics, MetricError> {
        let prefix = format!("gorsespur.{role}");
        let client = match settings.statsd {
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0").context(BindSnafu)?;
                socket.set_nonblocking(true).context(BindSnafu)?;
                let udp = BufferedUdpMetricSink::from(addr, socket).context(SinkSnafu)?;
                StatsdClient::from_sink(
                    &prefix,
                    QueuingMetricSink::with_capacity(udp, MAX_QUEUED_DATAGRAMS),
                )
            }
        };
        Ok(Metrics {
            client: Arc::new(client),
        })
    }

    /// Adds `n` to a counter.
    pub fn count(&self, name: &str, n: i64) {
        let _ = self.client.count(name, n);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.client.time(name, ms);
    }
}
