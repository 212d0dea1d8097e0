//! Checks of a set of resources as a whole.

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

/// What is wrong, and the field or resource that it names.
struct Fault {
    reason: InvalidReason,
    subject: String,
}

/// The resources by the names that others use for them.
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

/// What must be unique over all resources, as far as it was seen.
#[derive(Default)]
struct Seen<'a> {
    domains: BTreeSet<&'a str>,
    links: BTreeSet<(&'a str, &'a str)>,
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

/// The most that all resources take in the answer to an entry, in bytes.
pub const RESOURCES_MAX_BYTES: usize = 512 * 1024;

/// What a resource takes besides its name and spec, in bytes.
const RESOURCE_BASE_BYTES: usize = 128;

/// Checks each resource by itself and against the others.
pub(crate) fn validate(resources: &BTreeMap<&Key, &Spec>) -> Result<(), Rejection> {
    check_size(resources)?;
    let index = Index::new(resources);
    let mut seen = Seen::default();
    for (key, spec) in resources {
        check(spec, &index, &mut seen).map_err(|fault| Rejection::Invalid {
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

fn check<'a>(spec: &'a Spec, index: &Index<'a>, seen: &mut Seen<'a>) -> Result<(), Fault> {
    match spec {
        Spec::Region(region) => check_region(region, seen),
        Spec::Link(link) => check_link(link, index, seen),
        Spec::Service(service) => check_service(service, index),
        Spec::Entry(entry) => check_entry(entry, index, seen),
        Spec::Shift(shift) => check_shift(shift, index, seen),
        Spec::Drain(drain) => check_drain(drain, index),
    }
}

fn check_region<'a>(region: &'a RegionSpec, seen: &mut Seen<'a>) -> Result<(), Fault> {
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
    let mut own = BTreeSet::new();
    for domain in &region.failure_domains {
        ensure(own.insert(domain), InvalidReason::Repeated, domain)?;
        ensure(
            seen.domains.insert(domain.as_str()),
            InvalidReason::DuplicateFailureDomain,
            domain,
        )?;
    }
    Ok(())
}

fn check_link<'a>(link: &'a LinkSpec, index: &Index<'a>, seen: &mut Seen<'a>) -> Result<(), Fault> {
    index.region(&link.a)?;
    index.region(&link.b)?;
    ensure(link.a != link.b, InvalidReason::SameEnds, &link.a)?;
    ensure(link.limit_kbps > 0, InvalidReason::ZeroLimit, "limit_kbps")?;
    let (first, second) = (link.a.as_str(), link.b.as_str());
    ensure(
        seen.links.insert((first.min(second), first.max(second))),
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
    let mut own = BTreeSet::new();
    for region in &service.regions {
        index.region(region)?;
        ensure(own.insert(region), InvalidReason::Repeated, region)?;
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
    seen: &mut Seen<'a>,
) -> Result<(), Fault> {
    let region = index.region(&entry.region)?;
    ensure(
        region.failure_domains.contains(&entry.failure_domain),
        InvalidReason::UnknownFailureDomain,
        &entry.failure_domain,
    )?;
    for address in [entry.address, entry.peer_address] {
        ensure(
            seen.addresses.insert(address),
            InvalidReason::DuplicateAddress,
            address,
        )?;
    }
    Ok(())
}

fn check_shift<'a>(
    shift: &'a ShiftSpec,
    index: &Index<'a>,
    seen: &mut Seen<'a>,
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
        seen.shifts
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
