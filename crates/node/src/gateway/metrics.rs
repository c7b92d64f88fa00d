//! Counters and histograms of the gateway's processes, served as text.

use hyper::StatusCode;
use masticlock_core::{plain, route::Kind, time::Span};
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

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0];

plain! {
    /// Labels of answers to callers.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct ResponseLabels {
        /// Kind of the route, or `none`.
        pub kind: String,
        /// Status.
        pub status: u16,
    }

    /// Labels of refusals. Reasons are fixed texts, so their number is bounded.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct RefusalLabels {
        /// Reason.
        pub reason: String,
    }

    /// Labels of attempts at upstreams.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct AttemptLabels {
        /// Service.
        pub service: String,
        /// Failure domain of the upstream.
        pub domain: String,
        /// How it ended: `answered`, `failed`, `not_run`, `lost`, `silent` or `larger_model`.
        pub outcome: String,
    }

    /// Labels of times.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct RouteLabels {
        /// Kind of the route.
        pub kind: String,
    }
}

/// Makes histograms with [`SECONDS`].
#[derive(Clone, Copy, Debug)]
struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(SECONDS)
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
}

/// Returns the label of a kind of route.
const fn label(kind: Kind) -> &'static str {
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
        Self {
            registry,
            answers,
            refused,
            attempts,
            heads,
            age,
            revision,
            upstreams,
        }
    }
}

impl EntryMetrics {
    /// Counts an answer.
    pub fn count_response(&self, kind: Option<Kind>, status: StatusCode) {
        let labels = ResponseLabels {
            kind: kind.map_or("none", label).to_owned(),
            status: status.as_u16(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: &str) {
        let reason = reason.to_owned();
        self.refused.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts an attempt.
    pub fn count_attempt(&self, service: &str, domain: &str, outcome: &str) {
        let labels = AttemptLabels {
            service: service.to_owned(),
            domain: domain.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts the time until an answer's head.
    pub fn observe_response_head(&self, kind: Kind, took: Span) {
        let labels = RouteLabels {
            kind: label(kind).to_owned(),
        };
        self.heads
            .get_or_create(&labels)
            .observe(took.to_std().as_secs_f64());
    }

    /// Sets what the instance believes.
    pub fn set_state(&self, age: Option<Span>, revision: u64, upstreams: usize) {
        self.age.set(age.map_or(-1, |a| signed(a.as_millis())));
        self.revision.set(signed(revision));
        self.upstreams.set(signed(upstreams));
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        render(&self.registry)
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
        Self {
            registry,
            leads,
            commit,
            revision,
            voters,
            upstreams,
            reached,
        }
    }
}

/// What a control process believes.
#[derive(Clone, Copy, Debug)]
pub struct ControlStatus {
    /// Whether it leads with a valid lease.
    pub is_leader: bool,
    /// Last committed index.
    pub commit_index: u64,
    /// Number of the configuration.
    pub config_revision: u64,
    /// Number of voters.
    pub voters: usize,
    /// Number of known upstreams.
    pub upstreams: usize,
    /// Number of other control instances in contact.
    pub reachable: usize,
}

impl ControlMetrics {
    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self, status: ControlStatus) -> String {
        self.leads.set(i64::from(status.is_leader));
        self.commit.set(signed(status.commit_index));
        self.revision.set(signed(status.config_revision));
        self.voters.set(signed(status.voters));
        self.upstreams.set(signed(status.upstreams));
        self.reached.set(signed(status.reachable));
        render(&self.registry)
    }
}

fn signed<N>(number: N) -> i64
where
    N: TryInto<i64>,
{
    number.try_into().unwrap_or(i64::MAX)
}

fn render(registry: &Registry) -> String {
    let mut out = String::new();
    if text::encode(&mut out, registry).is_err() {
        log::error!("the metrics can't be written as text");
        out.clear();
    }
    out
}
