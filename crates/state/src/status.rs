//! The status of resources: which entries run the current revision, and the answers that list it.

use crate::history::Change;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use types::{EntryName, Progress, Resource};

/// Whether the entries run a resource's revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ResourceState {
    /// Every declared entry runs the revision or is fenced.
    #[default]
    InForce,
    /// No entry has rejected the revision, but at least one has not confirmed it yet.
    Waiting,
    /// At least one entry can't run the revision.
    Rejected,
}

/// An entry that has not confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WaitingEntry {
    /// The entry's name.
    pub entry: EntryName,
    /// How long ago the replica that answers applied the revision, in milliseconds; a lower
    /// bound if the replica no longer knows.
    pub since_ms: u64,
}

/// An entry that can't run a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RejectingEntry {
    /// The entry's name.
    pub entry: EntryName,
    /// Why, as the entry reported it.
    pub reason: String,
}

/// Which entries run a resource's revision.
///
/// An answer with several resources names only some entries in each list; the counts cover all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceStatus {
    /// The state over all declared entries.
    pub state: ResourceState,
    /// Names of entries that run the revision.
    pub confirmed: Vec<EntryName>,
    /// The number of all entries that run it.
    pub confirmed_count: u32,
    /// Entries that have not confirmed the revision yet.
    pub waiting: Vec<WaitingEntry>,
    /// The number of all entries that have not confirmed it yet.
    pub waiting_count: u32,
    /// Names of entries whose configuration lease has run out, so that they accept no requests.
    pub fenced: Vec<EntryName>,
    /// The number of all such entries.
    pub fenced_count: u32,
    /// Entries that reported that they can't run the revision.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejected: Vec<RejectingEntry>,
    /// The progress of a drain or a shift at the entries that reported it; for a drain only those
    /// with requests still in flight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<EntryProgress>,
}

/// The progress of a drain or a shift at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryProgress {
    /// The entry's name.
    pub entry: EntryName,
    /// The progress that the entry reported last.
    pub progress: Progress,
}

/// A resource with its status, as one JSON object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceItem {
    /// The resource as declared.
    #[serde(flatten)]
    pub resource: Resource,
    /// Which entries run it.
    pub status: ResourceStatus,
}

/// The answer to a request for resources: those that exist at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceList {
    /// The revision of the latest change; a watch from this revision gets every later change.
    pub revision: u64,
    /// The resources, ordered by kind and name.
    pub items: Vec<ResourceItem>,
}

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WatchAnswer {
    /// The revision to start the next watch from.
    pub revision: u64,
    /// The changes, ordered by revision; empty when none came in time.
    pub events: Vec<Change>,
}
