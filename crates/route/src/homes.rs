//! Deals the slots of a region's upstreams to the region's entries.
//!
//! Entries don't see one another's requests. Each entry fills the slots dealt to it first, which no
//! other entry does, and borrows other slots only when those are taken.

use crate::{Policy, router::Router, table::OWN_REGION};
use std::collections::HashMap;
use types::{DomainName, EntryName, UpstreamName};

impl Router {
    /// Deals the slots of the entry's own region anew, for every service.
    pub(crate) fn deal_homes(&mut self) {
        for service in 0..self.table.services.len() {
            self.deal_service(service);
        }
    }

    /// Deals anew when another entry stops or starts to take requests.
    pub(crate) fn entry_active(&mut self, name: &EntryName, active: bool) {
        let changed = match active {
            true => self.inactive_entries.remove(name),
            false => self.inactive_entries.insert(name.clone()),
        };
        if changed {
            self.deal_homes();
        }
    }

    /// Deals the slots of a service's trusted upstreams in the entry's own region anew, after a change
    /// of its upstreams.
    pub(crate) fn deal_service(&mut self, service: usize) {
        if self.config.policy != Policy::Adaptive {
            return;
        }
        self.keep_floor(service);
        let groups = self.table.services[service].groups.iter();
        let near = groups.filter(|group| group.region == OWN_REGION);
        let members: Vec<usize> = near.flat_map(|group| &group.members).copied().collect();
        let source = |&id: &usize| {
            let upstream = &self.table.upstreams[id];
            upstream.is_trusted().then_some(Source {
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
        let entries = entries.map(|(name, spec)| Dealt {
            name,
            domain: &spec.failure_domain,
        });
        let deals = deal(&self.config.entry, entries.collect(), sources);
        for &id in &members {
            let home_slots = deals.get(&id).copied().unwrap_or(0);
            self.table.set_home_slots(id, home_slots);
        }
    }
}

/// An entry that takes part.
#[derive(Clone, Debug)]
struct Dealt<'a> {
    /// Its name.
    name: &'a EntryName,
    /// Its failure domain.
    domain: &'a DomainName,
}

/// An upstream whose slots are dealt.
#[derive(Clone, Debug)]
struct Source<'a> {
    /// Its index.
    id: usize,
    /// Its name.
    name: &'a UpstreamName,
    /// Its failure domain.
    domain: &'a DomainName,
    /// Its slots.
    slots: u32,
}

/// The slots of each upstream that go to `own`; every entry computes the same deal.
fn deal(
    own: &EntryName,
    mut entries: Vec<Dealt<'_>>,
    mut sources: Vec<Source<'_>>,
) -> HashMap<usize, u32> {
    entries.sort_by_key(|entry| entry.name);
    sources.sort_by_key(|source| source.name);
    let Some(own) = entries.iter().position(|entry| entry.name == own) else {
        return HashMap::new();
    };
    let mut left = quotas(
        entries.len(),
        sources.iter().map(|source| source.slots).sum(),
    );
    let mut own_slots = vec![0; sources.len()];
    let mut undealt = vec![0; sources.len()];
    let mut next = 0;
    for (index, source) in sources.iter().enumerate() {
        for _ in 0..source.slots {
            let near = |entry: usize| entries[entry].domain == source.domain;
            match take(&mut left, &mut next, near) {
                Some(entry) => own_slots[index] += u32::from(entry == own),
                None => undealt[index] += 1,
            }
        }
    }
    for (index, &slots) in undealt.iter().enumerate() {
        for _ in 0..slots {
            let entry = take(&mut left, &mut next, |_| true);
            own_slots[index] += u32::from(entry == Some(own));
        }
    }
    let ids = sources.iter().map(|source| source.id);
    ids.zip(own_slots).collect()
}

fn quotas(entries: usize, slots: u32) -> Vec<u32> {
    let count = entries as u32;
    (0..count)
        .map(|entry| slots / count + u32::from(entry < slots % count))
        .collect()
}

/// The next entry in turn that fits and has quota left.
fn take(left: &mut [u32], next: &mut usize, fits: impl Fn(usize) -> bool) -> Option<usize> {
    let count = left.len();
    let entry = (0..count)
        .map(|step| (*next + step) % count)
        .find(|&entry| left[entry] > 0 && fits(entry))?;
    left[entry] -= 1;
    *next = (entry + 1) % count;
    Some(entry)
}
