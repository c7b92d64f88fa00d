//! Bills of requests.

use crate::name;

plain! {
    /// Use of one version or service by one attempt.
    #[derive(Eq)]
    pub struct Part {
        /// The version; `None` for a plain service.
        pub version: Option<name::Version>,
        /// Prompt tokens.
        pub prompt_tokens: u64,
        /// Answer tokens.
        pub answer_tokens: u64,
        /// Cost in millionths of the accounting unit.
        pub cost: u64,
    }

    /// The bill of one request, keyed by client account and request id.
    #[derive(Eq)]
    pub struct Bill {
        /// The client account.
        pub account: name::Account,
        /// The request.
        pub request: name::Request,
        /// One part for each version that worked on the request.
        pub parts: Vec<Part>,
    }
}

impl Bill {
    /// Returns the total cost in millionths of the accounting unit.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.parts.iter().map(|part| part.cost).sum()
    }
}
