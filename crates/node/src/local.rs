//! Implementations of the ports for a single instance without other processes.
//!
//! The quickstart, benches and tests use them. They keep their state in
//! memory, so nothing here survives the end of the process.

mod answers;
mod fleet;
mod ledger;
mod register;
mod site;

pub use answers::Answers;
pub use fleet::Fleet;
pub use ledger::Ledger;
pub use register::Register;
pub use site::Site;
