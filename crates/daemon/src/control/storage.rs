//! The thread that writes a control replica's data folder, and the creation and opening of that
//! folder.

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

/// The actor's queue of writes to the storage thread.
#[derive(Clone, Debug)]
pub struct Storage {
    queue: mpsc::Sender<Persist>,
}

impl Storage {
    /// A queue and its receiving end, which goes to [`run`].
    pub fn new() -> (Self, mpsc::Receiver<Persist>) {
        let (queue, receiver) = mpsc::channel();
        (Self { queue }, receiver)
    }

    /// Queues a write. After it is synced, the actor gets [`Persisted`] with its ticket.
    pub fn persist(&self, persist: Persist) {
        let _ = self.queue.send(persist);
    }
}

/// Starts the thread that writes and syncs in order and tells the actor of each synced write. It
/// ends at the first failed write, after telling the actor, or when the actor has ended.
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
            queued = merge_queued(&mut persist, &receiver);
            if let Err(error) = store.write(&persist) {
                crit!(log, "writing to the data folder failed; this replica stops taking part";
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

/// Merges the queued writes into `persist`, so that they share one sync. Returns the first write
/// that can't be merged.
fn merge_queued(persist: &mut Persist, receiver: &mpsc::Receiver<Persist>) -> Option<Persist> {
    while let Ok(next) = receiver.try_recv() {
        if let Err(next) = persist.merge(next) {
            return Some(*next);
        }
    }
    None
}

/// Creates the data folder of an initial replica of a new deployment (`--found`). The replicas of
/// the settings become the initial membership.
///
/// # Errors
///
/// When the folder is not empty or can't be written, or the settings give no control role.
pub fn create_data_folder(settings: &Settings, log: &Logger) -> anyhow::Result<()> {
    let role_settings = settings.control.as_ref().ok_or(NoControlRole)?;
    let initial_members: Vec<String> = settings
        .replicas
        .iter()
        .map(|replica| replica.name.to_string())
        .collect();
    Store::create(&role_settings.data, &settings.node.name, &initial_members)?;
    info!(log, "data folder created"; "replicas" => initial_members.len());
    Ok(())
}

/// `--found` was used with settings that have no control role.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("--found needs settings with a control role: only a control replica has a data folder")]
pub struct NoControlRole;

/// Logs the state of the opened data folder, and the truncation of a torn log tail.
pub fn log_opened(opened: &store::Opened, log: &Logger) {
    info!(log, "data folder opened";
        "replica" => %opened.id,
        "entries" => opened.restored.entries.len(),
        "founding" => opened.restored.initial_membership.is_some());
    if let Some(torn) = &opened.torn_tail {
        slog::warn!(log, "an unsynced tail of the log was truncated";
            "offset_bytes" => torn.offset_bytes, "lost_bytes" => torn.lost_bytes);
    }
}

/// Opens the data folder. With discovery and `is_first_start` set, a replica that is one of the
/// seeds first creates its folder, with the seeds as the initial membership, unless the folder
/// already holds a replica.
///
/// # Errors
///
/// When the folder is in use, is corrupt or can't be read, or can't be created.
pub fn open(
    settings: &Settings,
    role_settings: &settings::ControlSettings,
) -> Result<(Store, store::Opened), StoreError> {
    if let Some(discovery) = settings.discovery.as_ref().filter(|it| it.is_first_start) {
        let initial_members = seed_names(discovery);
        if initial_members.contains(&settings.node.name) {
            match Store::create(&role_settings.data, &settings.node.name, &initial_members) {
                // A folder that already holds a replica is opened unchanged.
                Ok(()) | Err(StoreError::NotEmpty) => {}
                Err(error) => return Err(error),
            }
        }
    }
    Store::open(&role_settings.data, &settings.node.name)
}
