//! Entry point of the command line.

fn main() {}
