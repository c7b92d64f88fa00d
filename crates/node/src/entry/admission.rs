//! Admission of requests: checks the credential, the headers and the body.

use masticlock_core::{
    attempt, claim, config::Config, error, name, request, session, slot, time::Time,
};
use poem::http::{HeaderMap, Method, Uri, header};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use super::{Shared, exchange::HOP_BY_HOP};
use crate::port::Admission;

/// A checked request, as the driver needs it.
pub(super) struct AdmittedRequest {
    /// Request for the state machine.
    pub(super) request: attempt::Request,
    pub(super) outbound: Outbound,
    pub(super) idempotency_key: Option<claim::Key>,
    pub(super) fingerprint: request::Fingerprint,
    /// Admission within the limits of the client account.
    pub(super) admission: Admission,
}

impl AdmittedRequest {
    /// Returns whether the request may be sent more than once.
    pub(super) const fn is_repeatable(&self) -> bool {
        match &self.request.work {
            attempt::Work::Model { .. } => true,
            attempt::Work::Call { safety, .. } => matches!(safety, attempt::Safety::Repeatable),
        }
    }
}

/// Content of the request to an upstream.
pub(super) enum Outbound {
    Model {
        request: request::ModelRequest,
        body: Map<String, Value>,
        streamed: bool,
    },
    Call {
        service: name::Service,
        method: Method,
        /// Path and query relative to the service.
        target: String,
        headers: HeaderMap,
        body: Vec<u8>,
        /// Path of the status lookup, if the rules configure one.
        lookup: Option<String>,
    },
}

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Estimated answer tokens of a request without a token limit.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Task of requests without the header `masticlock-task`.
const DEFAULT_TASK: &str = "chat";

fn bad_request<M>(message: M) -> error::Error
where
    M: Into<String>,
{
    error::Error::new(error::Kind::BadRequest, message)
}

/// Returns the value of an ASCII header; `None` if it is missing.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, error::Error> {
    headers
        .get(name)
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_| bad_request(format!("header {name} has characters outside of ASCII")))
}

/// Returns the parsed value of a header; `accepted` describes the valid values.
fn parsed_header<V>(
    headers: &HeaderMap,
    name: &str,
    accepted: &str,
) -> Result<Option<V>, error::Error>
where
    V: std::str::FromStr,
{
    header_text(headers, name)?
        .map(|value| value.trim().parse())
        .transpose()
        .map_err(|_| bad_request(format!("header {name} is {accepted}")))
}

/// Returns the client account that the bearer key belongs to.
///
/// All keys are compared, each in constant time, so that the time reveals
/// neither which account matched nor how many bytes of a digest did.
pub(super) fn authenticate(
    config: &Config,
    headers: &HeaderMap,
) -> Result<name::Account, error::Error> {
    let unauthorized =
        || error::Error::new(error::Kind::Unauthorized, "send Authorization: Bearer KEY");
    let digest = bearer_digest(headers).ok_or_else(unauthorized)?;
    let mut found = None;
    for account in &config.inventory.accounts {
        if constant_time_eq(account.key_sha256.as_bytes(), &digest) {
            found = Some(&account.name);
        }
    }
    let account = found.ok_or_else(unauthorized)?;
    if config.blocked.binary_search(account).is_ok() {
        let message = format!("client account {account} is blocked");
        return Err(error::Error::new(error::Kind::Blocked, message));
    }
    Ok(account.clone())
}

/// Returns the SHA-256 of the bearer key, in hexadecimal.
pub(super) fn bearer_digest(headers: &HeaderMap) -> Option<[u8; 64]> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| hex_sha256(key.trim()))
}

/// Returns the SHA-256 of a key in hexadecimal, as stored in an inventory.
#[must_use]
pub fn key_digest(key: &str) -> String {
    hex_sha256(key).into_iter().map(char::from).collect()
}

fn hex_sha256(key: &str) -> [u8; 64] {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut hex = [0; 64];
    for (index, byte) in Sha256::digest(key.as_bytes()).iter().enumerate() {
        hex[2 * index] = DIGITS[usize::from(byte >> 4)];
        hex[2 * index + 1] = DIGITS[usize::from(byte & 15)];
    }
    hex
}

/// Compares two digests in a time that is independent of where they differ.
pub(super) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differences = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && std::hint::black_box(differences) == 0
}

/// Checks and admits one request of an authenticated client account.
pub(super) struct Admitter<'a> {
    pub(super) shared: &'a Shared,
    pub(super) config: &'a Config,
    pub(super) account: name::Account,
    pub(super) headers: &'a HeaderMap,
    pub(super) arrived: Time,
}

impl Admitter<'_> {
    /// Returns the idempotency key of the request, scoped to its client account.
    fn idempotency_key(&self) -> Result<Option<claim::Key>, error::Error> {
        let Some(key) = header_text(self.headers, "idempotency-key")? else {
            return Ok(None);
        };
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(bad_request(format!(
                "header idempotency-key has 1 to {MAX_KEY_BYTES} bytes"
            )));
        }
        Ok(Some(claim::Key {
            account: self.account.clone(),
            key: key.to_owned(),
        }))
    }

    /// Returns the id of a request.
    ///
    /// A request with an idempotency key has the same id on every instance, so
    /// that a repeat that is executed again doesn't create a second bill.
    fn request_id(
        &self,
        idempotency_key: Option<&claim::Key>,
        fingerprint: request::Fingerprint,
    ) -> Result<name::Request, error::Error> {
        let id = match idempotency_key {
            Some(key) => {
                let text = format!("{}\0{}\0{fingerprint}", key.account, key.key);
                let hex = blake3::hash(text.as_bytes()).to_hex();
                format!("k-{}", &hex[..32])
            }
            None => self.shared.next_id(),
        };
        name::Request::try_from(id)
            .map_err(|e| error::Error::new(error::Kind::Internal, e.to_string()))
    }

    /// Returns the deadline that the header requests, or the default, up to the configured limit.
    fn deadline(&self, default_ms: Option<u64>) -> Result<Time, error::Error> {
        let limit = self.shared.settings.limits.total_ms;
        let name = "masticlock-deadline-ms";
        let requested = parsed_header::<u64>(self.headers, name, "a number of milliseconds")?;
        if requested == Some(0) {
            return Err(bad_request(format!("header {name} is at least 1")));
        }
        let millis = requested.or(default_ms).unwrap_or(limit).min(limit);
        Ok(self.arrived + masticlock_core::time::Span::from_millis(millis))
    }

    /// Returns the session of the request: a new one, or that of a verified token.
    fn session(&self) -> Result<Option<session::Session>, error::Error> {
        match header_text(self.headers, "masticlock-session")? {
            None => Ok(None),
            Some(session::NEW) => Ok(Some(session::Session {
                id: self.shared.next_id(),
                version: None,
            })),
            Some(token) => self.shared.signer.verify(&self.account, token).map(Some),
        }
    }

    /// Admits a request for a model.
    pub(super) fn admit_model(&self, raw: &[u8]) -> Result<AdmittedRequest, error::Error> {
        let mut body: Map<String, Value> = serde_json::from_slice(raw)
            .map_err(|e| bad_request(format!("the body is not a JSON object: {e}")))?;
        let model = match body.get("model").and_then(Value::as_str) {
            None => return Err(bad_request("field model is the name of a model, or auto")),
            Some("auto") => None,
            Some(model) => Some(
                name::Model::try_from(model)
                    .map_err(|e| bad_request(format!("field model: {e}")))?,
            ),
        };
        if !body.get("messages").is_some_and(Value::is_array) {
            return Err(bad_request("field messages is a list"));
        }
        let streamed = body.get("stream") == Some(&Value::Bool(true));
        if streamed {
            // The bill is computed from the usage chunk.
            let options = serde_json::json!({"include_usage": true});
            body.insert("stream_options".to_owned(), options);
        }
        let task = header_text(self.headers, "masticlock-task")?.unwrap_or(DEFAULT_TASK);
        let task =
            name::Task::try_from(task).map_err(|e| bad_request(format!("masticlock-task: {e}")))?;
        let rule = self.config.rules.task(&task);
        let quality = parsed_header(self.headers, "masticlock-quality", "a number from 0 to 1")?
            .or(rule.map(|r| r.quality))
            .unwrap_or(0.0);
        if !(0.0..=1.0).contains(&quality) {
            return Err(bad_request(
                "header masticlock-quality is a number from 0 to 1",
            ));
        }
        let key = self.idempotency_key()?;
        let fingerprint = request::Fingerprint::of(&self.account, raw);
        let id = self.request_id(key.as_ref(), fingerprint)?;
        let deadline = self.deadline(rule.map(|r| r.deadline_ms))?;
        let prompt_tokens = u32::try_from(raw.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        Ok(AdmittedRequest {
            request: attempt::Request {
                account: self.account.clone(),
                id: id.clone(),
                work: attempt::Work::Model { streamed },
                deadline,
                outlives_caller: key.is_some(),
                prompt_tokens: u64::from(prompt_tokens),
                seed: self.shared.next_seed(),
            },
            outbound: Outbound::Model {
                request: request::ModelRequest {
                    account: self.account.clone(),
                    id,
                    task,
                    model,
                    quality,
                    deadline,
                    prompt_tokens,
                    answer_tokens: answer_tokens(&body),
                    session: self.session()?,
                    fingerprint,
                },
                body,
                streamed,
            },
            idempotency_key: key,
            fingerprint,
            admission: Admission::unlimited(),
        })
    }

    /// Admits a call to a plain service.
    pub(super) fn admit_call(
        &self,
        method: &Method,
        uri: &Uri,
        body: Vec<u8>,
    ) -> Result<AdmittedRequest, error::Error> {
        let not_found = || error::Error::new(error::Kind::NotFound, "no such service");
        let rest = uri.path().strip_prefix("/services/").unwrap_or_default();
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = name::Service::try_from(service).map_err(|_| not_found())?;
        if !self.config.inventory.has_service(&service) {
            return Err(not_found());
        }
        let rules = &self.config.rules;
        let allowed = rules
            .account(&self.account)
            .is_some_and(|r| r.services.binary_search(&service).is_ok());
        if !allowed {
            let message = format!("the client account may not call service {service}");
            return Err(error::Error::new(error::Kind::Forbidden, message));
        }
        let path = format!("/{path}");
        let target = uri
            .query()
            .map_or_else(|| path.clone(), |query| format!("{path}?{query}"));
        let key = self.idempotency_key()?;
        let safety = match (rules.is_repeatable(&service, method.as_str(), &path), &key) {
            (true, _) => attempt::Safety::Repeatable,
            (false, Some(_)) => attempt::Safety::Claimed,
            (false, None) => attempt::Safety::Once,
        };
        let lookup = rules
            .service(&service, method.as_str(), &path)
            .and_then(|r| r.lookup.as_ref())
            .zip(key.as_ref())
            .map(|(lookup, key)| lookup.replace("{key}", &percent_encoded(&key.key)));
        let mut content = format!("{service} {method} {target}\0").into_bytes();
        content.extend_from_slice(&body);
        let fingerprint = request::Fingerprint::of(&self.account, &content);
        let claimed = key.as_ref().filter(|_| safety == attempt::Safety::Claimed);
        let id = self.request_id(claimed, fingerprint)?;
        Ok(AdmittedRequest {
            request: attempt::Request {
                account: self.account.clone(),
                id,
                work: attempt::Work::Call {
                    service: service.clone(),
                    safety,
                    lookup: lookup.is_some(),
                },
                // A slot for a call can't be revoked, so its hold time is limited.
                deadline: self.deadline(None)?.min(self.arrived + slot::MAX_HOLD),
                outlives_caller: false,
                prompt_tokens: 0,
                seed: self.shared.next_seed(),
            },
            outbound: Outbound::Call {
                service,
                method: method.clone(),
                target,
                headers: forwarded_headers(self.headers),
                body,
                lookup,
            },
            idempotency_key: key,
            fingerprint,
            admission: Admission::unlimited(),
        })
    }
}

/// Returns the token limit of a request, or the default estimate.
fn answer_tokens(body: &Map<String, Value>) -> u32 {
    ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|field| body.get(*field).and_then(Value::as_u64))
        .map_or(DEFAULT_ANSWER_TOKENS, |n| {
            u32::try_from(n).unwrap_or(u32::MAX)
        })
}

/// Returns the headers that are forwarded to a service.
///
/// The caller's credential is for the router only.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_excluded = |name: &header::HeaderName| {
        *name == header::AUTHORIZATION
            || HOP_BY_HOP.contains(name)
            || name.as_str().starts_with("masticlock-")
    };
    headers
        .iter()
        .filter(|(name, _)| !is_excluded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Percent-encodes a key as a path segment (RFC 3986, section 2.1).
fn percent_encoded(key: &str) -> String {
    use std::fmt::Write as _;
    let mut out = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            out.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
