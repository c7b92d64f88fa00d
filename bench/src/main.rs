//! Measurements of masticlock.

fn main() {}
