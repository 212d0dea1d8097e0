//! Generates the committed messages of the wire crate; for development only.

use std::{
    io,
    path::{Path, PathBuf},
};

/// The file that the generator writes.
pub const GENERATED_FILE: &str = "oleanderwell.peer.rs";

/// The folder of the wire crate.
#[must_use]
pub fn wire_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Compiles `proto/` of the wire crate into `out_dir`.
///
/// # Errors
///
/// When a `.proto` file is invalid or the folder can't be written.
pub fn generate(out_dir: &Path) -> io::Result<()> {
    let proto = wire_crate().join("proto");
    let files = protox::compile(["peer.proto"], [proto]).map_err(io::Error::other)?;
    prost_build::Config::new()
        .out_dir(out_dir)
        .compile_fds(files)
}
