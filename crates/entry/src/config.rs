//! The declared resources as an entry runs them.

use crate::api::{ConfigChange, ReplicaAnswer};
use std::collections::{BTreeMap, BTreeSet};
use types::{
    DrainTarget, EntryName, EntrySpec, Key, Kind, LinkSpec, Resource, ResourceName, ServiceName,
    ServiceSpec, Spec,
};

/// What one answer changed.
#[derive(Debug, Default)]
pub struct Applied {
    /// Resources that are new or changed.
    pub declared: Vec<Resource>,
    /// Resources that are gone.
    pub withdrawn: Vec<Resource>,
    /// Whether the index moved on.
    pub moved: bool,
}

/// The configuration up to an index; it never goes back.
#[derive(Debug, Default)]
pub struct Config {
    resources: BTreeMap<Key, Resource>,
    applied_index: u64,
}

impl Config {
    /// The index up to which every change is applied.
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Takes a replica's answer; one that leads to no later index changes nothing.
    pub fn apply(&mut self, answer: ReplicaAnswer) -> Applied {
        let mut applied = Applied::default();
        if answer.applied_index <= self.applied_index {
            return applied;
        }
        if answer.complete {
            self.withdraw_unlisted(&answer.changes, &mut applied);
        }
        for change in answer.changes {
            self.apply_change(change, &mut applied);
        }
        self.applied_index = answer.applied_index;
        applied.moved = true;
        applied
    }

    /// A declared service.
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

    /// The declared entries.
    pub fn entries(&self) -> impl Iterator<Item = (EntryName, &EntrySpec)> {
        self.resources
            .values()
            .filter_map(|resource| match &resource.spec {
                Spec::Entry(spec) => Some((EntryName::new(resource.name.as_str()).ok()?, spec)),
                _ => None,
            })
    }

    /// What the declared drains empty.
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

    /// Every resource, for the process dump.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    fn withdraw_unlisted(&mut self, listed: &[ConfigChange], applied: &mut Applied) {
        let listed: BTreeSet<&Key> = listed.iter().map(|change| &change.key).collect();
        let gone: Vec<Key> = self
            .resources
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        for key in gone {
            applied.withdrawn.extend(self.resources.remove(&key));
        }
    }

    fn apply_change(&mut self, change: ConfigChange, applied: &mut Applied) {
        match change.resource {
            Some(resource) => {
                let known = self.resources.get(&change.key);
                if known.is_some_and(|known| known.revision >= resource.revision) {
                    return;
                }
                applied.declared.push(resource.clone());
                self.resources.insert(change.key, resource);
            }
            None if change.revision > self.applied_index => {
                applied.withdrawn.extend(self.resources.remove(&change.key));
            }
            None => {}
        }
    }
}
