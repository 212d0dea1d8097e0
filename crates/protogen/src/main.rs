//! Regenerates the wire crate's messages; run it after a change of a `.proto` file there.

use std::io;

fn main() -> io::Result<()> {
    protogen::generate(&protogen::wire_crate().join("src/generated"))
}
