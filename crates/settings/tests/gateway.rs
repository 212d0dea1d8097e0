//! Parses settings of gateways and of deployments that find their control replicas by seeds.

use settings::{Interface, Override, Settings};

const GATEWAY: &str = "
[node]
name = 10.1.0.15
role = gateway
region = east
failure_domain = east-a
single_threaded = true

[deployment]
name = test
failure_domains = east-a, west-a
key_file = link.key

[gateway]
listen = 10.1.0.15:8641
status_listen = 10.1.0.15:8640
descriptors_max = 4100

[discovery]
seeds = 10.1.0.17:8649,10.2.0.43:8649
peer_port = 7620
founds = true

[bounds]
grace_s = 2.5
retry_ratio =

[regions]
east-a = east
west-a = west
";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, "test.ini").map_err(|error| error.to_string())
}

#[test]
fn parses_a_gateway_with_seeds_bounds_and_regions() {
    let settings = parse(GATEWAY).expect("valid settings");
    let discovery = settings.discovery.expect("[discovery] is there");
    assert_eq!(discovery.seeds.len(), 2);
    assert!(discovery.is_first_start);
    assert_eq!(settings.regions.len(), 2);
    assert!(settings.replicas.is_empty() && settings.node.single_threaded);
    assert_eq!(settings.gateway.map(|it| it.descriptors_max), Some(4_100));
}

#[test]
fn missing_or_empty_bounds_have_their_defaults() {
    let bounds = parse(GATEWAY).expect("valid settings").bounds;
    let bounds = bounds.expect("[bounds] is there");
    assert_eq!(bounds.grace_ms, 2_500);
    assert_eq!(
        (bounds.retry_ratio_milli, bounds.heartbeat_ms),
        (200, 1_500)
    );
}

// The platform's template renders a field that it lacks as empty text.
#[test]
fn revocation_is_strict_only_where_the_settings_say_so() {
    for (lines, revoke_ms) in [
        ("", None),
        ("revoke_s =\nstrict_revoke =", None),
        ("revoke_s = 3\nstrict_revoke =", None),
        ("revoke_s = 3\nstrict_revoke = false", None),
        ("revoke_s = 3\nstrict_revoke = true", Some(3_000)),
        ("revoke_s =\nstrict_revoke = true", Some(5_000)),
        ("strict_revoke = true", Some(5_000)),
    ] {
        let text = GATEWAY.replace("grace_s = 2.5", lines);
        let bounds = parse(&text).map(|it| it.bounds.and_then(|it| it.revoke_ms));
        assert_eq!(bounds, Ok(revoke_ms), "{lines}");
    }
}

// The platform fills a missing field in as empty text, which must not keep a process from starting.
#[test]
fn bounds_of_quotas_are_optional_and_empty_text_counts_as_missing() {
    let with = |lines: &str| {
        let text = GATEWAY.replace("[bounds]\n", &format!("[bounds]\n{lines}"));
        let bounds = parse(&text).expect("valid settings").bounds;
        let bounds = bounds.expect("[bounds] is there");
        [
            bounds.quota_window_ms,
            bounds.quota_overage_milli,
            bounds.quota_slack_milli,
        ]
    };
    const DEFAULTS: [u64; 3] = [5_000, 0, 0];
    assert_eq!(with(""), DEFAULTS);
    assert_eq!(
        with("quota_window_s =\nquota_overage =\nquota_slack =\n"),
        DEFAULTS
    );
    assert_eq!(
        with("quota_window_s = 4\nquota_overage = 0.1\nquota_slack = 20\n"),
        [4_000, 100, 20_000]
    );
}

#[test]
fn the_command_line_overrides_a_key_and_is_checked_like_the_file() {
    let with = |text: &str| {
        let overrides = [text.parse().expect("SECTION.KEY=VALUE")];
        Settings::parse_with(GATEWAY, "test.ini", &overrides).map_err(|error| error.to_string())
    };
    let losses = |settings: Settings| settings.discovery.map(|it| it.replica_losses);
    assert_eq!(parse(GATEWAY).map(losses), Ok(Some(2)));
    assert_eq!(with("discovery.replica_losses=1").map(losses), Ok(Some(1)));
    let grace = with("bounds.grace_s=4").map(|it| it.bounds.map(|it| it.grace_ms));
    assert_eq!(grace, Ok(Some(4_000)));
    for (text, location) in [
        (
            "discovery.replica_losses=many",
            "[discovery] replica_losses",
        ),
        ("discovery.replica_gains=1", "[discovery] replica_gains"),
        ("discoveries.seeds=x", "[discoveries]"),
    ] {
        let error = with(text).expect_err(text);
        assert!(error.contains(location), "{error}");
    }
    for malformed in [
        "",
        "=",
        "seeds=x",
        ".seeds=x",
        "discovery.=x",
        "discovery.seeds",
    ] {
        assert!(malformed.parse::<Override>().is_err(), "{malformed}");
    }
}

#[test]
fn an_error_names_the_invalid_bound_seed_or_region() {
    for (valid, invalid, location) in [
        ("grace_s = 2.5", "grace_s = soon", "[bounds] grace_s"),
        ("grace_s = 2.5", "grace_s = -1", "[bounds] grace_s"),
        ("grace_s = 2.5", "grace_s = NaN", "[bounds] grace_s"),
        (
            "grace_s = 2.5",
            "revoke_s = 0\nstrict_revoke = true",
            "[bounds] revoke_s",
        ),
        (
            "grace_s = 2.5",
            "strict_revoke = perhaps",
            "[bounds] strict_revoke",
        ),
        ("10.2.0.43:8649", "10.2.0.43", "[discovery] seeds"),
        ("founds = true", "founds = perhaps", "[discovery] founds"),
        (
            "founds = true",
            "replica_losses = 0",
            "[discovery] replica_losses",
        ),
        ("west-a = west", "north-a = north", "[regions] north-a"),
        ("descriptors_max = 4100", "", "[gateway] descriptors_max"),
        (
            "descriptors_max = 4100",
            "descriptors_max = 4100\nmemory_mb = 1",
            "[gateway] memory_mb",
        ),
    ] {
        let text = GATEWAY.replace(valid, invalid);
        let error = parse(&text).expect_err(invalid);
        assert!(error.contains(location), "{error}");
    }
}

#[test]
fn a_gateway_needs_its_section_and_a_way_to_find_replicas() {
    let without_gateway = GATEWAY
        .replace("[gateway]", "[log]")
        .replace("listen = ", "level = ");
    assert!(parse(&without_gateway).is_err());
    let (before, _) = GATEWAY.split_once("[discovery]").expect("it is there");
    assert!(parse(before).is_err());
}

#[test]
fn a_control_replica_with_seeds_needs_no_list_of_replicas() {
    let control = "\n[control]\nlisten = 10.1.0.17:8649\nlookup_listen = 10.1.0.17:8644\n\
                   peer_listen = 10.1.0.17:7620\ninterface = platform\ndata = /data\n";
    let text = GATEWAY.replace("role = gateway", "role = control") + control;
    let settings = parse(&text).expect("valid settings");
    let control = settings.control.expect("[control] is there");
    assert_eq!(control.interface, Interface::Platform);
    assert!(control.lookup_listen.is_some() && settings.gateway.is_none());
}

#[test]
fn limits_have_defaults_by_the_memory_and_are_checked() {
    let limits = |text: &str| parse(text).map(|it| it.limits);
    let defaults = limits(GATEWAY).expect("valid settings");
    assert_eq!(defaults.connections_memory_bytes, 48 * 1_024 * 1_024);
    assert_eq!(defaults.head_buffer_bytes, 24_576);
    let small = GATEWAY.replace("[discovery]", "memory_mb = 112\n[discovery]");
    let small = limits(&small).expect("valid settings");
    assert_eq!(small.connections_memory_bytes, 21 * 1_024 * 1_024);
    let given = format!("{GATEWAY}\n[limits]\naddress_percent = 20\nconnections_memory_mb = 7\n");
    let given = limits(&given).expect("valid settings");
    assert_eq!(given.address_percent, 20);
    assert_eq!(given.connections_memory_bytes, 7 * 1_024 * 1_024);
    for invalid in [
        "head_buffer_bytes = 8191",
        "head_fields_max = 0",
        "head_timeout_ms = 0",
        "stall_timeout_ms = soon",
        "connections_memory_mb = 0",
        "address_percent = 101",
    ] {
        let (key, _) = invalid.split_once(' ').expect("a key and a value");
        let error = limits(&format!("{GATEWAY}\n[limits]\n{invalid}\n")).expect_err(invalid);
        assert!(error.contains(&format!("[limits] {key}")), "{error}");
    }
}
