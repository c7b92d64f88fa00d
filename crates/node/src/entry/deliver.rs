//! Parts of the response that the caller receives.

use masticlock_core::{claim, name};

use super::{admission::Outbound, driver::Driver, exchange::UpstreamResponse};
use crate::port::Part;

impl Driver {
    /// Releases the buffered bytes of a stream to the caller, after the head.
    pub(super) fn flush(&mut self) {
        if self.buffered.is_empty() {
            return;
        }
        if !self.head_sent {
            let headers = self.response_headers(self.machine.version().as_ref(), None);
            self.push_head(200, headers);
        }
        let buffered = std::mem::take(&mut self.buffered);
        match self.output.back_mut() {
            Some(Part::Data(data)) => data.extend_from_slice(&buffered),
            _ => self.output.push_back(Part::Data(buffered)),
        }
    }

    fn push_head(&mut self, status: u16, headers: Vec<(String, String)>) {
        self.head_sent = true;
        self.output.push_back(Part::Head { status, headers });
    }

    /// Ends the response: with the end marker of a stream or with the whole buffered response.
    pub(super) fn complete(&mut self, version: Option<&name::Version>, cost: u64) {
        let millis = self.shared.now().since(self.started);
        self.shared.metrics.completed(version, millis);
        if self.head_sent {
            self.output
                .push_back(Part::Data(b"data: [DONE]\n\n".to_vec()));
        } else if let Some(response) = self.response.take() {
            let mut headers = self.response_headers(version, Some(cost));
            headers.extend(response.headers);
            self.push_head(response.status, headers);
            self.output.push_back(Part::Data(response.body));
        }
        self.output.push_back(Part::End);
    }

    /// Sends the response that a finished claim holds. It costs nothing.
    pub(super) fn replay(&mut self, response: claim::Response) {
        let mut headers = self.response_headers(None, Some(0));
        headers.push(("content-type".to_owned(), response.content_type));
        self.push_head(response.status, headers);
        self.output.push_back(Part::Data(response.body));
        self.output.push_back(Part::End);
    }

    /// Returns the response headers that the router adds.
    fn response_headers(
        &self,
        version: Option<&name::Version>,
        cost: Option<u64>,
    ) -> Vec<(String, String)> {
        let mut headers = Vec::with_capacity(8);
        let mut add = |name: &str, value: String| headers.push((name.to_owned(), value));
        add(
            "masticlock-request-id",
            self.admitted.request.id.to_string(),
        );
        if let Some(cost) = cost {
            add("masticlock-cost", cost.to_string());
        }
        let (
            Some(version),
            Outbound::Model {
                request, streamed, ..
            },
        ) = (version, &self.admitted.outbound)
        else {
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
        if let Some(session) = &request.session {
            let token = self
                .shared
                .signer
                .sign(&request.account, &session.id, version);
            add("masticlock-session", token);
            if let Some(previous) = session
                .version
                .as_ref()
                .filter(|previous| *previous != version)
            {
                add(
                    "masticlock-session-moved",
                    format!("{previous} to {version}"),
                );
            }
        }
        headers
    }
}

/// Converts a response to the form that is stored with its claim.
pub(super) fn stored_response(response: &UpstreamResponse) -> claim::Response {
    let content_type = response
        .headers
        .iter()
        .find(|(name, _)| name == "content-type")
        .map(|(_, value)| value.clone());
    claim::Response {
        status: response.status,
        content_type: content_type.unwrap_or_default(),
        body: response.body.clone(),
    }
}
