//! Starts the process.

fn main() {}
