//! Runs the action that the command line asks for. For a normal run: starts the roles that the
//! settings declare, restarts a replica after a storage failure, watches the settings file for
//! changes, and stops the roles on SIGTERM or SIGINT.

use crate::{
    control::{self, ControlReplica, ReplicaFailure},
    entry, gateway, log, options,
    replicas::seed_names,
};
use lexopt::Parser;
use link::Identity;
use options::{Action, SettingsSource};
use settings::Settings;
use slog::{Logger, info, warn};
use std::{
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep},
};

/// The exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Delay before a replica whose data folder failed is started again.
const REPLICA_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Period at which the settings file is read again without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(3);

/// How long the end of the process waits for the last lines of the log to be written.
const LOG_TIMEOUT: Duration = Duration::from_millis(500);

/// Parses the command line, runs the action, and returns the process's exit code.
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
        Action::Found { settings } => return with_settings(&settings, create_data_folder),
        Action::Run { settings: source } => {
            return with_settings(&source, |settings| run(settings, &source));
        }
    }
    ExitCode::SUCCESS
}

fn with_settings(
    source: &SettingsSource,
    run_action: impl Fn(&Settings) -> anyhow::Result<()>,
) -> ExitCode {
    let settings = match source.read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("oleanderwelld: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_action(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oleanderwelld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn create_data_folder(settings: &Settings) -> anyhow::Result<()> {
    let (log, writer) = log::logger(&settings.log, &settings.node.name);
    let created = control::create_data_folder(settings, &log);
    writer.finish(LOG_TIMEOUT);
    created
}

fn run(settings: &Settings, source: &SettingsSource) -> anyhow::Result<()> {
    let mut builder = match settings.node.single_threaded {
        true => Builder::new_current_thread(),
        false => Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build()?;
    let (log, writer) = log::logger(&settings.log, &settings.node.name);
    let served = runtime.block_on(serve(settings, source, &log));
    drop(runtime);
    writer.finish(LOG_TIMEOUT);
    served
}

async fn serve(settings: &Settings, source: &SettingsSource, log: &Logger) -> anyhow::Result<()> {
    // Before the roles start, which may take long: a signal then waits until they have.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let entry = match &settings.entry {
        Some(role_settings) => {
            Some(entry::start(settings, role_settings, identity(settings)?, log).await?)
        }
        None => None,
    };
    let mut replica = match &settings.control {
        Some(role_settings) => {
            Some(control::start(settings, role_settings, identity(settings)?, log).await?)
        }
        None => None,
    };
    let gateway = match &settings.gateway {
        Some(role_settings) => {
            Some(gateway::start(settings, role_settings, identity(settings)?, log).await?)
        }
        None => None,
    };
    let replica_stopped = supervise_replica(settings, &mut replica, log);
    let stopped_by_request = tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        () = watch_settings(&mut hangup, source, settings, gateway.as_ref(), log) => true,
        () = replica_stopped => false,
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
    anyhow::ensure!(stopped_by_request, ReplicaStopped);
    Ok(())
}

/// Restarts the control replica after its data folder failed, since a full disk may have room
/// again. Does so only with discovery, where replicas join by themselves. Returns when the replica
/// can't read its log or a snapshot, which a restart can't repair.
async fn supervise_replica(
    settings: &Settings,
    replica: &mut Option<ControlReplica>,
    log: &Logger,
) {
    let Some(role_settings) = &settings.control else {
        return std::future::pending().await;
    };
    loop {
        if let Some(running) = replica {
            match (running.failed().await, &settings.discovery) {
                (ReplicaFailure::Unreadable, _) => return,
                (ReplicaFailure::Storage, None) => return std::future::pending().await,
                (ReplicaFailure::Storage, Some(_)) => {}
            }
        }
        if let Some(failed) = replica.take() {
            failed.stop().await;
        }
        sleep(REPLICA_RESTART_DELAY).await;
        let started = match identity(settings) {
            Ok(identity) => control::start(settings, role_settings, identity, log).await,
            Err(error) => Err(error),
        };
        match started {
            Ok(started) => *replica = Some(started),
            Err(error) => warn!(log, "the control replica can't start yet"; "error" => %error),
        }
    }
}

/// Reads the settings again on SIGHUP and once per [`SETTINGS_POLL_PERIOD`], since the file may
/// change without a signal. Only the section `[discovery]` takes effect without a restart: a
/// changed list of seeds goes to the gateway. Never returns.
async fn watch_settings(
    hangup: &mut Signal,
    source: &SettingsSource,
    started_with: &Settings,
    gateway: Option<&gateway::Gateway>,
    log: &Logger,
) {
    let mut polls = interval(SETTINGS_POLL_PERIOD);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut discovery = started_with.discovery.clone();
    loop {
        let by_signal = tokio::select! {
            _ = hangup.recv() => true,
            _ = polls.tick() => false,
        };
        match source.read() {
            Ok(settings) if settings.discovery != discovery => {
                info!(log, "settings read again"; "told" => by_signal);
                discovery = settings.discovery;
                if let (Some(gateway), Some(discovery)) = (gateway, &discovery) {
                    gateway.set_seeds(seed_names(discovery)).await;
                }
            }
            Ok(_) if by_signal => info!(log, "settings read again, nothing to apply"),
            Ok(_) => {}
            Err(error) => warn!(log, "the settings can't be read again"; "error" => %error),
        }
    }
}

/// The identity of a role on its links. The incarnation is the current time in microseconds since
/// the Unix epoch, so that it differs between starts; a control replica uses its stored one
/// instead.
fn identity(settings: &Settings) -> anyhow::Result<Identity> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(Identity {
        deployment: settings.deployment.name.clone(),
        node: settings.node.name.clone(),
        incarnation: u64::try_from(started.as_micros())?,
        keys: settings.deployment.keys.clone(),
    })
}

/// The control replica can't read its log or a snapshot; the log line before gives the cause.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the control replica stopped: it can't read its log or a snapshot")]
struct ReplicaStopped;
