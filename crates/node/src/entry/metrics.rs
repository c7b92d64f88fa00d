//! Metrics of the request path.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient, Timed};
use masticlock_core::{error, name, time::Span};

/// Sends counters and timers of the request path to a `StatsD` server, if one is configured.
#[derive(Debug)]
pub(super) struct Metrics(Option<StatsdClient>);

/// Prefix of all metric names.
const PREFIX: &str = "masticlock.entry";

impl Metrics {
    pub(super) fn new(server: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(server) = server else {
            return Ok(Self(None));
        };
        let socket = UdpSocket::bind(if server.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        })?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(server, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self(Some(client)))
    }

    /// Counts a completed request and records its duration.
    pub(super) fn completed(&self, version: Option<&name::Version>, time: Span) {
        let Some(client) = &self.0 else {
            return;
        };
        let version = version.map_or("service", name::Version::as_str);
        client
            .count_with_tags("completed", 1)
            .with_tag("version", version)
            .send();
        client
            .time_with_tags("time", Duration::from_millis(time.as_millis()))
            .with_tag("version", version)
            .send();
    }

    /// Counts a request that failed after its admission.
    pub(super) fn failed(&self, kind: error::Kind) {
        self.count("failed", kind);
    }

    /// Counts a request that was rejected before it ran.
    pub(super) fn refused(&self, kind: error::Kind) {
        self.count("refused", kind);
    }

    fn count(&self, metric: &str, kind: error::Kind) {
        if let Some(client) = &self.0 {
            client
                .count_with_tags(metric, 1)
                .with_tag("code", kind.response().code)
                .send();
        }
    }
}
