//! The recorded instances, with indexes so that no heartbeat or poll walks all of them.

use crate::instance::Instance;
use serde::{Deserialize, Serialize, Serializer};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    ops::Bound,
};
use types::UpstreamName;

/// Instances by name. Serialized as that map; the indexes are built again from it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "BTreeMap<UpstreamName, Instance>")]
pub(crate) struct Instances {
    by_name: BTreeMap<UpstreamName, Instance>,
    /// The names of ready and draining instances.
    by_address: HashMap<SocketAddr, BTreeSet<UpstreamName>>,
    /// Every instance by the log index of its latest change.
    by_revision: BTreeMap<u64, BTreeSet<UpstreamName>>,
    /// Expired and gone instances by the log index of their latest change.
    inactive: BTreeSet<(u64, UpstreamName)>,
}

impl PartialEq for Instances {
    fn eq(&self, other: &Self) -> bool {
        self.by_name == other.by_name
    }
}

impl Eq for Instances {}

impl From<BTreeMap<UpstreamName, Instance>> for Instances {
    fn from(by_name: BTreeMap<UpstreamName, Instance>) -> Self {
        let mut instances = Self::default();
        for instance in by_name.into_values() {
            instances.insert(instance);
        }
        instances
    }
}

impl Serialize for Instances {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.by_name.serialize(serializer)
    }
}

impl Instances {
    /// The instance of this name.
    pub(crate) fn get(&self, id: &str) -> Option<&Instance> {
        self.by_name.get(id)
    }

    /// How many are recorded, expired and gone ones included.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Every instance, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.by_name.values()
    }

    /// The ready and draining instances with this address.
    pub(crate) fn present_at(&self, address: SocketAddr) -> impl Iterator<Item = &Instance> {
        let names = self.by_address.get(&address).into_iter().flatten();
        names.filter_map(|name| self.by_name.get(name))
    }

    /// The ready and draining instances whose address others of them have too.
    pub(crate) fn with_shared_addresses(&self) -> impl Iterator<Item = &Instance> {
        let shared = self.by_address.values().filter(|names| names.len() > 1);
        shared.flatten().filter_map(|name| self.by_name.get(name))
    }

    /// The instances that changed after a log index.
    pub(crate) fn changed_since(&self, index: u64) -> impl Iterator<Item = &Instance> {
        let later = (Bound::Excluded(index), Bound::Unbounded);
        let names = self.by_revision.range(later).flat_map(|(_, names)| names);
        names.filter_map(|name| self.by_name.get(name))
    }

    /// Adds an instance, or replaces the one of this name.
    pub(crate) fn insert(&mut self, instance: Instance) {
        self.remove(instance.id.as_str());
        if instance.is_present() {
            let names = self.by_address.entry(instance.address).or_default();
            names.insert(instance.id.clone());
        } else {
            let entry = (instance.revision, instance.id.clone());
            self.inactive.insert(entry);
        }
        let names = self.by_revision.entry(instance.revision).or_default();
        names.insert(instance.id.clone());
        self.by_name.insert(instance.id.clone(), instance);
    }

    /// Removes the expired and gone instances that changed first, until at most `count_max` are
    /// left; all that changed at one log index go together. Returns the latest index of those
    /// removed.
    pub(crate) fn forget_inactive(&mut self, count_max: usize) -> Option<u64> {
        let mut horizon = None;
        while let Some((revision, id)) = self.inactive.first().cloned() {
            if self.inactive.len() <= count_max && horizon != Some(revision) {
                break;
            }
            horizon = Some(revision);
            self.remove(id.as_str());
        }
        horizon
    }

    fn remove(&mut self, id: &str) {
        let Some((id, instance)) = self.by_name.remove_entry(id) else {
            return;
        };
        if let Some(names) = self.by_address.get_mut(&instance.address) {
            names.remove(&id);
            if names.is_empty() {
                self.by_address.remove(&instance.address);
            }
        }
        if let Some(names) = self.by_revision.get_mut(&instance.revision) {
            names.remove(&id);
            if names.is_empty() {
                self.by_revision.remove(&instance.revision);
            }
        }
        self.inactive.remove(&(instance.revision, id));
    }
}
