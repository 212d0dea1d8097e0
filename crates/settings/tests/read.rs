//! The files that settings name are checked.

use settings::Settings;
use std::{fs, path::Path};
use tempfile::TempDir;

const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Writes settings of a process with both roles whose files all stand in `dir`.
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

fn scratch() -> TempDir {
    let dir = tempfile::tempdir().expect("scratch folder");
    write_settings(dir.path());
    dir
}

fn error_of(dir: &TempDir) -> String {
    let error = Settings::read(&dir.path().join("vm.ini")).expect_err("a mistake");
    let line = error.to_string();
    assert!(!line.contains('\n'), "{line}");
    line
}

#[test]
fn reads_keys_and_tokens() {
    let dir = scratch();
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
    let dir = scratch();
    fs::remove_dir(dir.path().join("data")).expect("removed");
    let line = error_of(&dir);
    assert!(
        line.contains("vm.ini: [control] data: data folder "),
        "{line}"
    );
}

#[test]
fn names_a_missing_short_or_empty_key_file() {
    let dir = scratch();
    let key_file = dir.path().join("link.key");
    fs::write(&key_file, format!("{KEY}\nshort\n")).expect("written");
    let line = error_of(&dir);
    assert!(
        line.contains("[deployment] key_file: line 2 of file "),
        "{line}"
    );
    assert!(line.ends_with("has 5 bytes, fewer than 32"), "{line}");
    fs::write(&key_file, "\n").expect("written");
    assert!(error_of(&dir).ends_with("holds no line"));
    fs::remove_file(&key_file).expect("removed");
    let line = error_of(&dir);
    assert!(line.contains("[deployment] key_file: file "), "{line}");
}

#[test]
fn names_a_wrong_line_of_the_announcement_tokens() {
    let dir = scratch();
    fs::write(dir.path().join("announce.tokens"), "t1 browse\nt2\n").expect("written");
    let line = error_of(&dir);
    assert!(
        line.contains("[entry] announce_tokens_file: line 2 of file "),
        "{line}"
    );
}

#[test]
fn names_missing_settings() {
    let dir = scratch();
    fs::remove_file(dir.path().join("vm.ini")).expect("removed");
    let line = error_of(&dir);
    assert!(line.contains("vm.ini: can't be read: "), "{line}");
}
