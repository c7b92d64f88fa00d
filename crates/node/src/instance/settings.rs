use std::net::SocketAddr;

use masticlock_core::plain;

use crate::entry;

/// Shortest cluster secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

plain! {
    /// The `cluster` part of an entry instance's settings file.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct RawSettings {
        /// Address for other instances.
        pub listen: SocketAddr,
        /// Addresses of some entry instances of the same failure domain.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Addresses of the control replicas.
        pub control: Vec<SocketAddr>,
        /// Secret that all processes of the cluster share.
        pub secret: String,
    }
}

/// A fault in the `cluster` part of the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The setting.
    pub field: &'static str,
    /// What is accepted.
    pub problem: &'static str,
}

/// Checked settings of an entry instance with its cluster.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request path.
    pub entry: entry::Settings,
    /// Address for other instances.
    pub listen: SocketAddr,
    /// Addresses of some entry instances of the same failure domain.
    pub seeds: Vec<String>,
    /// Addresses of the control replicas.
    pub control: Vec<String>,
    /// Secret that all processes of the cluster share.
    pub secret: String,
}

impl TryFrom<(entry::Settings, RawSettings)> for Settings {
    type Error = SettingsError;

    fn try_from((entry, raw): (entry::Settings, RawSettings)) -> Result<Self, SettingsError> {
        let fault = |field, problem| Err(SettingsError { field, problem });
        if raw.secret.len() < MIN_SECRET_BYTES {
            return fault("cluster.secret", "has at least 16 bytes");
        }
        if !raw.secret.bytes().all(|b| b.is_ascii_graphic()) {
            return fault("cluster.secret", "has visible ASCII characters only");
        }
        if raw.control.is_empty() {
            return fault("cluster.control", "names at least one control replica");
        }
        let texts = |list: Vec<SocketAddr>| list.iter().map(ToString::to_string).collect();
        Ok(Self {
            entry,
            listen: raw.listen,
            seeds: texts(raw.seeds),
            control: texts(raw.control),
            secret: raw.secret,
        })
    }
}
