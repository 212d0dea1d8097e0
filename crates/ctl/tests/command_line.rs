//! The command line and the files of declarations.

use ctl::{
    ArgsError, Command, DeclarationsError, DrainKind, HELP, Parsed, parse, parse_declarations,
};
use std::{ffi::OsString, path::Path};

fn line(text: &str) -> Result<Parsed, ArgsError> {
    parse(text.split_whitespace().map(OsString::from))
}

fn command(text: &str) -> Command {
    match line(&format!("--servers a:1,b:2 {text}")) {
        Ok(Parsed::Run(args)) => args.command,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn commands_and_options_stand_in_any_order() {
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
    let Ok(Parsed::Run(args)) = line("--servers a:1,,b:2 --timeout 3 --json get region") else {
        panic!("no command");
    };
    assert_eq!(args.servers, ["a:1", "b:2"]);
    assert_eq!((args.timeout.as_secs(), args.json), (3, true));
}

#[test]
fn wrong_lines_are_typed_and_help_names_every_command() {
    assert!(matches!(
        line("get"),
        Err(ArgsError::Missing {
            argument: "--servers",
            ..
        })
    ));
    assert!(matches!(line("--servers a"), Err(ArgsError::NoCommand)));
    assert!(matches!(
        line("--servers a fly"),
        Err(ArgsError::UnknownCommand { .. })
    ));
    assert!(matches!(
        line("--servers a get x y z"),
        Err(ArgsError::TooMany { .. })
    ));
    assert!(matches!(
        line("--servers a drain link x"),
        Err(ArgsError::DrainKind { .. })
    ));
    assert!(matches!(
        line("--servers a apply"),
        Err(ArgsError::Missing { .. })
    ));
    assert!(matches!(
        line("--servers a --loud get"),
        Err(ArgsError::Option(_))
    ));
    assert!(matches!(line("--help"), Ok(Parsed::Help)));
    assert!(matches!(line("-V"), Ok(Parsed::Version)));
    let commands = [
        "apply", "diff", "get", "watch", "drain", "undrain", "replicas", "admit", "dump",
    ];
    for name in commands {
        assert!(HELP.contains(&format!("\n  {name} ")), "{name}");
    }
}

#[test]
fn wrong_files_name_the_table() {
    let read = |text: &str| parse_declarations(Path::new("x.toml"), text);
    let good = "[drain.a]\ntarget = { type = \"upstream\", name = \"w1\" }\n";
    assert_eq!(read(good).expect("valid")[0].name, "a");
    for (text, part) in [
        ("[regio.a]\n", "[regio] is no kind"),
        ("region = 5\n", "[region] is no table"),
        ("[region]\na = 5\n", "[region.a] is no table"),
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
