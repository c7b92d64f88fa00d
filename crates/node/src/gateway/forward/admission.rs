//! What is decided on a request before its body has been read, and refusals.

use std::{rc::Rc, sync::Arc};

use hyper::{
    Response,
    header::{CONNECTION, HeaderValue},
};
use masticlock_core::{retry_after::Cause, route::Account, time::Span};

use super::{Proxy, RequestContext};
use crate::gateway::{
    entry::ResponseBody,
    handler::Refusal,
    http,
    memory::{Budget, Error},
};

impl Proxy {
    /// Returns the room for what the instance holds.
    pub const fn memory(&self) -> &Rc<Budget> {
        &self.memory
    }

    /// Reports the connections of clients in the metrics, and ends those whose clients don't read if
    /// there is no room for a response.
    pub fn watch_connections(&self, connections: Rc<http::Connections>) {
        let unread = connections.clone();
        self.memory().set_end_unread(move || unread.end_unread());
        // They are set once, when the instance begins to listen.
        let _is_first = self.client_connections.set(connections);
    }

    /// Returns the client account of a request whose body has not been read, if it is known.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of an unknown route or key. Whether a current configuration is
    /// missing is decided when the body has been read.
    pub fn check_head(&self, ctx: &RequestContext) -> Result<Option<Arc<Account>>, Refusal> {
        match self.resolve(ctx, &self.view()) {
            Ok(resolved) => Ok(resolved.account),
            Err(refusal) if refusal.retry_after.is_none() => Err(refusal),
            Err(_) => Ok(None),
        }
    }

    /// Counts and logs a refusal and returns the response for the client.
    pub fn refuse(&self, ctx: &RequestContext, refusal: Refusal) -> Response<ResponseBody> {
        self.log_refusal(ctx, &refusal);
        self.metrics.count_refusal(refusal.reason);
        self.metrics.count_response(ctx.kind.get(), refusal.status);
        refusal.into()
    }

    /// Refuses a request whose body was not read to its end, and lets its connection be closed.
    pub fn refuse_unread(
        &self,
        ctx: &RequestContext,
        error: Error,
        source: &str,
    ) -> Response<ResponseBody> {
        let refusal = match error {
            Error::NoRoom => ctx.refuse(Cause::Full, error.cause(), self.now()),
            _ => Refusal::new(error.status(), error.cause()),
        };
        log::info!(
            event = "body_refused", request = ctx.id(), source, reason = error.cause(),
            held = self.memory.held();
            "a request body was not read to its end"
        );
        let mut response = self.refuse(ctx, refusal);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        response
    }

    fn log_refusal(&self, ctx: &RequestContext, refusal: &Refusal) {
        let view = self.shared.view.load();
        log::info!(
            event = "refused", request = ctx.id(), status = refusal.status.as_u16(),
            reason = refusal.reason, runs = ctx.run_count(), tried = ctx.tried.borrow().len(),
            waited_ms = self.now().since(ctx.received_at).as_millis(),
            retry_after_ms = refusal.retry_after.map_or(0, Span::as_millis),
            revision = view.table.as_ref().map_or(0, |t| t.revision()),
            age_ms = self.state_age(&view).map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(-1));
            "a request is refused"
        );
    }
}
