//! Entry point of the stand-ins.

use anyhow::{Context, bail};
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
Usage: standin demo [--declarations FOLDER] [--hold] [--keep]

Runs the Wirecraft deployment on loopback addresses, with stand-ins for its callers and upstreams.

  --declarations FOLDER  what to apply [examples/wirecraft]
  --hold                 keep the deployment running after the requests, until interrupted
  --keep                 leave settings, logs and data in place
";

/// The exit code after an interruption.
const INTERRUPTED: u8 = 130;

enum Command {
    Help,
    Demo(Options),
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut options = Options {
        declarations: PathBuf::from("examples/wirecraft"),
        hold: false,
        keep: false,
    };
    let mut demo = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Value(name) if !demo && name == "demo" => demo = true,
            Long("declarations") => options.declarations = parser.value()?.parse()?,
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
        held = run(options) => {
            if !held.context("the demo could not be carried through")? {
                bail!("an invariant was violated, or nothing finished");
            }
            Ok(ExitCode::SUCCESS)
        }
        _ = interrupt.recv() => Ok(ExitCode::from(INTERRUPTED)),
        _ = terminate.recv() => Ok(ExitCode::from(INTERRUPTED)),
    }
}

fn main() -> anyhow::Result<ExitCode> {
    match parse()? {
        Command::Help => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo(options) => Runtime::new()?.block_on(run_until_interrupted(&options)),
    }
}
