//! The declared resources that an entry runs, applied from the answers of control replicas.

use crate::api::{ConfigChange, ReplicaAnswer};
use std::collections::{BTreeMap, BTreeSet};
use types::{
    DrainTarget, EntryName, EntrySpec, Key, Kind, LinkSpec, Resource, ResourceName, ServiceName,
    ServiceSpec, Spec,
};

/// The difference that one answer made to the configuration.
#[derive(Debug, Default)]
pub struct ConfigDelta {
    /// Resources that are new or changed.
    pub declared: Vec<Resource>,
    /// Resources that were withdrawn.
    pub withdrawn: Vec<Resource>,
    /// Whether the applied index advanced.
    pub advanced: bool,
}

/// The configuration as of an index, which never decreases.
#[derive(Debug, Default)]
pub struct Config {
    resources: BTreeMap<Key, Resource>,
    applied_index: u64,
}

impl Config {
    /// The index up to which all changes are applied; 0 before the first answer.
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Applies a replica's answer. An answer that doesn't lead to a later index is ignored.
    pub fn apply(&mut self, answer: ReplicaAnswer) -> ConfigDelta {
        let mut delta = ConfigDelta::default();
        if answer.applied_index <= self.applied_index {
            return delta;
        }
        if answer.complete {
            self.withdraw_unlisted(&answer.changes, &mut delta);
        }
        for change in answer.changes {
            self.apply_change(change, &mut delta);
        }
        self.applied_index = answer.applied_index;
        delta.advanced = true;
        delta
    }

    /// The declared service of this name, if any.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        let name = ResourceName::new(name.as_str()).ok()?;
        match &self
            .resources
            .get(&Key {
                kind: Kind::Service,
                name,
            })?
            .spec
        {
            Spec::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// The declared entries, this one included.
    pub fn entries(&self) -> impl Iterator<Item = (EntryName, &EntrySpec)> {
        self.resources
            .values()
            .filter_map(|resource| match &resource.spec {
                Spec::Entry(spec) => Some((EntryName::new(resource.name.as_str()).ok()?, spec)),
                _ => None,
            })
    }

    /// The targets of the declared drains.
    pub fn drains(&self) -> impl Iterator<Item = &DrainTarget> {
        self.resources
            .values()
            .filter_map(|resource| match &resource.spec {
                Spec::Drain(drain) => Some(&drain.target),
                _ => None,
            })
    }

    /// The declared links.
    pub fn links(&self) -> impl Iterator<Item = &LinkSpec> {
        self.resources
            .values()
            .filter_map(|resource| match &resource.spec {
                Spec::Link(link) => Some(link),
                _ => None,
            })
    }

    /// Every declared resource, ordered by key.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Withdraws the resources that a complete answer doesn't list.
    fn withdraw_unlisted(&mut self, listed: &[ConfigChange], delta: &mut ConfigDelta) {
        let listed: BTreeSet<&Key> = listed.iter().map(|change| &change.key).collect();
        let withdrawn: Vec<Key> = self
            .resources
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        for key in withdrawn {
            delta.withdrawn.extend(self.resources.remove(&key));
        }
    }

    /// Applies one change, unless it or a later one of the same resource is applied already.
    fn apply_change(&mut self, change: ConfigChange, delta: &mut ConfigDelta) {
        match change.resource {
            Some(resource) => {
                let current = self.resources.get(&change.key);
                if current.is_some_and(|current| current.revision >= resource.revision) {
                    return;
                }
                delta.declared.push(resource.clone());
                self.resources.insert(change.key, resource);
            }
            None if change.revision > self.applied_index => {
                delta.withdrawn.extend(self.resources.remove(&change.key));
            }
            None => {}
        }
    }
}
