//! Implementations of the ports for a single instance without other processes.
//!
//! The quickstart, benches and tests use them. They keep their state in
//! memory, so nothing here survives the end of the process.

mod fleet;
mod ledger;
mod register;
mod shelf;
mod site;

pub use fleet::Fleet;
pub use ledger::Ledger;
pub use register::Register;
pub use shelf::Shelf;
pub use site::Site;
