use jsonrpsee::{Methods, RpcModule, core::RegisterMethodError, types::ErrorObjectOwned};
use masticlock_core::{error, feed};
use serde::de::DeserializeOwned;

use crate::{
    follower::Follower,
    journal::Journal,
    rpc::{self, Failure},
};

struct Context {
    follower: Follower,
    journal: Journal,
}

fn parse<P>(params: &jsonrpsee::types::Params<'_>) -> Result<P, ErrorObjectOwned>
where
    P: DeserializeOwned,
{
    let bad = |e: ErrorObjectOwned| Failure::new(error::Kind::BadRequest, e.message()).into();
    params.parse().map_err(bad)
}

/// Returns the methods for relayed polls, local restrictions and the time line.
pub fn methods(follower: &Follower, journal: &Journal) -> Result<Methods, RegisterMethodError> {
    let mut module = RpcModule::new(Context {
        follower: follower.clone(),
        journal: journal.clone(),
    });
    module.register_async_method(rpc::FEED_POLL, |params, context, _| async move {
        let poll: feed::Poll = parse(&params)?;
        context
            .follower
            .serve(poll)
            .await
            .map_err(ErrorObjectOwned::from)
    })?;
    module.register_method(rpc::OPERATOR_RESTRICT, |params, context, _| {
        let restrict: rpc::Restrict = parse(&params)?;
        let done = context.follower.restrict(&restrict);
        done.map_err(|error| ErrorObjectOwned::from(Failure::from(error)))
    })?;
    module.register_method(rpc::TIMELINE_READ, |params, context, _| {
        let from: rpc::TimelineFrom = parse(&params)?;
        Ok::<_, ErrorObjectOwned>(context.journal.after(from.after))
    })?;
    Ok(module.into())
}
