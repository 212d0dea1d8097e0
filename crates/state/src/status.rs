//! Resources together with what the entries say of them.

use crate::history::Change;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use types::{EntryName, Progress, Resource};

/// How far a resource has come.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ResourceState {
    /// Every declared entry runs it or is fenced.
    #[default]
    InForce,
    /// An entry has yet to confirm it.
    Waiting,
    /// An entry can't run it.
    Rejected,
}

/// An entry that has not confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WaitingEntry {
    /// The entry.
    pub entry: EntryName,
    /// For how long it has been waited for.
    pub since_ms: u64,
}

/// An entry that can't run a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RejectedBy {
    /// The entry.
    pub entry: EntryName,
    /// Why.
    pub reason: String,
}

/// What the entries say of a resource's revision.
///
/// A list of resources names only some of the entries of each sort; the counts count all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceStatus {
    /// How far it has come.
    pub state: ResourceState,
    /// Entries that run the revision.
    pub confirmed: Vec<EntryName>,
    /// How many do.
    pub confirmed_count: u32,
    /// Entries that don't yet.
    pub waiting: Vec<WaitingEntry>,
    /// How many don't yet.
    pub waiting_count: u32,
    /// Entries whose configuration lease ran out; they take no work.
    pub fenced: Vec<EntryName>,
    /// How many are fenced.
    pub fenced_count: u32,
    /// Entries that can't run it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejected: Vec<RejectedBy>,
    /// How far entries have come with a drain or a shift; for a drain those that still have
    /// requests in flight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<EntryProgress>,
}

/// How far one entry has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryProgress {
    /// The entry.
    pub entry: EntryName,
    /// How far it has come.
    pub progress: Progress,
}

/// A resource with its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Item {
    /// The resource.
    #[serde(flatten)]
    pub resource: Resource,
    /// Its status.
    pub status: ResourceStatus,
}

/// Resources as of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct List {
    /// The revision of the latest change; a watch goes on from here.
    pub revision: u64,
    /// The resources, by kind and name.
    pub items: Vec<Item>,
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Watched {
    /// The watch goes on from here.
    pub revision: u64,
    /// The changes, in their order.
    pub events: Vec<Change>,
}
