//! The thread that owns the data folder.

use crate::{
    control::actor::{ControlActor, Persisted, StorageFailed},
    replicas::seed_names,
};
use kameo::actor::ActorRef;
use raft::Persist;
use settings::Settings;
use slog::{Logger, crit, info};
use std::{io, sync::mpsc, thread};
use store::{Store, StoreError};

/// Queues what must reach the disk.
#[derive(Clone, Debug)]
pub struct Storage {
    queue: mpsc::Sender<Persist>,
}

impl Storage {
    /// The queue and its receiving end, which [`run`] takes.
    pub fn new() -> (Self, mpsc::Receiver<Persist>) {
        let (queue, receiver) = mpsc::channel();
        (Self { queue }, receiver)
    }

    /// Queues a write; its ticket is answered once it is synced.
    pub fn persist(&self, persist: Persist) {
        let _ = self.queue.send(persist);
    }
}

/// Starts the thread that writes and syncs in order and answers each ticket.
///
/// # Errors
///
/// When the thread can't be started.
pub fn run(
    mut store: Store,
    receiver: mpsc::Receiver<Persist>,
    actor: ActorRef<ControlActor>,
    log: Logger,
) -> io::Result<()> {
    let write = move || {
        let mut queued = None;
        while let Some(mut persist) = queued.take().or_else(|| receiver.recv().ok()) {
            queued = merge_waiting(&mut persist, &receiver);
            if let Err(error) = store.write(&persist) {
                crit!(log, "the data folder failed; this replica takes no further part";
                    "error" => %error);
                let _ = actor.tell(StorageFailed).blocking_send();
                return;
            }
            let persisted = Persisted {
                ticket: persist.ticket,
            };
            if actor.tell(persisted).blocking_send().is_err() {
                return;
            }
        }
    };
    thread::Builder::new()
        .name("storage".to_owned())
        .spawn(write)
        .map(drop)
}

/// Takes the writes that wait into one sync; returns the first that can't join.
fn merge_waiting(persist: &mut Persist, receiver: &mpsc::Receiver<Persist>) -> Option<Persist> {
    while let Ok(next) = receiver.try_recv() {
        if let Err(next) = persist.merge(next) {
            return Some(*next);
        }
    }
    None
}

/// Founds the data folder of a new deployment's replica.
///
/// # Errors
///
/// When the folder is in use or can't be written, or this process is no control replica.
pub fn found(settings: &Settings, log: &Logger) -> anyhow::Result<()> {
    let own = settings.control.as_ref().ok_or(NoControlRole)?;
    let founders: Vec<String> = settings
        .replicas
        .iter()
        .map(|replica| replica.name.to_string())
        .collect();
    Store::found(&own.data, &settings.node.name, &founders)?;
    info!(log, "data folder founded"; "replicas" => founders.len());
    Ok(())
}

/// The process has no control role.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("only a control replica has a data folder to found")]
pub struct NoControlRole;

/// A line for the log that tells how the folder was found.
pub fn log_opened(opened: &store::Opened, log: &Logger) {
    info!(log, "data folder opened";
        "replica" => %opened.id,
        "entries" => opened.restored.entries.len(),
        "founding" => opened.restored.founders.is_some());
    if let Some(torn) = &opened.torn_tail {
        slog::warn!(log, "an unsynced tail of the log was cut";
            "offset_bytes" => torn.offset_bytes, "lost_bytes" => torn.lost_bytes);
    }
}

/// Opens the data folder; at the first start of a deployment that is found by its seeds, each seed
/// founds its own first.
///
/// # Errors
///
/// When it is in use, corrupt or can't be read.
pub fn open(
    settings: &Settings,
    own: &settings::ControlSettings,
) -> Result<(Store, store::Opened), StoreError> {
    if let Some(discovery) = settings.discovery.as_ref().filter(|it| it.founds) {
        let founders = seed_names(discovery);
        if founders.contains(&settings.node.name) {
            match Store::found(&own.data, &settings.node.name, &founders) {
                // A folder that holds a replica is opened as it is.
                Ok(()) | Err(StoreError::NotEmpty) => {}
                Err(error) => return Err(error),
            }
        }
    }
    Store::open(&own.data, &settings.node.name)
}
