//! The command line for callers and operators.

fn main() {}
