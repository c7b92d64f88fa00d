//! A model of an upstream: what it can bear, and what it gets.

use masticlock_core::{
    directory::{Announcement, State},
    inventory::Offer,
    name,
    slot::Token,
};

/// Most requests at once of a warm upstream.
pub const WARM: u32 = 32;
/// Most requests at once in a cold start.
pub const COLD: u32 = 4;
/// Mean time of a request in milliseconds.
pub const WORK_MS: u64 = 400;

/// One upstream.
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// Its failure domain.
    pub domain: usize,
    /// Number of its process.
    pub incarnation: u64,
    /// Whether its process runs.
    pub up: bool,
    /// When its process started.
    pub since: u64,
    /// The last token.
    pub token: Option<Token>,
    /// Number of the current call to announce itself.
    pub call: u64,
    /// Requests in work.
    pub load: u32,
    /// Largest load above what it could bear, ever.
    pub excess: u32,
    /// Largest load in percent of what it could bear while it was cold.
    pub cold_load: u32,
    bears: u32,
    done: u32,
}

impl Upstream {
    /// Returns a cold upstream that starts now.
    pub fn new(at: usize, domain: usize) -> Self {
        Self {
            name: name::Upstream::try_from(format!("engine-{at}")).expect("a valid name"),
            domain,
            incarnation: 1,
            up: true,
            since: 0,
            token: None,
            call: 0,
            load: 0,
            excess: 0,
            cold_load: 0,
            bears: COLD,
            done: 0,
        }
    }

    /// Ends the process. All work on it is lost.
    pub fn crash(&mut self) {
        self.up = false;
        self.load = 0;
        self.incarnation += 1;
        self.call += 1;
        self.token = None;
    }

    /// Starts the process again, cold.
    pub fn restart(&mut self, now: u64) {
        self.up = true;
        self.since = now;
        self.bears = COLD;
        self.done = 0;
    }

    /// Begins a request. Returns whether the upstream takes it.
    pub fn begin(&mut self) -> bool {
        self.load += 1;
        self.excess = self.excess.max(self.load.saturating_sub(self.bears));
        if self.bears < WARM {
            self.cold_load = self.cold_load.max(self.load * 100 / self.bears);
        }
        if self.load > self.bears {
            self.load -= 1;
            return false;
        }
        true
    }

    /// Completes a request.
    pub fn end(&mut self) {
        self.load -= 1;
        self.done += 1;
        if self.done >= self.bears {
            self.done = 0;
            self.bears = (2 * self.bears).min(WARM);
        }
    }

    /// Returns what the upstream could complete in one millisecond, at best,
    /// if it had been fully used since its start.
    pub fn ideal(&self, now: u64) -> f64 {
        if !self.up {
            return 0.0;
        }
        let doublings = u32::try_from((now - self.since) / WORK_MS).unwrap_or(u32::MAX);
        let bears = COLD
            .saturating_mul(2u32.saturating_pow(doublings))
            .min(WARM);
        f64::from(bears) / super::float(WORK_MS)
    }

    /// Returns what it says of itself.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            upstream: self.name.clone(),
            incarnation: self.incarnation,
            address: format!("http://{}", self.name),
            domain: domain(self.domain),
            offer: Offer::Engine,
            service: None,
            versions: vec![version()],
            warm: WARM,
            cold: COLD,
            fences: false,
            state: State::Ready,
            token: self.token.clone(),
        }
    }
}

/// Returns the name of a failure domain.
pub fn domain(at: usize) -> name::Domain {
    name::Domain::try_from(format!("domain-{at}")).expect("a valid name")
}

/// Returns the version that all upstreams serve.
pub fn version() -> name::Version {
    name::Version::try_from("m@1").expect("a valid name")
}
