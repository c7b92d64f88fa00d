use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

use masticlock_core::{
    consensus::{Identity, Member},
    name, plain,
};

/// Shortest cluster secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

plain! {
    /// A replica of the log.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Replica {
        /// The instance that runs it.
        pub instance: name::Instance,
        /// IP address and port of its control process.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: name::Domain,
    }

    /// Settings of a control replica as they stand in the file.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Raw {
        /// This instance.
        pub instance: name::Instance,
        /// Folder of the log and the bills.
        pub folder: PathBuf,
        /// Secret that all processes of the cluster share.
        pub secret: String,
        /// All control replicas, with this one.
        pub replicas: Vec<Replica>,
        /// Whether log lines are JSON objects.
        #[serde(default)]
        pub json_log: bool,
        /// Address of a statsd server for metrics.
        #[serde(default)]
        pub statsd: Option<SocketAddr>,
    }
}

/// Checked settings of a control replica.
#[derive(Clone, PartialEq, Eq)]
pub struct Settings {
    /// This replica.
    pub own: Replica,
    /// Folder of the log and the bills.
    pub folder: PathBuf,
    /// Secret that all processes of the cluster share.
    pub secret: String,
    /// All control replicas, sorted by instance.
    pub replicas: Vec<Replica>,
    /// Whether log lines are JSON objects.
    pub json_log: bool,
    /// Address of a statsd server for metrics.
    pub statsd: Option<SocketAddr>,
}

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The secret is too short.
    #[error("secret: has {0} bytes and needs at least {MIN_SECRET_BYTES}")]
    Secret(usize),
    /// The secret can't be sent in a header.
    #[error("secret: has characters other than visible ASCII")]
    SecretCharacter,
    /// An instance or an address stands twice.
    #[error("replicas[{0}]: its instance or address stands twice")]
    Twice(name::Instance),
    /// This instance is not among the replicas.
    #[error("instance: {0} is not one of the replicas")]
    Missing(name::Instance),
    /// The number of replicas is not one, three, five or seven.
    #[error("replicas: there are {0}; accepted are 1, 3, 5 and 7")]
    Count(usize),
}

impl std::fmt::Debug for Settings {
    /// Leaves the secret out.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("own", &self.own)
            .field("folder", &self.folder)
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        if raw.secret.len() < MIN_SECRET_BYTES {
            return Err(Error::Secret(raw.secret.len()));
        }
        if !raw.secret.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::SecretCharacter);
        }
        if !matches!(raw.replicas.len(), 1 | 3 | 5 | 7) {
            return Err(Error::Count(raw.replicas.len()));
        }
        let mut replicas = raw.replicas;
        replicas.sort_by(|a, b| a.instance.cmp(&b.instance));
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for replica in &replicas {
            if !names.insert(&replica.instance) || !addresses.insert(replica.address) {
                return Err(Error::Twice(replica.instance.clone()));
            }
        }
        let own = replicas
            .iter()
            .find(|r| r.instance == raw.instance)
            .cloned()
            .ok_or(Error::Missing(raw.instance))?;
        Ok(Self {
            own,
            folder: raw.folder,
            secret: raw.secret,
            replicas,
            json_log: raw.json_log,
            statsd: raw.statsd,
        })
    }
}

impl Settings {
    /// Returns the replica set that founds a new log, sorted by identity.
    ///
    /// The identity of a founding replica follows from the names, so that all
    /// founders start with the same set.
    #[must_use]
    pub fn founders(&self) -> Vec<Member> {
        let mut founders: Vec<_> = self
            .replicas
            .iter()
            .map(|replica| Member {
                id: self.founding_identity(&replica.instance),
                instance: replica.instance.clone(),
                address: replica.address.to_string(),
            })
            .collect();
        founders.sort_by_key(|m| m.id);
        founders
    }

    /// Returns the identity of a founding replica.
    #[must_use]
    pub fn founding_identity(&self, instance: &name::Instance) -> Identity {
        let mut hasher = blake3::Hasher::new();
        hasher.update(instance.as_str().as_bytes());
        for replica in &self.replicas {
            hasher.update(&[0]);
            hasher.update(replica.instance.as_str().as_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Identity::from_random(u64::from_le_bytes(bytes))
    }

    /// Returns this replica with that identity.
    #[must_use]
    pub fn member(&self, id: Identity) -> Member {
        Member {
            id,
            instance: self.own.instance.clone(),
            address: self.own.address.to_string(),
        }
    }

    /// Returns the addresses of the other replicas.
    #[must_use]
    pub fn others(&self) -> Vec<String> {
        let others = self.replicas.iter().filter(|r| **r != self.own);
        others.map(|r| r.address.to_string()).collect()
    }

    /// Returns what is accepted but unsafe: failure domains that hold a majority of the replicas.
    #[must_use]
    pub fn warnings(&self) -> Vec<String> {
        let mut domains: Vec<_> = self.replicas.iter().map(|r| &r.domain).collect();
        domains.sort();
        let majority = self.replicas.len() / 2 + 1;
        let groups = domains.chunk_by(|a, b| a == b);
        groups
            .filter(|group| self.replicas.len() > 1 && group.len() >= majority)
            .map(|group| {
                format!(
                    "failure domain {} holds {} of {} replicas; its loss stops all changes and claims",
                    group[0],
                    group.len(),
                    self.replicas.len()
                )
            })
            .collect()
    }
}
