use jsonrpsee::{Methods, RpcModule, core::RegisterMethodError, types::ErrorObjectOwned};
use masticlock_core::error;

use crate::{
    feed::{self, Feed},
    journal::Journal,
    rpc::{self, Failure},
};

/// Returns the methods for relayed polls and the time line.
pub fn methods(feed: &Feed, journal: &Journal) -> Result<Methods, RegisterMethodError> {
    let mut module = RpcModule::new(journal.clone());
    module.register_method(rpc::TIMELINE_READ, |params, journal, _| {
        let from: rpc::TimelineFrom = params
            .parse()
            .map_err(|e| Failure::new(error::Kind::BadRequest, e.message()))?;
        Ok::<_, ErrorObjectOwned>(journal.after(from.after))
    })?;
    let mut methods: Methods = feed::methods(feed.clone())?.into();
    methods.merge(module)?;
    Ok(methods)
}
