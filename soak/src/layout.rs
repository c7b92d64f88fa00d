//! Which processes and stand-ins there are, and at which loopback addresses.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use masticlock_platform::testing::{self, Kind, Route};

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Service of calls that run in a moment.
pub const BOOKINGS: &str = "bookings";

/// Service of streams.
pub const ENGINES: &str = "engines";

/// Cold starts in a second that an upstream bears.
pub const COLD_RATE: f64 = 4.0;

/// Client account whose key is never taken away.
pub const STEADY: &str = "mill";

/// Its key.
pub const STEADY_KEY: &str = "k-steady";

/// Client account whose keys change.
pub const CHANGING: &str = "loom";

/// Interval of upstreams' announcements in milliseconds.
pub const ANNOUNCEMENTS_MS: u64 = 500;

const INTERNAL: u16 = 7_000;
const ADMIN: u16 = 7_600;
const FRONT: u16 = 8_000;
const READINESS: u16 = 8_001;
const UPSTREAM: u16 = 8_100;

/// Kinds of machines, which have a range of addresses each.
#[derive(Clone, Copy, Debug)]
enum Range {
    Control = 1,
    Entry = 2,
    Upstream = 3,
    UpstreamProxy = 4,
    EntryProxy = 5,
}

/// The addresses of a run, in a network of its own.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    network: u8,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of upstreams of each service.
    pub upstreams: usize,
}

impl Layout {
    /// Returns the layout of a run; runs at the same time differ in `network`.
    #[must_use]
    pub const fn new(network: u8, entries: usize, upstreams: usize) -> Self {
        Self {
            network,
            entries,
            upstreams,
        }
    }

    fn ip(self, range: Range, at: usize) -> IpAddr {
        // A run has far fewer than 250 of each kind.
        let last = u8::try_from(at + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.network, range as u8, last).into()
    }

    /// Returns the address of a control instance for operators and upstreams.
    #[must_use]
    pub fn admin(self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Range::Control, at), ADMIN)
    }

    /// Returns the address of an entry instance for callers.
    #[must_use]
    pub fn front(self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Range::Entry, at), FRONT)
    }

    /// Returns the address of the proxy between callers and an entry instance.
    #[must_use]
    pub fn front_proxy(self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Range::EntryProxy, at), FRONT)
    }

    /// Returns the address of an upstream.
    #[must_use]
    pub fn upstream(self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Range::Upstream, at), UPSTREAM)
    }

    /// Returns the address of the proxy between entry instances and an upstream.
    #[must_use]
    pub fn upstream_proxy(self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Range::UpstreamProxy, at), UPSTREAM)
    }

    /// Returns the failure domain of the machine with that number.
    #[must_use]
    pub fn domain(self, at: usize) -> &'static str {
        DOMAINS[at % DOMAINS.len()]
    }

    /// Returns the settings of a control instance.
    #[must_use]
    pub fn control(self, at: usize, folder: &Path) -> testing::Settings {
        let name = format!("core-{}-{at}", self.domain(at));
        testing::Settings {
            admin: Some(self.admin(at)),
            data_dir: Some(folder.join(format!("{name}.data"))),
            frontend: None,
            readiness: None,
            ..self.process(name, at, Range::Control)
        }
    }

    /// Returns the settings of an entry instance.
    #[must_use]
    pub fn entry(self, at: usize) -> testing::Settings {
        let name = format!("edge-{}-{at}", self.domain(at));
        let ip = self.ip(Range::Entry, at);
        testing::Settings {
            frontend: Some(self.front(at)),
            readiness: Some(SocketAddr::new(ip, READINESS)),
            ..self.process(name, at, Range::Entry)
        }
    }

    fn process(self, name: String, at: usize, range: Range) -> testing::Settings {
        testing::Settings {
            name,
            domain: self.domain(at).to_owned(),
            ip: self.ip(range, at),
            internal_port: INTERNAL,
            seeds: (0..DOMAINS.len()).map(|at| self.admin(at)).collect(),
            bootstrap: true,
            frontend: None,
            readiness: None,
            admin: None,
            data_dir: None,
            announcement_interval_ms: ANNOUNCEMENTS_MS,
        }
    }
}

/// Returns the route of a kind of request.
#[must_use]
pub fn route(name: &str, kind: Kind) -> Route {
    let (service, attempts, timeout_ms) = match kind {
        Kind::Once | Kind::Repeatable => (BOOKINGS, 2, 2_000),
        Kind::Stream => (ENGINES, 3, 6_000),
    };
    Route {
        name: name.to_owned(),
        kind,
        service,
        attempts,
        timeout_ms,
    }
}
