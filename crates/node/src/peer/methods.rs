use std::{
    future::Future,
    sync::{Arc, Weak},
};

use jsonrpsee::{Methods, RpcModule, core::RegisterMethodError, types::ErrorObjectOwned};
use masticlock_core::{error, limit, slot::Renewal};
use serde::{Serialize, de::DeserializeOwned};

use super::{Peer, wire};
use crate::rpc::Failure;

/// Registers a method. A part that has ended answers that it stops.
fn add<P, T, F, A>(
    module: &mut RpcModule<Weak<Peer>>,
    name: &'static str,
    answer: F,
) -> Result<(), RegisterMethodError>
where
    P: DeserializeOwned + Send,
    T: Serialize + Clone + Send + 'static,
    F: Fn(Arc<Peer>, P) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<T, error::Error>> + Send,
{
    module.register_async_method(name, move |params, peer, _| {
        let answer = answer.clone();
        async move {
            let failed = |error| ErrorObjectOwned::from(Failure::from(error));
            let params: P = params
                .parse()
                .map_err(|e| failed(error::Error::new(error::Kind::BadRequest, e.message())))?;
            let stopping = || {
                let message = "this instance has ended";
                failed(error::Error::new(error::Kind::Stopping, message))
            };
            let peer = peer.upgrade().ok_or_else(stopping)?;
            if peer.is_stopped() {
                return Err(stopping());
            }
            answer(peer, params).await.map_err(failed)
        }
    })?;
    Ok(())
}

/// Returns the methods that other instances call.
pub fn methods(peer: &Arc<Peer>) -> Result<Methods, RegisterMethodError> {
    let mut module = RpcModule::new(Arc::downgrade(peer));
    add(&mut module, wire::GOSSIP, gossip)?;
    add(&mut module, wire::ANNOUNCE, announce)?;
    add(&mut module, wire::ACQUIRE, acquire)?;
    add(&mut module, wire::PLACE, place)?;
    add(&mut module, wire::SUMMARY, summary)?;
    add(&mut module, wire::RENEW, renew)?;
    add(&mut module, wire::RELEASE, release)?;
    add(&mut module, wire::HANDOVER, handover)?;
    add(&mut module, wire::WITNESS_OPEN, open)?;
    add(&mut module, wire::WITNESS_CLOSE, close)?;
    add(&mut module, wire::BORROW, borrow)?;
    add(&mut module, wire::RESTRICT, restrict)?;
    Ok(module.into())
}

async fn gossip(peer: Arc<Peer>, params: wire::Gossip) -> Result<wire::Gossip, error::Error> {
    let mut state = peer.state();
    let message = state.gossip.handle_message(params.message, peer.now());
    drop(state);
    peer.refresh();
    peer.outbox.notify_one();
    Ok(wire::Gossip { message })
}

async fn announce(
    peer: Arc<Peer>,
    params: wire::Announce,
) -> Result<masticlock_core::slot::AnnouncementResponse, error::Error> {
    peer.own_announcement(&params.announcement)
}

async fn acquire(peer: Arc<Peer>, params: wire::Acquire) -> Result<wire::Acquired, error::Error> {
    let granted = peer
        .state()
        .table
        .acquire(&params.ask, &params.holder, peer.now());
    Ok(match granted {
        Ok(lease) => wire::Acquired::Granted(lease),
        Err(refusal) => wire::Acquired::Refused(refusal),
    })
}

async fn place(peer: Arc<Peer>, params: wire::Acquire) -> Result<wire::Acquired, error::Error> {
    Ok(match peer.place(params).await {
        Ok(lease) => wire::Acquired::Granted(lease),
        Err(refusal) => wire::Acquired::Refused(refusal),
    })
}

async fn summary(peer: Arc<Peer>, _: wire::Nothing) -> Result<Vec<wire::Free>, error::Error> {
    Ok(peer.summary())
}

async fn renew(peer: Arc<Peer>, params: wire::Renew) -> Result<Vec<Renewal>, error::Error> {
    let now = peer.now();
    let mut state = peer.state();
    let slots = params.slots.iter();
    Ok(slots
        .map(|slot| state.table.renew(&slot.upstream, slot.id, now))
        .collect())
}

async fn release(peer: Arc<Peer>, params: wire::Release) -> Result<(), error::Error> {
    let slot = params.slot;
    let now = peer.now();
    peer.state()
        .table
        .release(&slot.upstream, slot.id, params.report, now);
    peer.freed.notify_waiters();
    Ok(())
}

async fn handover(peer: Arc<Peer>, params: wire::Handover) -> Result<(), error::Error> {
    let now = peer.now();
    peer.state().table.take_over(params.handover, now);
    Ok(())
}

async fn open(peer: Arc<Peer>, params: wire::Open) -> Result<(), error::Error> {
    let now = peer.now();
    let witness = &mut peer.state().witness;
    witness.open(&params.origin, params.boot, params.bills, now);
    Ok(())
}

async fn close(peer: Arc<Peer>, params: wire::Close) -> Result<(), error::Error> {
    let now = peer.now();
    peer.state().witness.close(&params.keys, now);
    Ok(())
}

async fn borrow(peer: Arc<Peer>, params: wire::Borrow) -> Result<limit::Grant, error::Error> {
    Ok(peer.lend(&params.account, &params.holder, params.ask))
}

async fn restrict(peer: Arc<Peer>, params: wire::Restrict) -> Result<(), error::Error> {
    peer.restrict(params.id, params.limit);
    Ok(())
}
