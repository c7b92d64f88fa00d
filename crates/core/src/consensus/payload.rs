use std::{fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Shared immutable bytes of a proposal or a snapshot.
///
/// Human-readable formats represent UTF-8 as a string and anything else as a list of numbers, which
/// keeps JSON payloads short inside JSON messages. Binary formats represent the bytes as they are.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    /// Returns the bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::from(bytes))
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({:?})", String::from_utf8_lossy(&self.0))
    }
}

impl Serialize for Payload {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if !serializer.is_human_readable() {
            return serializer.serialize_bytes(&self.0);
        }
        match std::str::from_utf8(&self.0) {
            Ok(text) => serializer.serialize_str(text),
            Err(_) => serializer.collect_seq(self.0.iter()),
        }
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if !deserializer.is_human_readable() {
            return deserializer.deserialize_byte_buf(Visitor);
        }
        deserializer.deserialize_any(Visitor)
    }
}

struct Visitor;

impl<'de> de::Visitor<'de> for Visitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("text or a list of bytes")
    }

    fn visit_str<E>(self, text: &str) -> Result<Payload, E>
    where
        E: de::Error,
    {
        Ok(Payload::from(text.as_bytes()))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Payload, E>
    where
        E: de::Error,
    {
        Ok(Payload::from(bytes))
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Payload, E>
    where
        E: de::Error,
    {
        Ok(Payload::from(bytes))
    }

    fn visit_seq<A>(self, mut list: A) -> Result<Payload, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut bytes = Vec::new();
        while let Some(byte) = list.next_element()? {
            bytes.push(byte);
        }
        Ok(Payload::from(bytes))
    }
}
