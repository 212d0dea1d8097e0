//! Answers look-ups: which entries a caller should use, with weights.

use crate::{config::Config, peers::Peers};
use locate::{RegionLink, region_order};
use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr};
use types::{
    DrainTarget, EntryName, EntrySpec, LookupAnswer, LookupEntry, RegionName, ServiceName, TimeUs,
};
use xxhash_rust::xxh3::Xxh3;

/// The weight of an entry, by the rank of its region: the nearest comes first.
const WEIGHTS: [u32; 4] = [100, 10, 5, 2];

/// The weight of an entry in a region beyond those ranks.
const FURTHEST_WEIGHT: u32 = 1;

/// The most entries that one answer names.
const ENTRIES_MAX: usize = 16;

/// The most entries of the nearest region in an answer that can't name all entries. There are more
/// only if the other regions have too few.
const NEAREST_MAX: usize = 12;

/// The state from which a look-up is answered.
#[derive(Debug)]
pub struct LookupView<'a> {
    /// The entry that answers.
    pub own_name: &'a EntryName,
    /// Whether that entry takes new callers.
    pub own_takes_callers: bool,
    /// The region of the client's block, or else of the answering entry.
    pub client_region: &'a RegionName,
    /// The client's address, which selects among the entries of a region.
    pub client: IpAddr,
    /// The configuration, with the declared entries, links and drains.
    pub config: &'a Config,
    /// The other entries, with their health.
    pub peers: &'a Peers,
    /// How long the caller may use the answer.
    pub lifetime_ms: u64,
}

/// An entry that takes callers.
#[derive(Debug)]
struct Candidate<'a> {
    name: EntryName,
    spec: &'a EntrySpec,
    /// The rank of its region, 0 for the nearest.
    region_rank: usize,
}

impl LookupView<'_> {
    /// The answer for a declared service; `None` for any other.
    ///
    /// Drained entries are named only if there are no others.
    pub fn answer(&self, now_us: TimeUs, service: &ServiceName) -> Option<LookupAnswer> {
        self.config.service(service)?;
        let drains: Vec<&DrainTarget> = self.config.drains().collect();
        let mut candidates = self.candidates(now_us, &drains);
        if candidates.is_empty() {
            candidates = self.candidates(now_us, &[]);
        }
        self.assign_region_ranks(&mut candidates);
        let selected = self.select(candidates).into_iter();
        let entries = selected.map(|candidate| LookupEntry {
            name: candidate.name,
            address: candidate.spec.address,
            weight: WEIGHTS
                .get(candidate.region_rank)
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
            self.takes_callers(name, now_us)
                && !drains.iter().any(|drain| drain_covers(drain, name, spec))
        });
        declared
            .map(|(name, spec)| Candidate {
                name,
                spec,
                region_rank: 0,
            })
            .collect()
    }

    fn takes_callers(&self, name: &EntryName, now_us: TimeUs) -> bool {
        if name == self.own_name {
            return self.own_takes_callers;
        }
        self.peers.is_healthy(name, now_us)
    }

    /// Sets the rank of each candidate's region, by its delay from the client's region. Regions at
    /// the same delay share a rank; regions without a candidate take none.
    fn assign_region_ranks(&self, candidates: &mut [Candidate<'_>]) {
        let links = self.config.links().map(|link| RegionLink {
            a: &link.a,
            b: &link.b,
            delay_us: link.delay_us,
        });
        let links: Vec<RegionLink<'_>> = links.collect();
        let order: BTreeMap<&RegionName, u64> = region_order(self.client_region, &links)
            .into_iter()
            .collect();
        let delay_us = |spec: &EntrySpec| order.get(&spec.region).copied().unwrap_or(u64::MAX);
        let mut delays_us: Vec<u64> = candidates
            .iter()
            .map(|candidate| delay_us(candidate.spec))
            .collect();
        delays_us.sort_unstable();
        delays_us.dedup();
        for candidate in candidates {
            candidate.region_rank = delays_us.partition_point(|us| *us < delay_us(candidate.spec));
        }
    }

    /// Selects the entries to name, heaviest first. Clients are spread over the nearest region's
    /// entries by their addresses. Some entries of other regions are included, in case the nearest
    /// region is lost.
    fn select<'a>(&self, mut candidates: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
        if candidates.len() <= ENTRIES_MAX {
            candidates.sort_by_key(|candidate| candidate.region_rank);
            return candidates;
        }
        let client = client_bytes(self.client);
        candidates.sort_by_cached_key(|candidate| {
            (
                candidate.region_rank,
                Reverse(rendezvous_hash(&client, &candidate.name)),
            )
        });
        let nearest = candidates.partition_point(|candidate| candidate.region_rank == 0);
        let elsewhere = candidates.split_off(nearest);
        let nearest_count = ENTRIES_MAX.saturating_sub(elsewhere.len()).max(NEAREST_MAX);
        candidates.truncate(nearest_count);
        candidates.extend(elsewhere);
        candidates.truncate(ENTRIES_MAX);
        candidates
    }
}

/// Whether a drain applies to an entry.
fn drain_covers(drain: &DrainTarget, name: &EntryName, spec: &EntrySpec) -> bool {
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

/// The rendezvous hash of a client and an entry. A client prefers the entries with the highest.
fn rendezvous_hash(client: &[u8], entry: &EntryName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(client);
    hasher.update(entry.as_str().as_bytes());
    hasher.digest()
}
