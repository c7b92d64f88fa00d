use std::net::SocketAddr;

use masticlock_core::{attempt, name, time::Span};
use serde::{Deserialize, Serialize};

/// Settings of an entry instance as they stand in the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    /// Key of the session tokens, the same on all instances.
    pub session_key: String,
    /// Address of a `StatsD` server for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Time limits in milliseconds and size limits in bytes.
    #[serde(default)]
    pub limits: RawLimits,
}

macro_rules! limits {
    ($($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr),+ $(,)?) => {
        /// Limits as they stand in the file.
        #[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct RawLimits {
            $($(#[$doc])* pub $field: $kind),+
        }

        impl Default for RawLimits {
            fn default() -> Self {
                Self { $($field: $default),+ }
            }
        }
    };
}

limits! {
    /// Longest time to connect to an upstream.
    connect_ms: u64 = 1_000,
    /// Longest time from sending to the first byte.
    first_byte_ms: u64 = 10_000,
    /// Longest time between two pieces of an answer.
    between_ms: u64 = 5_000,
    /// Longest time of a request when neither caller nor rules name a deadline, and in any case.
    total_ms: u64 = 60_000,
    /// Time without a first byte after which a plain idempotent request is hedged; 0 for never.
    hedge_ms: u64 = 0,
    /// Longest wait before a retry.
    backoff_ms: u64 = 50,
    /// Most attempts of one request.
    attempts: u32 = 4,
    /// Certainty below which a cascade escalates.
    certainty: f64 = 0.5,
    /// Largest head of a request.
    head_bytes: usize = 16 * 1024,
    /// Largest body of a request.
    body_bytes: usize = 1024 * 1024,
    /// Largest answer of an upstream.
    answer_bytes: usize = 16 * 1024 * 1024,
    /// Longest time in which a caller sends a head or a body.
    receive_ms: u64 = 10_000,
    /// Longest time in which a caller takes no byte of its answer.
    stall_ms: u64 = 10_000,
    /// Longest time in which a connection is idle.
    idle_ms: u64 = 60_000,
    /// Most open connections.
    connections: usize = 10_000,
    /// Time for the load balancer to see that the instance is not ready.
    notice_ms: u64 = 2_000,
    /// Longest time of a graceful stop after that.
    stop_ms: u64 = 60_000,
}

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The setting.
    pub field: &'static str,
    /// What is accepted.
    pub problem: &'static str,
}

/// Checked settings of an entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    pub(super) session_key: Vec<u8>,
    pub(super) metrics: Option<SocketAddr>,
    pub(super) attempt: attempt::Limits,
    pub(super) limits: RawLimits,
}

/// Shortest key of session tokens.
const MIN_KEY_BYTES: usize = 16;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let limits = raw.limits;
        let fault = |field, problem| Err(SettingsError { field, problem });
        if raw.session_key.len() < MIN_KEY_BYTES {
            return fault("session_key", "has at least 16 bytes");
        }
        for (field, value) in [
            ("limits.connect_ms", limits.connect_ms),
            ("limits.first_byte_ms", limits.first_byte_ms),
            ("limits.between_ms", limits.between_ms),
            ("limits.total_ms", limits.total_ms),
            ("limits.receive_ms", limits.receive_ms),
            ("limits.stall_ms", limits.stall_ms),
            ("limits.idle_ms", limits.idle_ms),
            ("limits.attempts", u64::from(limits.attempts)),
            ("limits.head_bytes", limits.head_bytes as u64),
            ("limits.body_bytes", limits.body_bytes as u64),
            ("limits.answer_bytes", limits.answer_bytes as u64),
            ("limits.connections", limits.connections as u64),
        ] {
            if value == 0 {
                return fault(field, "must be at least 1");
            }
        }
        if !(0.0..=1.0).contains(&limits.certainty) {
            return fault("limits.certainty", "lies between 0 and 1");
        }
        let span = Span::from_millis;
        Ok(Self {
            instance: raw.instance,
            domain: raw.domain,
            listen: raw.listen,
            session_key: raw.session_key.into_bytes(),
            metrics: raw.metrics,
            attempt: attempt::Limits {
                first_byte_timeout: span(limits.first_byte_ms),
                idle_timeout: span(limits.between_ms),
                hedge_after: (limits.hedge_ms > 0).then(|| span(limits.hedge_ms)),
                max_backoff: span(limits.backoff_ms),
                max_attempts: limits.attempts,
                min_certainty: limits.certainty,
            },
            limits,
        })
    }
}
