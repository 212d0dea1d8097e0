//! Generates the Rust types of the wire crate's protobuf messages, which are committed there; for
//! development only.

use std::{
    io,
    path::{Path, PathBuf},
};

/// Name of the file that [`generate`] writes.
pub const GENERATED_FILE: &str = "oleanderwell.peer.rs";

/// Path of the wire crate in this source tree.
#[must_use]
pub fn wire_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Compiles the `.proto` files of the wire crate and writes [`GENERATED_FILE`] into `out_dir`.
///
/// # Errors
///
/// When a `.proto` file is invalid or the file can't be written.
pub fn generate(out_dir: &Path) -> io::Result<()> {
    let proto = wire_crate().join("proto");
    let files = protox::compile(["peer.proto"], [proto]).map_err(io::Error::other)?;
    prost_build::Config::new()
        .out_dir(out_dir)
        .compile_fds(files)
}
