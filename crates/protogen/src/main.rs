//! Writes the generated messages again after a change of the wire crate's `proto/`.

use std::io;

fn main() -> io::Result<()> {
    protogen::generate(&protogen::wire_crate().join("src/generated"))
}
