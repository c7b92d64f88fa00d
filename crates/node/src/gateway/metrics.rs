//! Metrics of the gateway's processes in the Prometheus text format.

mod load;

use std::sync::atomic::{AtomicU64, Ordering};

use hyper::StatusCode;
use masticlock_core::{limit::Rate, placement::Expectation, plain, route::Kind, time::Span};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::{Family, MetricConstructor},
        gauge::Gauge,
        histogram::Histogram,
    },
    registry::Registry,
};

pub use self::load::LoadMetrics;
use super::view::Transfers;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0];

plain! {
    /// Labels of the counter of responses to callers.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct ResponseLabels {
        /// Kind of the route, or `none` if the request was not routed.
        pub kind: String,
        /// Status code.
        pub status: u16,
    }

    /// Labels of the counter of refusals. Reasons are fixed texts, so their number is bounded.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct RefusalLabels {
        /// Reason.
        pub reason: String,
    }

    /// Labels of the counter of requests sent to upstreams.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct AttemptLabels {
        /// Service.
        pub service: String,
        /// Failure domain of the upstream.
        pub domain: String,
        /// Outcome: `answered`, `failed`, `not_run`, `lost`, `silent` or `larger_model`.
        pub outcome: String,
    }

    /// Labels of the counter of prompts that were weighed.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct PromptLabels {
        /// Whether the chosen upstream is expected to hold more than half of the shared tokens: `yes`
        /// or `no`.
        pub held: String,
    }

    /// Labels of the histogram of response times.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct RouteLabels {
        /// Kind of the route.
        pub kind: String,
    }
}

/// Constructs histograms with [`BUCKET_BOUNDS`].
#[derive(Clone, Copy, Debug)]
struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(BUCKET_BOUNDS)
    }
}

/// Metrics of an entry process.
pub struct EntryMetrics {
    registry: Registry,
    answers: Family<ResponseLabels, Counter>,
    refused: Family<RefusalLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    heads: Family<RouteLabels, Histogram, Buckets>,
    age: Gauge,
    revision: Gauge,
    upstreams: Gauge,
    limited_upstreams: Gauge,
    limited_attempts: Counter,
    brittle_upstreams: Gauge,
    brittle_rejections: Counter,
    crowded_services: Gauge,
    fastest_pace: Gauge,
    slowest_pace: Gauge,
    crashes: Counter,
    prompts: Family<PromptLabels, Counter>,
    held_tokens: Counter,
    memory: MemoryMetrics,
    configuration: ConfigurationMetrics,
    /// Decisions under load.
    pub load: LoadMetrics,
}

/// Metrics of the memory that is held for clients.
struct MemoryMetrics {
    resident: Gauge,
    held: Gauge,
    ended_bodies: Gauge,
    closed_connections: Gauge,
}

impl MemoryMetrics {
    fn register(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            resident: gauge("resident_bytes", "Resident memory of the process"),
            held: gauge(
                "held_bytes",
                "Bytes of request bodies and buffered responses",
            ),
            ended_bodies: gauge("ended_bodies", "Unfinished bodies ended to make room"),
            closed_connections: gauge(
                "closed_connections",
                "Connections closed or refused at the maximum number",
            ),
        }
    }
}

/// Metrics of the configurations and their transfers.
struct ConfigurationMetrics {
    newest: Gauge,
    newer_age: Gauge,
    bytes: Gauge,
    discarded_bytes: Gauge,
    resumed: Gauge,
    completed: Gauge,
    millis: Gauge,
}

impl ConfigurationMetrics {
    fn register(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            newest: gauge(
                "newest_revision",
                "Number of the newest known configuration",
            ),
            newer_age: gauge(
                "newer_revision_age_ms",
                "Time for which a newer configuration than the one in force is known, 0 if none is",
            ),
            bytes: gauge("transfer_bytes", "Bytes of configurations that arrived"),
            discarded_bytes: gauge(
                "transfer_discarded_bytes",
                "Bytes of configurations that were given up",
            ),
            resumed: gauge("transfers_resumed", "Transfers that were resumed"),
            completed: gauge("transfers_completed", "Transfers that were completed"),
            millis: gauge("transfer_ms", "Time that the completed transfers took"),
        }
    }
}

/// Returns a quantity that is not negative without its fraction.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
#[must_use]
pub const fn whole(quantity: f64) -> u64 {
    quantity as u64
}

/// Returns the label value of a kind of route.
const fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Idempotent => "idempotent",
        Kind::NonRepeatable => "non_repeatable",
        Kind::Stream => "stream",
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("masticlock_entry");
        let answers = Family::default();
        let refused = Family::default();
        let attempts = Family::default();
        let heads = Family::new_with_constructor(Buckets);
        let (age, revision, upstreams) = (Gauge::default(), Gauge::default(), Gauge::default());
        registry.register("answers", "Answers to callers", answers.clone());
        registry.register("refused", "Requests refused by the router", refused.clone());
        registry.register("attempts", "Requests sent to upstreams", attempts.clone());
        registry.register("head_seconds", "Time until an answer's head", heads.clone());
        registry.register(
            "state_age_ms",
            "Age of the agreed state, -1 if never known",
            age.clone(),
        );
        registry.register("revision", "Number of the configuration", revision.clone());
        registry.register("upstreams", "Known upstreams", upstreams.clone());
        let (limited_upstreams, limited_attempts) = (Gauge::default(), Counter::default());
        registry.register(
            "limited_upstreams",
            "Upstreams that have stated a limit",
            limited_upstreams.clone(),
        );
        registry.register(
            "limited_attempts",
            "Requests sent to upstreams that have stated a limit",
            limited_attempts.clone(),
        );
        let crowded_services = Gauge::default();
        registry.register(
            "crowded_services",
            "Services with fewer slots than entry instances, whose upstreams are drawn",
            crowded_services.clone(),
        );
        let (fastest_pace, slowest_pace) = (Gauge::default(), Gauge::default());
        registry.register(
            "fastest_pace_percent",
            "Smallest time of an upstream, in percent of the usual one of its service",
            fastest_pace.clone(),
        );
        registry.register(
            "slowest_pace_percent",
            "Largest time of an upstream, in percent of the usual one of its service",
            slowest_pace.clone(),
        );
        let (brittle_upstreams, brittle_rejections) = (Gauge::default(), Counter::default());
        registry.register(
            "brittle_upstreams",
            "Upstreams that can reject few requests",
            brittle_upstreams.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests rejected by upstreams that can reject few requests",
            brittle_rejections.clone(),
        );
        let crashes = Counter::default();
        registry.register(
            "crashes",
            "Requests under which an upstream may have crashed",
            crashes.clone(),
        );
        let (prompts, held_tokens) = (Family::default(), Counter::default());
        registry.register(
            "weighed_prompts",
            "Prompts placed by what upstreams hold and the wait there",
            prompts.clone(),
        );
        registry.register(
            "expected_held_tokens",
            "Prompt tokens expected to be held by the chosen upstreams",
            held_tokens.clone(),
        );
        let memory = MemoryMetrics::register(&mut registry);
        let configuration = ConfigurationMetrics::register(&mut registry);
        let load = LoadMetrics::register(&mut registry);
        Self {
            registry,
            answers,
            refused,
            attempts,
            heads,
            age,
            revision,
            upstreams,
            limited_upstreams,
            limited_attempts,
            brittle_upstreams,
            brittle_rejections,
            crowded_services,
            fastest_pace,
            slowest_pace,
            crashes,
            prompts,
            held_tokens,
            memory,
            configuration,
            load,
        }
    }
}

impl EntryMetrics {
    /// Counts a response to a caller.
    pub fn count_response(&self, kind: Option<Kind>, status: StatusCode) {
        let labels = ResponseLabels {
            kind: kind.map_or("none", kind_label).to_owned(),
            status: status.as_u16(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a prompt that was placed by what upstreams hold and the wait there.
    pub fn count_weighed(&self, expected: &Expectation) {
        let held = if expected.is_held() { "yes" } else { "no" };
        let labels = PromptLabels { held: held.into() };
        self.prompts.get_or_create(&labels).inc();
        self.held_tokens.inc_by(whole(expected.held_tokens));
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: &str) {
        let reason = reason.to_owned();
        self.refused.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a request sent to an upstream.
    pub fn count_attempt(&self, service: &str, domain: &str, outcome: &str) {
        let labels = AttemptLabels {
            service: service.to_owned(),
            domain: domain.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Records the time until the head of an upstream's response.
    pub fn observe_response_head(&self, kind: Kind, duration: Span) {
        let labels = RouteLabels {
            kind: kind_label(kind).to_owned(),
        };
        self.heads
            .get_or_create(&labels)
            .observe(duration.to_std().as_secs_f64());
    }

    /// Sets the age of the agreed state, the revision of the configuration and the number of known
    /// upstreams.
    pub fn set_state(&self, age: Option<Span>, revision: u64, upstreams: usize) {
        self.age
            .set(age.map_or(-1, |a| saturating_i64(a.as_millis())));
        self.revision.set(saturating_i64(revision));
        self.upstreams.set(saturating_i64(upstreams));
    }

    /// Sets the newest known revision, for how long a newer one than that in force is known, and
    /// the statistics of transfers.
    pub fn set_currency(&self, newest: u64, newer_age: Span, transfers: &Transfers) {
        let metrics = &self.configuration;
        let number = |counter: &AtomicU64| saturating_i64(counter.load(Ordering::Relaxed));
        metrics.newest.set(saturating_i64(newest));
        metrics.newer_age.set(saturating_i64(newer_age.as_millis()));
        metrics.bytes.set(number(&transfers.bytes));
        metrics
            .discarded_bytes
            .set(number(&transfers.discarded_bytes));
        metrics.resumed.set(number(&transfers.resumed));
        metrics.completed.set(number(&transfers.completed));
        metrics.millis.set(number(&transfers.millis));
    }

    /// Sets the bytes that are held, and the numbers of bodies that were ended and connections that
    /// were closed to make room.
    pub fn set_memory(&self, held: u64, ended_bodies: u64, closed_connections: u64) {
        self.memory.held.set(saturating_i64(held));
        self.memory.ended_bodies.set(saturating_i64(ended_bodies));
        let closed = saturating_i64(closed_connections);
        self.memory.closed_connections.set(closed);
    }

    /// Sets the resident memory of the process in bytes, if it is known.
    pub fn set_resident(&self, bytes: Option<u64>) {
        if let Some(bytes) = bytes {
            self.memory.resident.set(saturating_i64(bytes));
        }
    }

    /// Counts a request sent to an upstream that has stated a limit.
    pub fn count_limited_attempt(&self) {
        self.limited_attempts.inc();
    }

    /// Counts a request under which an upstream may have crashed.
    pub fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Counts a request rejected by an upstream that can reject few requests.
    pub fn count_brittle_rejection(&self) {
        self.brittle_rejections.inc();
    }

    /// Sets the numbers of upstreams that have stated a limit, and that can reject few requests.
    pub fn set_bounded_upstreams(&self, limited: usize, brittle: usize) {
        self.limited_upstreams.set(saturating_i64(limited));
        self.brittle_upstreams.set(saturating_i64(brittle));
    }

    /// Sets the number of services with fewer slots than entry instances.
    pub fn set_crowded_services(&self, count: usize) {
        self.crowded_services.set(saturating_i64(count));
    }

    /// Sets the smallest and the largest pace.
    pub fn set_paces(&self, (fastest, slowest): (f64, f64)) {
        #[expect(clippy::cast_possible_truncation)]
        let percent = |pace: f64| (pace * 100.0).round() as i64;
        self.fastest_pace.set(percent(fastest));
        self.slowest_pace.set(percent(slowest));
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        encode(&self.registry)
    }
}

/// Metrics of a control process.
pub struct ControlMetrics {
    registry: Registry,
    leads: Gauge,
    commit: Gauge,
    revision: Gauge,
    voters: Gauge,
    upstreams: Gauge,
    reached: Gauge,
    log_bytes: Gauge,
}

impl Default for ControlMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("masticlock_control");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let leads = gauge("leads", "1 on the leader with a valid lease");
        let commit = gauge("commit", "Last committed index of the log");
        let revision = gauge("revision", "Number of the configuration");
        let voters = gauge("voters", "Voters of the log");
        let upstreams = gauge("upstreams", "Known upstreams");
        let reached = gauge("reached", "Other control instances in contact");
        let log_bytes = gauge("log_bytes", "Size of the log's entries in memory, in bytes");
        Self {
            registry,
            leads,
            commit,
            revision,
            voters,
            upstreams,
            reached,
            log_bytes,
        }
    }
}

/// Status of a control process.
#[derive(Clone, Copy, Debug)]
pub struct ControlStatus {
    /// Whether it leads with a valid lease.
    pub is_leader: bool,
    /// Last committed index.
    pub commit_index: u64,
    /// Revision of the configuration.
    pub config_revision: u64,
    /// Number of voters.
    pub voters: usize,
    /// Number of known upstreams.
    pub upstreams: usize,
    /// Number of other control instances in contact.
    pub reachable: usize,
    /// Size of the log's entries in memory, in bytes.
    pub log_bytes: u64,
}

impl ControlMetrics {
    /// Updates the metrics to the status and returns them as text.
    #[must_use]
    pub fn text(&self, status: ControlStatus) -> String {
        self.leads.set(i64::from(status.is_leader));
        self.commit.set(saturating_i64(status.commit_index));
        self.revision.set(saturating_i64(status.config_revision));
        self.voters.set(saturating_i64(status.voters));
        self.upstreams.set(saturating_i64(status.upstreams));
        self.reached.set(saturating_i64(status.reachable));
        self.log_bytes.set(saturating_i64(status.log_bytes));
        encode(&self.registry)
    }
}

/// Returns a limit in thousandths of a request per second for a log line, or -1 if there is none.
#[must_use]
pub fn limit_milli(limit: Option<Rate>) -> i64 {
    limit.map_or(-1, |l| saturating_i64(l.as_milli()))
}

/// Converts to a gauge value, at most `i64::MAX`.
fn saturating_i64<N>(number: N) -> i64
where
    N: TryInto<i64>,
{
    number.try_into().unwrap_or(i64::MAX)
}

/// Encodes all metrics as text; empty if that fails.
fn encode(registry: &Registry) -> String {
    let mut out = String::new();
    if text::encode(&mut out, registry).is_err() {
        log::error!("can't encode the metrics");
        out.clear();
    }
    out
}
