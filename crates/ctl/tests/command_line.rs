//! Parsing of the command line and of files of declarations.

use ctl::{
    ArgsError, Command, DeclarationsError, DrainKind, HELP, Parsed, parse, parse_declarations,
};
use std::{ffi::OsString, path::Path};

fn parse_line(text: &str) -> Result<Parsed, ArgsError> {
    parse(text.split_whitespace().map(OsString::from))
}

/// The command in a valid line; `text` follows `--servers`.
fn command(text: &str) -> Command {
    match parse_line(&format!("--servers a:1,b:2 {text}")) {
        Ok(Parsed::Run(args)) => args.command,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn options_are_accepted_before_and_after_the_command() {
    let files = vec!["x.toml".into(), "y".into()];
    let apply = Command::Apply {
        files,
        prune: true,
        dry_run: false,
    };
    assert_eq!(command("apply --prune -f x.toml y"), apply);
    assert_eq!(command("apply -f x.toml --file=y --prune"), apply);
    let drain = Command::Drain {
        kind: DrainKind::FailureDomain,
        name: "gauteng-a".to_owned(),
    };
    assert_eq!(command("drain failure-domain gauteng-a"), drain);
    assert_eq!(command("drain failure_domain gauteng-a"), drain);
    let Ok(Parsed::Run(args)) = parse_line("--servers a:1,,b:2 --timeout 3 --json get region")
    else {
        panic!("no command");
    };
    assert_eq!(args.servers, ["a:1", "b:2"]);
    assert_eq!((args.timeout.as_secs(), args.json), (3, true));
}

#[test]
fn invalid_lines_have_typed_errors_and_help_lists_the_commands() {
    assert!(matches!(
        parse_line("get"),
        Err(ArgsError::Missing {
            argument: "--servers",
            ..
        })
    ));
    assert!(matches!(
        parse_line("--servers a"),
        Err(ArgsError::NoCommand)
    ));
    assert!(matches!(
        parse_line("--servers a fly"),
        Err(ArgsError::UnknownCommand { .. })
    ));
    assert!(matches!(
        parse_line("--servers a get x y z"),
        Err(ArgsError::TooMany { .. })
    ));
    assert!(matches!(
        parse_line("--servers a drain link x"),
        Err(ArgsError::DrainKind { .. })
    ));
    assert!(matches!(
        parse_line("--servers a apply"),
        Err(ArgsError::Missing { .. })
    ));
    assert!(matches!(
        parse_line("--servers a --loud get"),
        Err(ArgsError::Option(_))
    ));
    assert!(matches!(parse_line("--help"), Ok(Parsed::Help)));
    assert!(matches!(parse_line("-V"), Ok(Parsed::Version)));
    let commands = [
        "apply", "diff", "get", "watch", "drain", "undrain", "replicas", "admit", "dump",
    ];
    for name in commands {
        assert!(HELP.contains(&format!("\n  {name} ")), "{name}");
    }
}

#[test]
fn errors_in_files_name_the_file_and_the_table() {
    let read = |text: &str| parse_declarations(Path::new("x.toml"), text);
    let good = "[drain.a]\ntarget = { type = \"upstream\", name = \"w1\" }\n";
    assert_eq!(read(good).expect("valid")[0].name, "a");
    for (text, part) in [
        ("[regio.a]\n", "[regio] is not a kind"),
        ("region = 5\n", "[region] is not a table"),
        ("[region]\na = 5\n", "[region.a] is not a table"),
        (
            "[region.A]\ncapacity_slots = 1\n",
            "[region.A] has an invalid name",
        ),
        (
            "[region.a]\ncapacity_slots = 1\n",
            "[region.a] is invalid: missing field",
        ),
        (
            "[region.a]\nspeed = 1\n",
            "[region.a] is invalid: unknown field",
        ),
    ] {
        let error = read(text).expect_err("invalid").to_string();
        assert!(
            error.starts_with("x.toml: ") && error.contains(part),
            "{error}"
        );
    }
    assert!(matches!(
        read("region ="),
        Err(DeclarationsError::Toml { .. })
    ));
}
