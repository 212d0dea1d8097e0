//! From the command line to a running process.

use crate::{
    control::{self, Broken, ControlReplica},
    entry, gateway, log, options,
    replicas::seed_names,
};
use lexopt::Parser;
use link::Identity;
use options::Action;
use settings::Settings;
use slog::{Logger, info, warn};
use std::{
    path::Path,
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep},
};

/// The exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// A replica whose data folder failed starts anew after this time.
const REPLICA_RESTART: Duration = Duration::from_secs(1);

/// How often the settings file is looked at without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(3);

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
        Action::Run { settings: path } => {
            return with_settings(&path, |settings| run(settings, &path));
        }
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

fn run(settings: &Settings, path: &Path) -> anyhow::Result<()> {
    let mut builder = match settings.node.single_threaded {
        true => Builder::new_current_thread(),
        false => Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build()?;
    runtime.block_on(serve(settings, path))
}

async fn serve(settings: &Settings, path: &Path) -> anyhow::Result<()> {
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
    let gateway = match &settings.gateway {
        Some(own) => Some(gateway::start(settings, own, identity(settings)?, &log).await?),
        None => None,
    };
    let broken = keep_replica(settings, &mut replica, &log);
    let stopped_as_asked = tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        () = follow_settings(path, settings, gateway.as_ref(), &log) => true,
        () = broken => false,
    };
    info!(log, "stopping");
    if let Some(entry) = entry {
        entry.stop().await;
    }
    if let Some(gateway) = gateway {
        gateway.stop().await;
    }
    if let Some(replica) = replica {
        replica.stop().await;
    }
    anyhow::ensure!(stopped_as_asked, ReplicaBroken);
    Ok(())
}

/// Starts the replica anew when its data folder failed, where replicas join by themselves: a full
/// disk may have room again. Returns once the replica can't go on at all.
async fn keep_replica(settings: &Settings, replica: &mut Option<ControlReplica>, log: &Logger) {
    let Some(own) = &settings.control else {
        return std::future::pending().await;
    };
    loop {
        if let Some(running) = replica {
            match (running.broken().await, &settings.discovery) {
                (Broken::Unreadable, _) => return,
                (Broken::Storage, None) => return std::future::pending().await,
                (Broken::Storage, Some(_)) => {}
            }
        }
        if let Some(failed) = replica.take() {
            failed.stop().await;
        }
        sleep(REPLICA_RESTART).await;
        let started = match identity(settings) {
            Ok(identity) => control::start(settings, own, identity, log).await,
            Err(error) => Err(error),
        };
        match started {
            Ok(started) => *replica = Some(started),
            Err(error) => warn!(log, "the control replica can't start yet"; "error" => %error),
        }
    }
}

/// Reads the settings again when the process is told to, and now and then, since they may change
/// without a signal. What can be taken over without a restart is; never returns.
async fn follow_settings(
    path: &Path,
    started_with: &Settings,
    gateway: Option<&gateway::Gateway>,
    log: &Logger,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(
            log,
            "the signal to read the settings again can't be received"
        );
        return std::future::pending().await;
    };
    let mut looks = interval(SETTINGS_LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut discovery = started_with.discovery.clone();
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            _ = looks.tick() => false,
        };
        match Settings::read(path) {
            Ok(settings) if settings.discovery != discovery => {
                info!(log, "settings read again"; "told" => told);
                discovery = settings.discovery;
                if let (Some(gateway), Some(discovery)) = (gateway, &discovery) {
                    gateway.reseed(seed_names(discovery)).await;
                }
            }
            Ok(_) if told => info!(log, "settings read again, unchanged"),
            Ok(_) => {}
            Err(error) => warn!(log, "the settings can't be read again"; "error" => %error),
        }
    }
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
