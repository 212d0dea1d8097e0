//! Parses texts of settings; each error is one line that names the file, section and key.

use settings::{LogFormat, LogLevel, Role, Settings};

const VALID: &str = "\
[node]
name = vm-1
role = both
region = gauteng
failure_domain = gauteng-a

[deployment]
name = wirecraft
failure_domains = gauteng-a, gauteng-b
key_file = link.key

[entry]
listen = 127.0.1.1:8080
peer_listen = 127.0.1.1:7000

[control]
listen = 127.0.1.1:9090
peer_listen = 127.0.1.1:7001
data = data/vm-1

[replicas]
vm-1 = 127.0.1.1:7001 127.0.1.1:9090
vm-2 = 127.0.1.2:7001 127.0.1.2:9090

[log]
level = warning
format = json
";

/// A part of `VALID`, what replaces it, and the resulting error after the file's name.
const ERRORS: [(&str, &str, &str); 19] = [
    (
        "role = both",
        "role = boss",
        "[node] role: \"boss\" is not a role (entry, control, both or gateway)",
    ),
    (
        "name = vm-1",
        "name = VM_1",
        "[node] name: \"VM_1\" is not a name (1 to 63 of a-z, 0-9, '-' and '.')",
    ),
    ("role = both", "rolle = both", "[node] rolle: unknown key"),
    (
        "role = both",
        "role = both\nrole = entry",
        "[node] role: key appears more than once",
    ),
    ("region = gauteng\n", "", "[node] region: missing key"),
    (
        "failure_domain = gauteng-a",
        "failure_domain = gauteng-c",
        "[node] failure_domain: \"gauteng-c\" is not one of [deployment] failure_domains",
    ),
    (
        "gauteng-a, gauteng-b",
        "gauteng-a, gauteng-a",
        "[deployment] failure_domains: \"gauteng-a, gauteng-a\" is not a list of different names \
         separated by commas",
    ),
    (
        "key_file = link.key",
        "key_file =",
        "[deployment] key_file: \"\" is not a path",
    ),
    (
        "listen = 127.0.1.1:8080",
        "listen = localhost",
        "[entry] listen: \"localhost\" is not an address IP:PORT",
    ),
    (
        "listen = 127.0.1.1:8080",
        "listen = 127.0.1.1:8080\nlookup_lifetime_ms = 0",
        "[entry] lookup_lifetime_ms: \"0\" is not a number of milliseconds from 1 to 3600000",
    ),
    (
        "peer_listen = 127.0.1.1:7000",
        "peer_listen = 127.0.1.1:8080",
        "[entry] peer_listen: 127.0.1.1:8080 is used more than once",
    ),
    ("data = data/vm-1\n", "", "[control] data: missing key"),
    (
        "vm-1 = 127.0.1.1:7001 127.0.1.1:9090\n",
        "",
        "[replicas] vm-1: \"vm-1\" runs a control replica and is not named in [replicas]",
    ),
    (
        "127.0.1.2:7001 127.0.1.2:9090",
        "127.0.1.2:7001",
        "[replicas] vm-2: \"127.0.1.2:7001\" is not PEER_ADDRESS HTTP_ADDRESS",
    ),
    (
        "127.0.1.2:7001 ",
        "127.0.1.1:7001 ",
        "[replicas] vm-2: 127.0.1.1:7001 is used more than once",
    ),
    (
        "level = warning",
        "level = loud",
        "[log] level: \"loud\" is not a level (critical, error, warning, info, debug or trace)",
    ),
    ("[log]", "[logs]", "[logs]: unknown section"),
    ("[entry]", "[log]", "[log]: section appears more than once"),
    (
        "[node]",
        "top = 1\n[node]",
        "key top: appears before the first section",
    ),
];

#[test]
fn parses_valid_settings() {
    let settings = Settings::parse(VALID, "vm.ini").expect("valid settings");
    assert_eq!(settings.node.role, Role::Both);
    assert_eq!(settings.deployment.failure_domains.len(), 2);
    let entry = settings.entry.expect("an entry");
    assert_eq!(entry.lookup_lifetime_ms, 5_000);
    assert_eq!(entry.listen.to_string(), "127.0.1.1:8080");
    let control = settings.control.expect("a control replica");
    assert_eq!(control.data.to_str(), Some("data/vm-1"));
    assert_eq!(settings.replicas[1].name.as_str(), "vm-2");
    assert_eq!(settings.log.level, LogLevel::Warning);
    assert_eq!(settings.log.format, LogFormat::Json);
}

#[test]
fn an_entry_needs_no_control_section() {
    let start = VALID.find("[control]").expect("section");
    let end = VALID.find("[replicas]").expect("section");
    let text = [&VALID[..start], &VALID[end..]].concat();
    let text = text.replacen("role = both", "role = entry", 1);
    let settings = Settings::parse(&text, "vm.ini").expect("valid settings");
    assert!(settings.control.is_none());
    assert!(settings.entry.is_some());
}

#[test]
fn every_error_names_file_section_and_key() {
    for (from, to, expected) in ERRORS {
        assert!(VALID.contains(from), "{from:?} is in the text");
        let text = VALID.replacen(from, to, 1);
        let error = Settings::parse(&text, "vm.ini").expect_err(expected);
        assert_eq!(error.to_string(), format!("vm.ini: {expected}"));
    }
}

#[test]
fn an_error_names_the_missing_section() {
    for section in ["node", "deployment", "replicas"] {
        let mut kept: Vec<&str> = VALID.split_inclusive("\n\n").collect();
        let header = format!("[{section}]");
        kept.retain(|part| !part.starts_with(&header));
        let error = Settings::parse(&kept.concat(), "vm.ini").expect_err("a missing section");
        let expected = format!("vm.ini: [{section}]: missing section");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn an_error_names_the_line_that_is_not_ini() {
    let error = Settings::parse("[node\nname = x", "vm.ini").expect_err("invalid INI");
    let line = error.to_string();
    assert!(line.starts_with("vm.ini: line "), "{line}");
    assert!(!line.contains('\n'), "{line}");
}
