//! The control replica: log, state machine, feed and bills behind JSON-RPC.

mod bills;
pub(crate) mod disk;
mod http;
mod job;
mod lead;
mod metrics;
mod peer;
mod recover;
mod replicas;
mod rollouts;
mod run;
mod settings;
mod state;

pub use self::{
    bills::Bills,
    http::serve,
    recover::{Recovered, recover},
    run::{Begin, Error, Handle, start, start_on},
    settings::{Error as SettingsError, Raw, Replica, Settings},
};
