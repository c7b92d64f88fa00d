//! Entry and control processes for platforms where upstreams announce themselves to control
//! instances and requests are routed by host and path.
//!
//! An entry process has two threads. The control thread polls a control instance and publishes a
//! [`view::View`]; the traffic thread routes requests by that view. A control process keeps the
//! replicated log, the directory of upstreams and the reports of the entry instances on one thread
//! and does its disk I/O on another. [`adapter::Adapter`] translates a platform's headers and
//! configurations.

pub mod adapter;
pub mod buffer;
mod client_stream;
mod connection_pool;
pub mod control;
pub mod control_client;
pub mod deadline_stream;
pub mod entry;
mod fetch;
mod forward;
pub mod frame;
mod handler;
pub mod http;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod parcel;
mod peers;
pub mod socket;
pub mod sse;
mod sync;
pub mod view;
