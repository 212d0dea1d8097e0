//! The replicated state of the control replicas, without input or output.
//!
//! [`State`] is the state machine of the replicated log: every replica applies the same
//! [`Command`]s in the same order and holds the same contents. It checks and stores declared
//! resources with their versions, keeps recent changes for watches and entries, and keeps the first
//! answer to each request for resends. It also holds the claim layout, and the plan, evacuations
//! and instances that gateways poll for.

mod change_plan;
mod command;
mod digest;
mod history;
mod key_text;
mod layout;
mod machine;
mod rejection;
mod retained;
mod snapshot;
mod status;
mod validate;

pub use crate::{
    command::{Command, CommandError, Declaration, Operation, REQUEST_ID_MAX_BYTES},
    history::{Change, Changes, HISTORY_MAX_CHANGES},
    machine::{Applied, ChangeAnswer, State},
    rejection::{InvalidReason, Rejection},
    retained::{RETAIN_MIN_MS, RETAIN_MIN_REQUESTS, RETAINED_MAX_BYTES, RETAINED_MAX_REQUESTS},
    snapshot::SnapshotError,
    status::{
        EntryProgress, RejectingEntry, ResourceItem, ResourceList, ResourceState, ResourceStatus,
        WaitingEntry, WatchAnswer,
    },
    validate::RESOURCES_MAX_BYTES,
};
