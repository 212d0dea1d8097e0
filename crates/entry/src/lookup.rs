//! Which entries callers should use.

use crate::{config::Config, peers::Peers};
use locate::{RegionLink, region_order};
use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr};
use types::{
    DrainTarget, EntryName, EntrySpec, LookupAnswer, LookupEntry, RegionName, ServiceName, TimeUs,
};
use xxhash_rust::xxh3::Xxh3;

/// The weight of an entry by its region's place in the order of closeness.
const WEIGHTS: [u32; 4] = [100, 10, 5, 2];

/// The weight of an entry in any further region.
const FURTHEST_WEIGHT: u32 = 1;

/// The most entries that one answer names.
const ENTRIES_MAX: usize = 16;

/// The most entries of the nearest region when an answer can't name all.
const NEAREST_MAX: usize = 12;

/// What a look-up is answered from.
#[derive(Debug)]
pub struct LookupView<'a> {
    /// The entry that answers.
    pub own_name: &'a EntryName,
    /// Whether it takes new callers.
    pub own_open: bool,
    /// The region that is near the client.
    pub near: &'a RegionName,
    /// The client's address.
    pub client: IpAddr,
    /// The configuration.
    pub config: &'a Config,
    /// The other entries.
    pub peers: &'a Peers,
    /// How long the answer may be used.
    pub lifetime_ms: u64,
}

/// An entry that the client could use.
#[derive(Debug)]
struct Candidate<'a> {
    name: EntryName,
    spec: &'a EntrySpec,
    /// The place of its region in the order of closeness.
    place: usize,
}

impl LookupView<'_> {
    /// The answer for a declared service.
    pub fn answer(&self, now_us: TimeUs, service: &ServiceName) -> Option<LookupAnswer> {
        self.config.service(service)?;
        let drains: Vec<&DrainTarget> = self.config.drains().collect();
        let mut candidates = self.candidates(now_us, &drains);
        if candidates.is_empty() {
            candidates = self.candidates(now_us, &[]);
        }
        self.rank(&mut candidates);
        let chosen = self.choose(candidates).into_iter();
        let entries = chosen.map(|candidate| LookupEntry {
            name: candidate.name,
            address: candidate.spec.address,
            weight: WEIGHTS
                .get(candidate.place)
                .copied()
                .unwrap_or(FURTHEST_WEIGHT),
        });
        Some(LookupAnswer {
            service: service.clone(),
            lifetime_ms: self.lifetime_ms,
            entries: entries.collect(),
        })
    }

    fn candidates(&self, now_us: TimeUs, drains: &[&DrainTarget]) -> Vec<Candidate<'_>> {
        let declared = self.config.entries().filter(|(name, spec)| {
            self.takes_callers(name, now_us) && !drains.iter().any(|by| empties(by, name, spec))
        });
        declared
            .map(|(name, spec)| Candidate {
                name,
                spec,
                place: 0,
            })
            .collect()
    }

    fn takes_callers(&self, name: &EntryName, now_us: TimeUs) -> bool {
        if name == self.own_name {
            return self.own_open;
        }
        self.peers.is_healthy(name, now_us)
    }

    /// Gives each candidate its region's place; regions without a candidate take none, and regions
    /// at the same distance share one.
    fn rank(&self, candidates: &mut [Candidate<'_>]) {
        let links = self.config.links().map(|link| RegionLink {
            a: &link.a,
            b: &link.b,
            delay_us: link.delay_us,
        });
        let links: Vec<RegionLink<'_>> = links.collect();
        let order: BTreeMap<&RegionName, u64> =
            region_order(self.near, &links).into_iter().collect();
        let delay_us = |spec: &EntrySpec| order.get(&spec.region).copied().unwrap_or(u64::MAX);
        let mut delays_us: Vec<u64> = candidates
            .iter()
            .map(|candidate| delay_us(candidate.spec))
            .collect();
        delays_us.sort_unstable();
        delays_us.dedup();
        for candidate in candidates {
            candidate.place = delays_us.partition_point(|us| *us < delay_us(candidate.spec));
        }
    }

    /// The entries to name, heaviest first. Clients are spread over the nearest region's entries
    /// by their addresses, and some entries elsewhere are kept for the loss of that region.
    fn choose<'a>(&self, mut candidates: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
        if candidates.len() <= ENTRIES_MAX {
            candidates.sort_by_key(|candidate| candidate.place);
            return candidates;
        }
        let client = client_bytes(self.client);
        candidates.sort_by_cached_key(|candidate| {
            (candidate.place, Reverse(draw(&client, &candidate.name)))
        });
        let nearest = candidates.partition_point(|candidate| candidate.place == 0);
        let elsewhere = candidates.split_off(nearest);
        let kept = ENTRIES_MAX.saturating_sub(elsewhere.len()).max(NEAREST_MAX);
        candidates.truncate(kept);
        candidates.extend(elsewhere);
        candidates.truncate(ENTRIES_MAX);
        candidates
    }
}

fn empties(drain: &DrainTarget, name: &EntryName, spec: &EntrySpec) -> bool {
    match drain {
        DrainTarget::Upstream(_) => false,
        DrainTarget::Entry(entry) => entry == name,
        DrainTarget::FailureDomain(domain) => *domain == spec.failure_domain,
        DrainTarget::Region(region) => *region == spec.region,
    }
}

fn client_bytes(client: IpAddr) -> [u8; 16] {
    match client {
        IpAddr::V4(address) => address.to_ipv6_mapped().octets(),
        IpAddr::V6(address) => address.octets(),
    }
}

/// Rendezvous hash of a client and an entry.
fn draw(client: &[u8], entry: &EntryName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(client);
    hasher.update(entry.as_str().as_bytes());
    hasher.digest()
}
