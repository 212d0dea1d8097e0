//! The command line and the reading of the settings: the daemon rejects invalid ones with one line
//! on standard error and exit code 2, before it opens a socket. The checked examples are in
//! `examples/`.

use std::{
    fs, io,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Output},
};
use tempfile::TempDir;

const EXIT_USAGE: i32 = 2;
const KEY: &str = "0123456789abcdef0123456789abcdef";
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oleanderwelld"))
        .args(arguments)
        .output()
        .expect("the daemon ran")
}

/// A scratch folder with valid settings of both roles. The entry's address is taken by `listener`,
/// so that a process that opens sockets ends with exit code 1.
struct Scratch {
    folder: TempDir,
    listener: TcpListener,
}

impl Scratch {
    fn new() -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        fs::write(folder.path().join("key"), KEY)?;
        fs::create_dir(folder.path().join("data"))?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        Ok(Self { folder, listener })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn text(&self) -> String {
        let taken = self.listener.local_addr().expect("an address");
        let (key, data) = (self.path("key"), self.path("data"));
        format!(
            "[node]\nname = vm-1\nrole = both\nregion = gauteng\nfailure_domain = gauteng-a\n\
             [deployment]\nname = wirecraft\nfailure_domains = gauteng-a\nkey_file = {}\n\
             [entry]\nlisten = {taken}\npeer_listen = 127.0.0.1:0\n\
             [control]\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\ndata = {}\n\
             [replicas]\nvm-1 = 127.0.0.1:1 127.0.0.1:2\n",
            key.display(),
            data.display(),
        )
    }

    fn write(&self, text: &str) -> String {
        let path = self.path("vm.ini");
        fs::write(&path, text).expect("settings written");
        path.display().to_string()
    }

    /// Runs the daemon with `from` replaced by `to` in the settings. Checks that it exits with code
    /// 2 and one line that names the file, and returns the rest of that line.
    fn rejection(&self, from: &str, to: &str) -> String {
        let text = self.text();
        assert!(text.contains(from), "{from:?} is not in the settings");
        let file = self.write(&text.replacen(from, to, 1));
        let output = daemon(&["--settings", &file]);
        let line = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(EXIT_USAGE), "{line}");
        assert!(output.stdout.is_empty());
        assert_eq!(line.lines().count(), 1, "{line}");
        line.trim_end()
            .strip_prefix(&format!("oleanderwelld: {file}: "))
            .unwrap_or_else(|| panic!("{line} names the file"))
            .to_owned()
    }
}

fn scratch() -> Scratch {
    Scratch::new().expect("a scratch folder")
}

#[test]
fn valid_settings_open_sockets() {
    let scratch = scratch();
    let file = scratch.write(&scratch.text());
    let output = daemon(&["--settings", &file]);
    let line = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{line}");
}

#[test]
fn an_unknown_key_is_named() {
    let line = scratch().rejection("[entry]\n", "[entry]\nlookup_life_ms = 5\n");
    assert_eq!(line, "[entry] lookup_life_ms: unknown key");
}

#[test]
fn an_unknown_section_is_named() {
    let line = scratch().rejection("[replicas]\n", "[replica]\nx = y\n[replicas]\n");
    assert_eq!(line, "[replica]: unknown section");
}

#[test]
fn an_invalid_address_is_named() {
    let line = scratch().rejection("peer_listen = 127.0.0.1:0", "peer_listen = localhost:7080");
    assert_eq!(
        line,
        "[entry] peer_listen: \"localhost:7080\" is not an address IP:PORT"
    );
}

#[test]
fn a_missing_data_folder_is_named() {
    let scratch = scratch();
    let data = scratch.path("data");
    fs::remove_dir(&data).expect("removed");
    let line = scratch.rejection("[node]\n", "[node]\n");
    let expected = format!(
        "[control] data: data folder {} does not exist",
        data.display()
    );
    assert_eq!(line, expected);
}

#[test]
fn an_undeclared_failure_domain_is_named() {
    let line = scratch().rejection("failure_domain = gauteng-a", "failure_domain = gauteng-c");
    assert_eq!(
        line,
        "[node] failure_domain: \"gauteng-c\" is not one of [deployment] failure_domains"
    );
}

#[test]
fn a_missing_settings_file_is_named() {
    let scratch = scratch();
    let file = scratch.path("none.ini").display().to_string();
    let output = daemon(&["--settings", &file]);
    let line = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(EXIT_USAGE), "{line}");
    let expected = format!("oleanderwelld: {file}: can't be read: ");
    assert!(line.starts_with(&expected), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

/// The settings of an example with the paths of its key and data folder moved to `folder`.
fn with_paths_in(example: &str, folder: &Path) -> String {
    let path_in_folder = |name: &str| folder.join(name).display().to_string();
    example
        .replace("/etc/oleanderwell/key", &path_in_folder("key"))
        .replace(
            "data = /var/lib/oleanderwell",
            &format!("data = {}", path_in_folder("data")),
        )
}

#[test]
fn every_example_passes_the_check() {
    let scratch = scratch();
    let mut checked = 0;
    for found in fs::read_dir(EXAMPLES).expect("the examples") {
        let path = found.expect("an example").path();
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        let example = fs::read_to_string(&path).expect("an example");
        let file = scratch.write(&with_paths_in(&example, scratch.folder.path()));
        let output = daemon(&["--settings", &file, "--check"]);
        let line = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{}: {line}", path.display());
        assert!(line.is_empty(), "{}: {line}", path.display());
        checked += 1;
    }
    assert!(checked >= 3, "only {checked} examples found");
}

#[test]
fn the_check_opens_no_socket() {
    let scratch = scratch();
    let file = scratch.write(&scratch.text());
    let output = daemon(&["--settings", &file, "--check"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn help_and_version_exit_with_0() {
    for (argument, expected) in [
        ("--help", "oleanderwelld: runs an entry"),
        ("-h", "oleanderwelld: runs an entry"),
        ("--version", "oleanderwelld 0."),
        ("-V", "oleanderwelld 0."),
    ] {
        let output = daemon(&[argument]);
        assert_eq!(output.status.code(), Some(0), "{argument}");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.starts_with(expected), "{argument}: {text}");
    }
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    for arguments in [
        &[][..],
        &["--settings"],
        &["--unknown"],
        &["--settings", "x.ini", "--check", "--found"],
    ] {
        let output = daemon(arguments);
        let line = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(EXIT_USAGE), "{line}");
        assert_eq!(line.lines().count(), 1, "{line}");
    }
}
