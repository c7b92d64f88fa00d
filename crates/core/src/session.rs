//! Session tokens: the caller carries the session's version.
//!
//! A token binds client account, session id, model and version under
//! HMAC-SHA-256 (RFC 2104), so that any instance with the key honours it
//! without a table of sessions.

use std::fmt::Write as _;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{error, name};

/// Header value that asks for a new session.
pub const NEW: &str = "new";

/// Bytes of the authentication code that a token carries.
const CODE_BYTES: usize = 16;

/// The session of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Session id, made by the instance that opened it.
    pub id: String,
    /// The session's version; `None` until its first answer.
    pub version: Option<name::Version>,
}

/// Signs and checks tokens.
#[derive(Clone)]
pub struct Signer {
    mac: Hmac<Sha256>,
}

impl Signer {
    /// Returns a signer with the key that all instances share.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            mac: Hmac::new_from_slice(key).expect("HMAC takes keys of any length"),
        }
    }

    /// Returns the token of a session.
    #[must_use]
    pub fn sign(&self, account: &name::Account, id: &str, version: &name::Version) -> String {
        let code = self.code(account, id, version.as_str());
        format!("{id}/{version}/{}", hex(&code))
    }

    /// Returns the session of a token.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::SessionInvalid`] if the token was not signed with
    /// this key for this client account.
    pub fn verify(&self, account: &name::Account, token: &str) -> Result<Session, error::Error> {
        let invalid = || {
            error::Error::new(
                error::Kind::SessionInvalid,
                "the session token is not valid for this client account; \
                 send `new` to open a session",
            )
        };
        let mut parts = token.split('/');
        let (Some(id), Some(version), Some(code), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        let version = name::Version::try_from(version).map_err(|_| invalid())?;
        let code = unhex(code).ok_or_else(invalid)?;
        let mut mac = self.mac.clone();
        update(&mut mac, account, id, version.as_str());
        // The comparison takes the same time wherever the codes differ.
        mac.verify_truncated_left(&code).map_err(|_| invalid())?;
        Ok(Session {
            id: id.to_owned(),
            version: Some(version),
        })
    }

    fn code(&self, account: &name::Account, id: &str, version: &str) -> [u8; CODE_BYTES] {
        let mut mac = self.mac.clone();
        update(&mut mac, account, id, version);
        let full = mac.finalize().into_bytes();
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&full[..CODE_BYTES]);
        code
    }
}

fn update(mac: &mut Hmac<Sha256>, account: &name::Account, id: &str, version: &str) {
    for part in [account.as_str(), id, version] {
        mac.update(part.as_bytes());
        mac.update(&[0]);
    }
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the bytes of a code of exactly [`CODE_BYTES`] bytes.
///
/// A shorter code would be easier to guess and is refused.
fn unhex(text: &str) -> Option<[u8; CODE_BYTES]> {
    // `from_str_radix` alone would also take a plus sign, and so a second spelling of a code.
    if text.len() != 2 * CODE_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut code = [0; CODE_BYTES];
    for (at, byte) in code.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(code)
}
