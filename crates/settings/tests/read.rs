//! Reads settings with the files that they name; an error names the key and the line of the file.

use settings::Settings;
use std::{fs, path::Path};
use tempfile::TempDir;

const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Writes settings of a process with both roles, and the files that they name, to `dir`.
fn write_settings(dir: &Path) {
    let path = |name: &str| dir.join(name).display().to_string();
    let text = format!(
        "[node]\nname = vm-1\nrole = both\nregion = gauteng\nfailure_domain = gauteng-a\n\
         [deployment]\nname = wirecraft\nfailure_domains = gauteng-a\nkey_file = {}\n\
         [entry]\nlisten = 127.0.1.1:8080\npeer_listen = 127.0.1.1:7000\n\
         announce_tokens_file = {}\n\
         [control]\nlisten = 127.0.1.1:9090\npeer_listen = 127.0.1.1:7001\ndata = {}\n\
         operator_tokens_file = {}\n\
         [replicas]\nvm-1 = 127.0.1.1:7001 127.0.1.1:9090\n",
        path("link.key"),
        path("announce.tokens"),
        path("data"),
        path("operator.tokens"),
    );
    fs::write(dir.join("vm.ini"), text).expect("settings written");
    fs::write(dir.join("link.key"), format!("{KEY}\n\nsecond-{KEY}\n")).expect("key written");
    fs::write(dir.join("announce.tokens"), "t1 browse, stock\nt2 claims\n")
        .expect("tokens written");
    fs::write(dir.join("operator.tokens"), "op-1\nop-2\n").expect("tokens written");
    fs::create_dir(dir.join("data")).expect("folder made");
}

fn valid_settings() -> TempDir {
    let dir = tempfile::tempdir().expect("scratch folder");
    write_settings(dir.path());
    dir
}

fn error_of(dir: &TempDir) -> String {
    let error = Settings::read(&dir.path().join("vm.ini")).expect_err("invalid settings");
    let line = error.to_string();
    assert!(!line.contains('\n'), "{line}");
    line
}

#[test]
fn reads_keys_and_tokens() {
    let dir = valid_settings();
    let settings = Settings::read(&dir.path().join("vm.ini")).expect("valid settings");
    let second = format!("second-{KEY}");
    assert_eq!(
        settings.deployment.keys,
        [KEY.as_bytes(), second.as_bytes()]
    );
    let tokens = settings.entry.expect("an entry").announce_tokens;
    assert_eq!(tokens[0].token, "t1");
    assert_eq!(tokens[0].services[1].as_str(), "stock");
    let tokens = settings.control.expect("a replica").operator_tokens;
    assert_eq!(tokens, ["op-1", "op-2"]);
}

#[test]
fn names_a_missing_data_folder() {
    let dir = valid_settings();
    fs::remove_dir(dir.path().join("data")).expect("removed");
    let line = error_of(&dir);
    assert!(
        line.contains("vm.ini: [control] data: data folder "),
        "{line}"
    );
}

#[test]
fn names_a_missing_short_or_empty_key_file() {
    let dir = valid_settings();
    let key_file = dir.path().join("link.key");
    fs::write(&key_file, format!("{KEY}\nshort\n")).expect("written");
    let line = error_of(&dir);
    assert!(
        line.contains("[deployment] key_file: line 2 of file "),
        "{line}"
    );
    assert!(line.ends_with("has 5 bytes, fewer than 32"), "{line}");
    fs::write(&key_file, "\n").expect("written");
    assert!(error_of(&dir).ends_with("is empty or has only blank lines"));
    fs::remove_file(&key_file).expect("removed");
    let line = error_of(&dir);
    assert!(line.contains("[deployment] key_file: file "), "{line}");
}

#[test]
fn names_an_invalid_line_of_the_announcement_tokens() {
    let dir = valid_settings();
    fs::write(dir.path().join("announce.tokens"), "t1 browse\nt2\n").expect("written");
    let line = error_of(&dir);
    assert!(
        line.contains("[entry] announce_tokens_file: line 2 of file "),
        "{line}"
    );
}

/// Valid settings that name a file of client blocks with this text.
fn with_client_blocks(text: &str) -> TempDir {
    let dir = valid_settings();
    let path = dir.path().join("client.blocks");
    let settings = fs::read_to_string(dir.path().join("vm.ini")).expect("read");
    let line = format!("client_blocks_file = {}\n[control]", path.display());
    let settings = settings.replacen("[control]", &line, 1);
    fs::write(dir.path().join("vm.ini"), settings).expect("settings written");
    fs::write(path, text).expect("blocks written");
    dir
}

#[test]
fn reads_client_blocks() {
    let dir = with_client_blocks("# blocks\n10.0.0.0/8 gauteng\n\n2001:db8::/32 nairobi\n");
    let settings = Settings::read(&dir.path().join("vm.ini")).expect("valid settings");
    let blocks = settings.entry.and_then(|entry| entry.client_blocks);
    let blocks = blocks.expect("client blocks");
    let region = blocks.region("2001:db8::1".parse().expect("an address"));
    assert_eq!(region.map(|name| name.as_str()), Some("nairobi"));
}

#[test]
fn names_an_invalid_line_of_the_client_blocks() {
    for (text, problem) in [
        (
            "10.0.0.0/8 a\n10.0.0.0/33 a\n",
            "line 2: \"10.0.0.0/33\" is not an address prefix",
        ),
        ("10.0.0.0/8\n", "line 1 is not PREFIX REGION"),
    ] {
        let line = error_of(&with_client_blocks(text));
        let start = "[entry] client_blocks_file: file ";
        assert!(line.contains(start) && line.ends_with(problem), "{line}");
    }
}

#[test]
fn names_a_missing_settings_file() {
    let dir = valid_settings();
    fs::remove_file(dir.path().join("vm.ini")).expect("removed");
    let line = error_of(&dir);
    assert!(line.contains("vm.ini: can't be read: "), "{line}");
}
