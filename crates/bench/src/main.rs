//! Writes the page of figures from the output of `cargo bench`.
fn main() {}
