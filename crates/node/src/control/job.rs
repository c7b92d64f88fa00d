use jsonrpsee::{
    RpcModule,
    core::RegisterMethodError,
    types::{ErrorObjectOwned, Params},
};
use masticlock_core::{claim, config, consensus, error, feed, machine, timeline};
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use crate::rpc::{self, Failure};

/// Where the answer to a job goes.
pub type Reply<T> = oneshot::Sender<Result<T, Failure>>;

/// Most jobs that wait for the control thread.
pub const MAX_JOBS: usize = 4_096;

/// A call that the control thread answers.
#[derive(Debug)]
pub enum Job {
    /// Messages of another replica. Answered with messages for it.
    Messages(rpc::Messages, Reply<Vec<consensus::Message>>),
    /// A new replica.
    Join(rpc::Join, Reply<()>),
    /// The state of this replica.
    Replica(Reply<consensus::Status>),
    /// A command.
    Submit(rpc::Submit, Reply<rpc::Submitted>),
    /// The outcome of a command.
    Lookup(rpc::Lookup, Reply<rpc::Submitted>),
    /// The state of the system.
    Status(Reply<rpc::Status>),
    /// The accepted configuration.
    Config(Reply<config::Config>),
    /// Evidence of an instance.
    Share(rpc::Share, Reply<rpc::Shared>),
    /// Events of this replica.
    Timeline(rpc::TimelineFrom, Reply<Vec<timeline::Event>>),
    /// A poll for the configuration.
    Poll(feed::Poll, Reply<feed::Reply>),
    /// A claim.
    Begin(claim::Begin, Reply<claim::Decision>),
    /// The end of a claimed call.
    Finish(claim::Finish, Reply<()>),
    /// A look at a claim.
    Claim(rpc::ClaimLookup, Reply<Option<claim::State>>),
    /// A permit.
    Acquire(machine::PermitRequest, Reply<bool>),
    /// The return of a permit.
    Release(rpc::Release, Reply<()>),
    /// Bills to store. Answered with the number of bills that were new.
    Put(rpc::Bills, Reply<usize>),
    /// A page of bills.
    List(rpc::BillsFrom, Reply<rpc::BillPage>),
}

impl Job {
    /// Answers with a failure.
    pub fn fail(self, failure: Failure) {
        match self {
            Self::Messages(_, reply) => send(reply, Err(failure)),
            Self::Join(_, reply) | Self::Finish(_, reply) | Self::Release(_, reply) => {
                send(reply, Err(failure));
            }
            Self::Submit(_, reply) | Self::Lookup(_, reply) => send(reply, Err(failure)),
            Self::Replica(reply) => send(reply, Err(failure)),
            Self::Status(reply) => send(reply, Err(failure)),
            Self::Config(reply) => send(reply, Err(failure)),
            Self::Share(_, reply) => send(reply, Err(failure)),
            Self::Timeline(_, reply) => send(reply, Err(failure)),
            Self::Poll(_, reply) => send(reply, Err(failure)),
            Self::Begin(_, reply) => send(reply, Err(failure)),
            Self::Claim(_, reply) => send(reply, Err(failure)),
            Self::Acquire(_, reply) => send(reply, Err(failure)),
            Self::Put(_, reply) => send(reply, Err(failure)),
            Self::List(_, reply) => send(reply, Err(failure)),
        }
    }
}

/// Sends an answer. Losing it is the same as losing the connection of a caller that has gone.
pub fn send<T>(reply: Reply<T>, answer: Result<T, Failure>) {
    let _gone = reply.send(answer);
}

type Jobs = mpsc::Sender<Job>;

async fn ask<T, F>(jobs: &Jobs, job: F) -> Result<T, ErrorObjectOwned>
where
    F: FnOnce(Reply<T>) -> Job,
{
    let (reply, answer) = oneshot::channel();
    jobs.try_send(job(reply)).map_err(|e| {
        ErrorObjectOwned::from(match e {
            mpsc::error::TrySendError::Full(_) => {
                Failure::new(error::Kind::Overloaded, "too many calls are waiting")
            }
            mpsc::error::TrySendError::Closed(_) => {
                Failure::new(error::Kind::NoLeader, "this replica stops")
            }
        })
    })?;
    Ok(answer.await.unwrap_or_else(|_| Err(stopping()))?)
}

/// A call that was dropped may have been proposed before.
fn stopping() -> Failure {
    Failure::new(error::Kind::CommandUnknown, "this replica stops")
}

fn parse<P>(params: &Params<'_>) -> Result<P, ErrorObjectOwned>
where
    P: DeserializeOwned,
{
    params.parse().map_err(|e| {
        Failure::new(
            error::Kind::BadRequest,
            e.data()
                .map_or_else(|| e.message().to_owned(), |d| d.get().to_owned()),
        )
        .into()
    })
}

/// Registers a method with parameters.
fn with<P, T, F>(
    module: &mut RpcModule<Jobs>,
    name: &'static str,
    job: F,
) -> Result<(), RegisterMethodError>
where
    P: DeserializeOwned + Send,
    T: serde::Serialize + Clone + Send + 'static,
    F: Fn(P, Reply<T>) -> Job + Clone + Send + Sync + 'static,
{
    module.register_async_method(name, move |params, jobs, _| {
        let job = job.clone();
        async move {
            let params: P = parse(&params)?;
            ask(&jobs, |reply| job(params, reply)).await
        }
    })?;
    Ok(())
}

/// Registers a method without parameters.
fn without<T, F>(
    module: &mut RpcModule<Jobs>,
    name: &'static str,
    job: F,
) -> Result<(), RegisterMethodError>
where
    T: serde::Serialize + Clone + Send + 'static,
    F: Fn(Reply<T>) -> Job + Clone + Send + Sync + 'static,
{
    module.register_async_method(name, move |_, jobs, _| {
        let job = job.clone();
        async move { ask(&jobs, job).await }
    })?;
    Ok(())
}

/// Returns the methods of a control replica.
///
/// # Errors
///
/// Returns an error if two methods have one name.
pub fn methods(jobs: Jobs) -> Result<RpcModule<Jobs>, RegisterMethodError> {
    let mut module = RpcModule::new(jobs);
    let m = &mut module;
    with(m, rpc::REPLICA_MESSAGE, Job::Messages)?;
    with(m, rpc::REPLICA_JOIN, Job::Join)?;
    without(m, rpc::REPLICA_STATUS, Job::Replica)?;
    with(m, rpc::OPERATOR_SUBMIT, Job::Submit)?;
    with(m, rpc::OPERATOR_OUTCOME, Job::Lookup)?;
    without(m, rpc::OPERATOR_STATUS, Job::Status)?;
    without(m, rpc::OPERATOR_CONFIG, Job::Config)?;
    with(m, rpc::EVIDENCE_SHARE, Job::Share)?;
    with(m, rpc::TIMELINE_READ, Job::Timeline)?;
    with(m, rpc::FEED_POLL, Job::Poll)?;
    with(m, rpc::CLAIM_BEGIN, Job::Begin)?;
    with(m, rpc::CLAIM_FINISH, Job::Finish)?;
    with(m, rpc::CLAIM_LOOKUP, Job::Claim)?;
    with(m, rpc::PERMIT_ACQUIRE, Job::Acquire)?;
    with(m, rpc::PERMIT_RELEASE, Job::Release)?;
    with(m, rpc::BILL_PUT, Job::Put)?;
    with(m, rpc::BILL_LIST, Job::List)?;
    Ok(module)
}
