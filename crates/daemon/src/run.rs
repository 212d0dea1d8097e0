//! From the command line to a running process.

use crate::{control, entry, log, options};
use lexopt::Parser;
use link::Identity;
use options::Action;
use settings::Settings;
use std::{
    path::Path,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// The daemon's `main`.
#[must_use]
pub fn main() -> ExitCode {
    let action = match options::parse(Parser::from_env()) {
        Ok(action) => action,
        Err(error) => {
            eprintln!("oleanderwelld: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match action {
        Action::Help => print!("{}", options::HELP),
        Action::Version => println!("oleanderwelld {}", env!("CARGO_PKG_VERSION")),
        Action::Check { settings } => return with_settings(&settings, |_| Ok(())),
        Action::Found { settings } => return with_settings(&settings, found),
        Action::Run { settings } => return with_settings(&settings, run),
    }
    ExitCode::SUCCESS
}

fn with_settings(path: &Path, act: impl Fn(&Settings) -> anyhow::Result<()>) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("oleanderwelld: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match act(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oleanderwelld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn found(settings: &Settings) -> anyhow::Result<()> {
    control::found(settings, &log::logger(&settings.log, &settings.node.name))
}

fn run(settings: &Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> anyhow::Result<()> {
    let log = log::logger(&settings.log, &settings.node.name);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let entry = match &settings.entry {
        Some(own) => Some(entry::start(settings, own, identity(settings)?, &log).await?),
        None => None,
    };
    let mut replica = match &settings.control {
        Some(own) => Some(control::start(settings, own, identity(settings)?, &log).await?),
        None => None,
    };
    let broken = async {
        match &mut replica {
            Some(replica) => replica.broken().await,
            None => std::future::pending().await,
        }
    };
    let stopped_as_asked = tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        () = broken => false,
    };
    if let Some(entry) = entry {
        entry.stop().await;
    }
    if let Some(replica) = replica {
        replica.stop().await;
    }
    anyhow::ensure!(stopped_as_asked, ReplicaBroken);
    Ok(())
}

/// The identity of this run; the incarnation differs in each.
fn identity(settings: &Settings) -> anyhow::Result<Identity> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(Identity {
        deployment: settings.deployment.name.clone(),
        node: settings.node.name.clone(),
        incarnation: u64::try_from(started.as_micros())?,
        keys: settings.deployment.keys.clone(),
    })
}

/// The control replica can't go on; the log tells why.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the control replica can't go on")]
struct ReplicaBroken;
