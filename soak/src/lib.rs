//! A soak of masticlock's real programs.
//!
//! A run starts control and entry processes on loopback addresses of their own, callers, and
//! stand-ins for upstreams behind proxies. A seed decides which faults strike and when. The
//! promises are judged from what callers and upstreams have seen.

pub mod caller;
pub mod http;
pub mod judge;
pub mod layout;
pub mod ledger;
pub mod operator;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod upstream;
