//! Shared immutable names.
//!
//! Names are validated once, on construction. Cloning a name copies a pointer.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Maximum length of a name in bytes.
pub const MAX_BYTES: usize = 64;

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name can't be empty")]
    Empty,
    /// The text is longer than [`MAX_BYTES`].
    #[error("a name has at most {MAX_BYTES} bytes, this one has {0}")]
    Long(usize),
    /// The text has a character that is not allowed in names.
    #[error("character {0:?} is not allowed in a name; allowed are a-z, A-Z, 0-9 and . _ - @ :")]
    Character(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(Error::Long(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '@' | ':');
    text.chars()
        .find(|&c| !allowed(c))
        .map_or(Ok(()), |c| Err(Error::Character(c)))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        $(
            $(#[$doc])*
            #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<&str> for $name {
                type Error = Error;

                fn try_from(text: &str) -> Result<Self, Error> {
                    check(text)?;
                    Ok(Self(Arc::from(text)))
                }
            }

            impl TryFrom<String> for $name {
                type Error = Error;

                fn try_from(text: String) -> Result<Self, Error> {
                    Self::try_from(text.as_str())
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.pad(&self.0)
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    fmt::Debug::fmt(&*self.0, f)
                }
            }

            impl Serialize for $name {
                fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
                where
                    S: Serializer,
                {
                    serializer.serialize_str(&self.0)
                }
            }

            impl<'de> Deserialize<'de> for $name {
                fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
                where
                    D: Deserializer<'de>,
                {
                    deserializer.deserialize_str(Visitor).map(Self)
                }
            }
        )+
    };
}

names! {
    /// A client account.
    Account,
    /// A model, such as `advisor-7b`.
    Model,
    /// A version of a model, unique among all models, such as `advisor-7b@3`.
    Version,
    /// A model engine or plain service that announces itself.
    Upstream,
    /// A failure domain.
    Domain,
    /// A group of nearby failure domains.
    Region,
    /// A process of the system: an entry instance or a control replica.
    Instance,
    /// A group of upstreams that offer the same plain service.
    Service,
    /// A kind of request that rules and quality estimates refer to, such as `plan`.
    Task,
    /// The id of a request, unique within its client account.
    Request,
    /// The id of a command, chosen by the client that sends it.
    Command,
    /// The id of a restriction, chosen by the client that sends it.
    Restriction,
}

/// Deserializes a name from borrowed text without an intermediate owned copy.
struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E>(self, text: &str) -> Result<Arc<str>, E>
    where
        E: de::Error,
    {
        check(text).map_err(E::custom)?;
        Ok(Arc::from(text))
    }
}
