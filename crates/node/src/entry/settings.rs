//! Settings of an entry instance.

use std::net::SocketAddr;

use masticlock_core::{attempt, name, time::Span};
use serde::{Deserialize, Serialize};

/// Settings of an entry instance as read from the settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    /// Key that signs session tokens. All instances must have the same one.
    pub session_key: String,
    /// Address of a `StatsD` server for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Time limits in milliseconds and size limits in bytes.
    #[serde(default)]
    pub limits: RawLimits,
}

macro_rules! limits {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr),+ $(,)?) => {
        /// Limits as read from the settings file.
        #[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct RawLimits {
            $($(#[$doc])* pub $field: $type),+
        }

        impl Default for RawLimits {
            fn default() -> Self {
                Self { $($field: $default),+ }
            }
        }
    };
}

limits! {
    /// Maximum time to connect to an upstream.
    connect_ms: u64 = 1_000,
    /// Maximum time from sending a request to the first byte of its response.
    first_byte_ms: u64 = 10_000,
    /// Maximum time between two chunks of a response.
    between_ms: u64 = 5_000,
    /// Maximum total time of a request, also its deadline if neither the caller nor the rules
    /// set one.
    total_ms: u64 = 60_000,
    /// Time without a first byte after which a plain idempotent request is hedged; 0 disables
    /// hedging.
    hedge_ms: u64 = 0,
    /// Maximum delay before a retry.
    backoff_ms: u64 = 50,
    /// Maximum number of attempts per request.
    attempts: u32 = 4,
    /// Certainty below which a cascade escalates.
    certainty: f64 = 0.5,
    /// Maximum size of a request head.
    head_bytes: usize = 16 * 1024,
    /// Maximum size of a request body.
    body_bytes: usize = 1024 * 1024,
    /// Maximum size of an upstream's response.
    answer_bytes: usize = 16 * 1024 * 1024,
    /// Maximum time in which a caller sends the head or the body of a request.
    receive_ms: u64 = 10_000,
    /// Maximum time in which a caller reads no byte of its response.
    stall_ms: u64 = 10_000,
    /// Maximum time in which a connection is idle.
    idle_ms: u64 = 60_000,
    /// Maximum number of open connections.
    connections: usize = 10_000,
    /// Time for the load balancer to notice that the instance is not ready.
    notice_ms: u64 = 2_000,
    /// Maximum time to finish running requests after `notice_ms`.
    stop_ms: u64 = 60_000,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// Name of the setting.
    pub field: &'static str,
    /// Description of the valid values.
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

/// Minimum length of the session key in bytes.
const MIN_KEY_BYTES: usize = 16;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let limits = raw.limits;
        let error = |field, problem| Err(SettingsError { field, problem });
        if raw.session_key.len() < MIN_KEY_BYTES {
            return error("session_key", "has at least 16 bytes");
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
                return error(field, "must be at least 1");
            }
        }
        if !(0.0..=1.0).contains(&limits.certainty) {
            return error("limits.certainty", "lies between 0 and 1");
        }
        let millis = Span::from_millis;
        Ok(Self {
            instance: raw.instance,
            domain: raw.domain,
            listen: raw.listen,
            session_key: raw.session_key.into_bytes(),
            metrics: raw.metrics,
            attempt: attempt::Limits {
                first_byte_timeout: millis(limits.first_byte_ms),
                idle_timeout: millis(limits.between_ms),
                hedge_after: (limits.hedge_ms > 0).then(|| millis(limits.hedge_ms)),
                max_backoff: millis(limits.backoff_ms),
                max_attempts: limits.attempts,
                min_certainty: limits.certainty,
            },
            limits,
        })
    }
}
