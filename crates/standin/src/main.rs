//! The command `standin`: parses the command line and runs the demo.

use anyhow::Context;
use lexopt::{
    Arg::{Long, Value},
    Parser, ValueExt,
};
use standin::demo::{Options, run};
use std::{path::PathBuf, process::ExitCode};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
};

const HELP: &str = "\
Usage: standin demo [--declarations FOLDER] [--network N] [--hold] [--keep]

Runs the Wirecraft deployment on loopback addresses, with stand-ins for its callers and upstreams.

  --declarations FOLDER  what to apply [examples/wirecraft]
  --network N            use 127.N.1.0 and 127.N.2.0 [0]
  --hold                 keep the deployment running after the requests, until interrupted
  --keep                 leave settings, logs and data in place
";

/// The exit code after SIGINT or SIGTERM.
const INTERRUPTED: u8 = 130;

enum Command {
    Help,
    Demo(Options),
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut options = Options {
        declarations: PathBuf::from("examples/wirecraft"),
        network: 0,
        hold: false,
        keep: false,
    };
    let mut demo = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Value(name) if !demo && name == "demo" => demo = true,
            Long("declarations") => options.declarations = parser.value()?.parse()?,
            Long("network") => options.network = parser.value()?.parse()?,
            Long("hold") => options.hold = true,
            Long("keep") => options.keep = true,
            Long("help") => return Ok(Command::Help),
            other => return Err(other.unexpected()),
        }
    }
    Ok(if demo {
        Command::Demo(options)
    } else {
        Command::Help
    })
}

async fn run_until_interrupted(options: &Options) -> anyhow::Result<ExitCode> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        passed = run(options) => {
            let passed = passed.context("the demo failed")?;
            Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        _ = interrupt.recv() => Ok(ExitCode::from(INTERRUPTED)),
        _ = terminate.recv() => Ok(ExitCode::from(INTERRUPTED)),
    }
}

fn main() -> ExitCode {
    match run_command_line() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_command_line() -> anyhow::Result<ExitCode> {
    match parse()? {
        Command::Help => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo(options) => Runtime::new()?.block_on(run_until_interrupted(&options)),
    }
}
