//! Tests that the committed messages were generated from the current `.proto` files.

use protogen::{GENERATED_FILE, generate, wire_crate};
use std::fs;

#[test]
fn committed_messages_match_their_proto_files() {
    let scratch = tempfile::tempdir().expect("scratch folder");
    generate(scratch.path()).expect("code generated");
    let fresh = fs::read_to_string(scratch.path().join(GENERATED_FILE)).expect("fresh code");
    let committed = fs::read_to_string(wire_crate().join("src/generated").join(GENERATED_FILE))
        .expect("committed code");
    assert_eq!(fresh, committed, "run `cargo run --package protogen`");
}
