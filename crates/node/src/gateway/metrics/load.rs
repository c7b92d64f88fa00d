//! Metrics of the decisions under load: waiting requests and larger models.

use masticlock_core::{plain, time::Span};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

plain! {
    /// Labels of the metrics of a service.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct ServiceLabels {
        /// Service.
        pub service: String,
    }

    /// Labels of the counter of waiting requests that left without an upstream.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct LineLabels {
        /// Service.
        pub service: String,
        /// Rank of the request.
        pub rank: u8,
        /// Reason.
        pub reason: String,
    }

    /// Labels of the counter of unsure answers.
    #[derive(Eq, Hash, EncodeLabelSet)]
    pub struct UnsureLabels {
        /// Service.
        pub service: String,
        /// Rank of the request.
        pub rank: u8,
        /// `asked` if a larger model was, else why not: `scarce`, `no_room`, `late` or `no_budget`.
        pub outcome: String,
    }
}

/// Metrics of the decisions under load.
#[derive(Default)]
pub struct LoadMetrics {
    line_lengths: Family<ServiceLabels, Gauge>,
    line_ages: Family<ServiceLabels, Gauge>,
    line_refusals: Family<LineLabels, Counter>,
    unsure_answers: Family<UnsureLabels, Counter>,
}

impl LoadMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "line_length",
            "Requests that wait because all upstreams are full",
            metrics.line_lengths.clone(),
        );
        registry.register(
            "line_age_ms",
            "Time for which the oldest of them has waited",
            metrics.line_ages.clone(),
        );
        registry.register(
            "line_refused",
            "Requests that waited and were refused",
            metrics.line_refusals.clone(),
        );
        registry.register(
            "unsure_answers",
            "Answers below the confidence at which a larger model is asked under low load",
            metrics.unsure_answers.clone(),
        );
        metrics
    }

    /// Sets the state of a service's line.
    pub fn set_line(&self, service: &str, length: usize, age: Span) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let set = |family: &Family<ServiceLabels, Gauge>, value: i64| {
            family.get_or_create(&labels).set(value);
        };
        set(
            &self.line_lengths,
            i64::try_from(length).unwrap_or(i64::MAX),
        );
        set(
            &self.line_ages,
            i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
        );
    }

    /// Counts the refusal of a waiting request.
    pub fn count_line_refusal(&self, service: &str, rank: u8, reason: &str) {
        let labels = LineLabels {
            service: service.to_owned(),
            rank,
            reason: reason.to_owned(),
        };
        self.line_refusals.get_or_create(&labels).inc();
    }

    /// Counts an unsure answer of the smallest model.
    pub fn count_unsure(&self, service: &str, rank: u8, outcome: &str) {
        let labels = UnsureLabels {
            service: service.to_owned(),
            rank,
            outcome: outcome.to_owned(),
        };
        self.unsure_answers.get_or_create(&labels).inc();
    }
}
