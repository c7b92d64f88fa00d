use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

use cadence::{Gauged, NopMetricSink, StatsdClient, UdpMetricSink};

/// Start of all metric names.
const PREFIX: &str = "masticlock.control";

/// Figures that a replica reports every second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// Whether it may act as the leader: 1 or 0.
    pub leads: u64,
    /// Its term.
    pub term: u64,
    /// Applied revision.
    pub revision: u64,
    /// Instances that have not confirmed it, as the leader sees them.
    pub pending: u64,
    /// Claims that are kept.
    pub claims: u64,
    /// Requests that have a bill on its disk.
    pub bills: u64,
}

/// Sends figures to a statsd server, or nowhere.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns metrics for the server, tagged with the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn new(server: Option<SocketAddr>, instance: &str) -> io::Result<Self> {
        let builder = match server {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(server) => {
                let any = if server.is_ipv4() {
                    "0.0.0.0:0"
                } else {
                    "[::]:0"
                };
                let socket = UdpSocket::bind(any)?;
                // The control thread never waits for metrics.
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(server, socket).map_err(io::Error::other)?;
                StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder.with_tag("instance", instance).build();
        Ok(Self { client })
    }

    /// Sends the figures.
    pub fn report(&self, figures: Figures) {
        let gauges = [
            ("leads", figures.leads),
            ("term", figures.term),
            ("revision", figures.revision),
            ("pending", figures.pending),
            ("claims", figures.claims),
            ("bills", figures.bills),
        ];
        for (name, value) in gauges {
            if let Err(error) = self.client.gauge(name, value) {
                log::debug!("metric {name} was not sent: {error}");
            }
        }
    }
}
