//! What a request's caller receives.

use masticlock_core::{claim, name};

use super::{driver::Driver, job::Kind, wire::Answer};
use crate::port::Part;

impl Driver {
    pub(super) fn flush(&mut self) {
        if self.kept.is_empty() {
            return;
        }
        if !self.has_head {
            let headers = self.headers(self.machine.version().as_ref(), None);
            self.push_head(200, headers);
        }
        let kept = std::mem::take(&mut self.kept);
        match self.out.back_mut() {
            Some(Part::Data(data)) => data.extend_from_slice(&kept),
            _ => self.out.push_back(Part::Data(kept)),
        }
    }

    fn push_head(&mut self, status: u16, headers: Vec<(String, String)>) {
        self.has_head = true;
        self.out.push_back(Part::Head { status, headers });
    }

    pub(super) fn complete(&mut self, version: Option<&name::Version>, cost: u64) {
        let millis = self.shared.now().since(self.started);
        self.shared.metrics.completed(version, millis);
        if self.has_head {
            self.out.push_back(Part::Data(b"data: [DONE]\n\n".to_vec()));
        } else if let Some(answer) = self.answer.take() {
            let mut headers = self.headers(version, Some(cost));
            headers.extend(answer.headers);
            self.push_head(answer.status, headers);
            self.out.push_back(Part::Data(answer.body));
        }
        self.out.push_back(Part::End);
    }

    pub(super) fn replay(&mut self, answer: claim::Response) {
        let mut headers = self.headers(None, Some(0));
        headers.push(("content-type".to_owned(), answer.content_type));
        self.push_head(answer.status, headers);
        self.out.push_back(Part::Data(answer.body));
        self.out.push_back(Part::End);
    }

    /// Returns the answer headers of the router.
    fn headers(&self, version: Option<&name::Version>, cost: Option<u64>) -> Vec<(String, String)> {
        let mut headers = Vec::with_capacity(8);
        let mut add = |name: &str, value: String| headers.push((name.to_owned(), value));
        add("masticlock-request-id", self.job.ask.id.to_string());
        if let Some(cost) = cost {
            add("masticlock-cost", cost.to_string());
        }
        let (Some(version), Kind::Model { ask, streamed, .. }) = (version, &self.job.kind) else {
            return headers;
        };
        add("masticlock-version", version.to_string());
        let snapshot = self.shared.snapshot.load();
        if let Some(entry) = snapshot.config.inventory.version(version) {
            add("masticlock-model", entry.model.to_string());
        }
        if *streamed {
            add("content-type", "text/event-stream".to_owned());
            add("cache-control", "no-store".to_owned());
        }
        if let Some(session) = &ask.session {
            let token = self.shared.signer.sign(&ask.account, &session.id, version);
            add("masticlock-session", token);
            if let Some(old) = session.version.as_ref().filter(|old| *old != version) {
                add("masticlock-session-moved", format!("{old} to {version}"));
            }
        }
        headers
    }
}

/// Returns an answer as its claim keeps it.
pub(super) fn stored(answer: &Answer) -> claim::Response {
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name == "content-type")
        .map(|(_, value)| value.clone());
    claim::Response {
        status: answer.status,
        content_type: content_type.unwrap_or_default(),
        body: answer.body.clone(),
    }
}
