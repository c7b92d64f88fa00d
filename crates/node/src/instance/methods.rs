use std::sync::Arc;

use jsonrpsee::{Methods, RpcModule, core::RegisterMethodError, types::ErrorObjectOwned};
use masticlock_core::error;

use crate::{
    explain::Explanations,
    feed::{self, Feed},
    journal::Journal,
    rpc::{self, Failure},
};

/// Returns the methods for relayed polls, the time line and explanations.
pub fn methods(
    feed: &Feed,
    journal: &Journal,
    explanations: &Arc<Explanations>,
) -> Result<Methods, RegisterMethodError> {
    let mut module = RpcModule::new(journal.clone());
    module.register_method(rpc::TIMELINE_READ, |params, journal, _| {
        let from: rpc::TimelineFrom = params
            .parse()
            .map_err(|e| Failure::new(error::Kind::BadRequest, e.message()))?;
        Ok::<_, ErrorObjectOwned>(journal.after(from.after))
    })?;
    let mut explain = RpcModule::new(Arc::clone(explanations));
    explain.register_method(rpc::REQUEST_EXPLAIN, |params, explanations, _| {
        let ask: rpc::Explain = params
            .parse()
            .map_err(|e| Failure::new(error::Kind::BadRequest, e.message()))?;
        let found = explanations.get(&ask.request);
        let unknown = "this instance does not know the request any more";
        found.ok_or_else(|| Failure::new(error::Kind::NotFound, unknown).into())
            as Result<_, ErrorObjectOwned>
    })?;
    let mut methods: Methods = feed::methods(feed.clone())?.into();
    methods.merge(module)?;
    methods.merge(explain)?;
    Ok(methods)
}
