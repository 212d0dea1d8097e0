//! Validates a set of resources: each by itself, its references to others, and their total size.

use crate::rejection::{InvalidReason, Rejection};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use types::{
    DomainName, DrainSpec, DrainTarget, EntrySpec, Key, LinkSpec, RegionName, RegionSpec,
    ServiceSpec, ShiftSpec, Spec,
};

const PERCENT_MAX: u32 = 100;

/// The rule that a resource breaks, and the field or other resource that this is about.
struct Fault {
    reason: InvalidReason,
    subject: String,
}

/// The resources that others can refer to, by name.
#[derive(Default)]
struct Index<'a> {
    regions: BTreeMap<&'a str, &'a RegionSpec>,
    services: BTreeMap<&'a str, &'a ServiceSpec>,
    entries: BTreeSet<&'a str>,
    domains: BTreeSet<&'a str>,
}

impl<'a> Index<'a> {
    fn new(resources: &BTreeMap<&'a Key, &'a Spec>) -> Self {
        let mut index = Self::default();
        for (key, spec) in resources {
            index.add(key, spec);
        }
        index
    }

    fn add(&mut self, key: &'a Key, spec: &'a Spec) {
        let name = key.name.as_str();
        match spec {
            Spec::Region(region) => {
                self.regions.insert(name, region);
                let domains = region.failure_domains.iter().map(DomainName::as_str);
                self.domains.extend(domains);
            }
            Spec::Service(service) => {
                self.services.insert(name, service);
            }
            Spec::Entry(_) => {
                self.entries.insert(name);
            }
            Spec::Link(_) | Spec::Shift(_) | Spec::Drain(_) => {}
        }
    }

    fn region(&self, name: &RegionName) -> Result<&'a RegionSpec, Fault> {
        self.regions
            .get(name.as_str())
            .copied()
            .ok_or_else(|| fault(InvalidReason::UnknownRegion, name))
    }
}

/// Values that may occur only once over all resources, from the resources checked so far.
#[derive(Default)]
struct UniqueValues<'a> {
    domains: BTreeSet<&'a str>,
    /// Pairs of regions, the smaller name first.
    links: BTreeSet<(&'a str, &'a str)>,
    /// Pairs of a service and the region that a shift moves its traffic away from.
    shifts: BTreeSet<(&'a str, &'a str)>,
    addresses: BTreeSet<SocketAddr>,
}

fn fault(reason: InvalidReason, subject: impl ToString) -> Fault {
    Fault {
        reason,
        subject: subject.to_string(),
    }
}

fn ensure(holds: bool, reason: InvalidReason, subject: impl ToString) -> Result<(), Fault> {
    if holds {
        return Ok(());
    }
    Err(fault(reason, subject))
}

/// The most that all resources together may take in one answer to an entry's poll, in bytes.
pub const RESOURCES_MAX_BYTES: usize = 512 * 1024;

/// The estimated size of a resource in such an answer, without its name and spec, in bytes.
const RESOURCE_BASE_BYTES: usize = 128;

/// Checks each resource by itself and against the others; returns the first fault.
pub(crate) fn validate(resources: &BTreeMap<&Key, &Spec>) -> Result<(), Rejection> {
    check_size(resources)?;
    let index = Index::new(resources);
    let mut unique = UniqueValues::default();
    for (key, spec) in resources {
        check_spec(spec, &index, &mut unique).map_err(|fault| Rejection::Invalid {
            key: (*key).clone(),
            reason: fault.reason,
            subject: fault.subject,
        })?;
    }
    Ok(())
}

fn check_size(resources: &BTreeMap<&Key, &Spec>) -> Result<(), Rejection> {
    let size_bytes: usize = resources
        .iter()
        .map(|(key, spec)| RESOURCE_BASE_BYTES + 2 * key.name.as_str().len() + spec_bytes(spec))
        .sum();
    if size_bytes <= RESOURCES_MAX_BYTES {
        return Ok(());
    }
    Err(Rejection::TooLarge)
}

fn spec_bytes(spec: &Spec) -> usize {
    serde_json::to_vec(spec).map_or(RESOURCES_MAX_BYTES, |json| json.len())
}

fn check_spec<'a>(
    spec: &'a Spec,
    index: &Index<'a>,
    unique: &mut UniqueValues<'a>,
) -> Result<(), Fault> {
    match spec {
        Spec::Region(region) => check_region(region, unique),
        Spec::Link(link) => check_link(link, index, unique),
        Spec::Service(service) => check_service(service, index),
        Spec::Entry(entry) => check_entry(entry, index, unique),
        Spec::Shift(shift) => check_shift(shift, index, unique),
        Spec::Drain(drain) => check_drain(drain, index),
    }
}

fn check_region<'a>(region: &'a RegionSpec, unique: &mut UniqueValues<'a>) -> Result<(), Fault> {
    ensure(
        region.capacity_slots > 0,
        InvalidReason::ZeroCapacity,
        "capacity_slots",
    )?;
    ensure(
        !region.failure_domains.is_empty(),
        InvalidReason::EmptyList,
        "failure_domains",
    )?;
    let mut own_domains = BTreeSet::new();
    for domain in &region.failure_domains {
        ensure(own_domains.insert(domain), InvalidReason::Repeated, domain)?;
        ensure(
            unique.domains.insert(domain.as_str()),
            InvalidReason::DuplicateFailureDomain,
            domain,
        )?;
    }
    Ok(())
}

fn check_link<'a>(
    link: &'a LinkSpec,
    index: &Index<'a>,
    unique: &mut UniqueValues<'a>,
) -> Result<(), Fault> {
    index.region(&link.a)?;
    index.region(&link.b)?;
    ensure(link.a != link.b, InvalidReason::SameEnds, &link.a)?;
    ensure(link.limit_kbps > 0, InvalidReason::ZeroLimit, "limit_kbps")?;
    let (first, second) = (link.a.as_str(), link.b.as_str());
    ensure(
        unique.links.insert((first.min(second), first.max(second))),
        InvalidReason::DuplicateLink,
        format_args!("{first} {second}"),
    )
}

fn check_service(service: &ServiceSpec, index: &Index<'_>) -> Result<(), Fault> {
    ensure(
        !service.regions.is_empty(),
        InvalidReason::EmptyList,
        "regions",
    )?;
    let mut own_regions = BTreeSet::new();
    for region in &service.regions {
        index.region(region)?;
        ensure(own_regions.insert(region), InvalidReason::Repeated, region)?;
    }
    ensure(
        service.deadline_ms > 0,
        InvalidReason::ZeroDeadline,
        "deadline_ms",
    )
}

fn check_entry<'a>(
    entry: &'a EntrySpec,
    index: &Index<'a>,
    unique: &mut UniqueValues<'a>,
) -> Result<(), Fault> {
    let region = index.region(&entry.region)?;
    ensure(
        region.failure_domains.contains(&entry.failure_domain),
        InvalidReason::UnknownFailureDomain,
        &entry.failure_domain,
    )?;
    for address in [entry.address, entry.peer_address] {
        ensure(
            unique.addresses.insert(address),
            InvalidReason::DuplicateAddress,
            address,
        )?;
    }
    Ok(())
}

fn check_shift<'a>(
    shift: &'a ShiftSpec,
    index: &Index<'a>,
    unique: &mut UniqueValues<'a>,
) -> Result<(), Fault> {
    let service = index
        .services
        .get(shift.service.as_str())
        .ok_or_else(|| fault(InvalidReason::UnknownService, &shift.service))?;
    for region in [&shift.from, &shift.to] {
        index.region(region)?;
        ensure(
            service.regions.contains(region),
            InvalidReason::RegionWithoutService,
            region,
        )?;
    }
    ensure(
        shift.from != shift.to,
        InvalidReason::SameRegion,
        &shift.from,
    )?;
    ensure(
        shift.target_percent <= PERCENT_MAX,
        InvalidReason::PercentTooLarge,
        "target_percent",
    )?;
    ensure(shift.cap_percent > 0, InvalidReason::ZeroCap, "cap_percent")?;
    ensure(
        shift.cap_percent <= PERCENT_MAX,
        InvalidReason::PercentTooLarge,
        "cap_percent",
    )?;
    ensure(
        shift.interval_ms > 0,
        InvalidReason::ZeroInterval,
        "interval_ms",
    )?;
    ensure(
        unique
            .shifts
            .insert((shift.service.as_str(), shift.from.as_str())),
        InvalidReason::ConflictingShift,
        format_args!("{} {}", shift.service, shift.from),
    )
}

fn check_drain(drain: &DrainSpec, index: &Index<'_>) -> Result<(), Fault> {
    match &drain.target {
        DrainTarget::Upstream(_) => Ok(()),
        DrainTarget::Entry(entry) => ensure(
            index.entries.contains(entry.as_str()),
            InvalidReason::UnknownEntry,
            entry,
        ),
        DrainTarget::FailureDomain(domain) => ensure(
            index.domains.contains(domain.as_str()),
            InvalidReason::UnknownFailureDomain,
            domain,
        ),
        DrainTarget::Region(region) => index.region(region).map(|_| ()),
    }
}
