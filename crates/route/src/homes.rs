//! Assigns the slots of a region's upstreams to the region's entries as home slots.
//!
//! Entries don't see one another's requests, so each computes the assignment itself. Entries that
//! agree on the active entries and the trusted upstreams have no home slot in common. Each fills
//! its own home slots first, and borrows other slots only when those are taken.

use crate::{Policy, router::Router, table::OWN_REGION};
use std::collections::HashMap;
use types::{DomainName, EntryName, UpstreamName};

impl Router {
    /// Recomputes the home slots in the entry's own region, for every service.
    pub(crate) fn assign_home_slots(&mut self) {
        for service in 0..self.table.services.len() {
            self.assign_service_home_slots(service);
        }
    }

    /// Records whether another entry takes requests, and recomputes the home slots on a change.
    pub(crate) fn handle_entry_active(&mut self, name: &EntryName, active: bool) {
        let changed = match active {
            true => self.inactive_entries.remove(name),
            false => self.inactive_entries.insert(name.clone()),
        };
        if changed {
            self.assign_home_slots();
        }
    }

    /// Recomputes the home slots of a service in the entry's own region after a change of its
    /// upstreams; those that aren't trusted get no home slots. First ends ejections above the
    /// limit.
    pub(crate) fn assign_service_home_slots(&mut self, service: usize) {
        if self.config.policy != Policy::Adaptive {
            return;
        }
        self.enforce_ejection_limit(service);
        let groups = self.table.services[service].groups.iter();
        let own_region = groups.filter(|group| group.region == OWN_REGION);
        let members: Vec<usize> = own_region
            .flat_map(|group| &group.members)
            .copied()
            .collect();
        let source = |&id: &usize| {
            let upstream = &self.table.upstreams[id];
            upstream.is_trusted().then_some(SlotSource {
                id,
                name: &upstream.name,
                domain: &upstream.failure_domain,
                slots: upstream.slots,
            })
        };
        let sources = members.iter().filter_map(source).collect();
        let entries = self.entries.iter().filter(|(name, spec)| {
            spec.region == self.config.region
                && !self.inactive_entries.contains(*name)
                && !self.is_entry_drained(name, spec)
        });
        let entries = entries.map(|(name, spec)| SharingEntry {
            name,
            domain: &spec.failure_domain,
        });
        let assigned = assign(&self.config.entry, entries.collect(), sources);
        for &id in &members {
            let home_slots = assigned.get(&id).copied().unwrap_or(0);
            self.table.set_home_slots(id, home_slots);
        }
    }
}

/// An entry that gets home slots.
#[derive(Clone, Debug)]
struct SharingEntry<'a> {
    name: &'a EntryName,
    domain: &'a DomainName,
}

/// An upstream whose slots are assigned.
#[derive(Clone, Debug)]
struct SlotSource<'a> {
    id: usize,
    name: &'a UpstreamName,
    domain: &'a DomainName,
    slots: u32,
}

/// The home slots that `own` gets of each upstream. The entries share the slots evenly; entries in
/// an upstream's own failure domain come first. The result depends only on the arguments, so that
/// every entry computes the same assignment. Empty unless `own` is among `entries`: declared in
/// this region, active and not drained.
fn assign(
    own: &EntryName,
    mut entries: Vec<SharingEntry<'_>>,
    mut sources: Vec<SlotSource<'_>>,
) -> HashMap<usize, u32> {
    entries.sort_by_key(|entry| entry.name);
    sources.sort_by_key(|source| source.name);
    let Some(own) = entries.iter().position(|entry| entry.name == own) else {
        return HashMap::new();
    };
    let mut quotas_left = quotas(
        entries.len(),
        sources.iter().map(|source| source.slots).sum(),
    );
    let mut own_slots = vec![0; sources.len()];
    let mut unassigned = vec![0; sources.len()];
    let mut next = 0;
    for (index, source) in sources.iter().enumerate() {
        for _ in 0..source.slots {
            let same_domain = |entry: usize| entries[entry].domain == source.domain;
            match take_quota(&mut quotas_left, &mut next, same_domain) {
                Some(entry) => own_slots[index] += u32::from(entry == own),
                None => unassigned[index] += 1,
            }
        }
    }
    for (index, &slots) in unassigned.iter().enumerate() {
        for _ in 0..slots {
            let entry = take_quota(&mut quotas_left, &mut next, |_| true);
            own_slots[index] += u32::from(entry == Some(own));
        }
    }
    let ids = sources.iter().map(|source| source.id);
    ids.zip(own_slots).collect()
}

/// The number of home slots for each entry: an even split, in which the first entries get the
/// remainder.
fn quotas(entries: usize, slots: u32) -> Vec<u32> {
    let count = entries as u32;
    (0..count)
        .map(|entry| slots / count + u32::from(entry < slots % count))
        .collect()
}

/// The next entry in turn that has quota left and for which `fits` holds; takes one from its quota.
fn take_quota(left: &mut [u32], next: &mut usize, fits: impl Fn(usize) -> bool) -> Option<usize> {
    let count = left.len();
    let entry = (0..count)
        .map(|step| (*next + step) % count)
        .find(|&entry| left[entry] > 0 && fits(entry))?;
    left[entry] -= 1;
    *next = (entry + 1) % count;
    Some(entry)
}
