//! Names of a site's regions, entries and workers, and the declarations and announcements of them.

use crate::{deployment::Site, worker::Worker};
use types::{
    Announcement, DomainName, EntryName, EntrySpec, LinkSpec, RegionName, RegionSpec, Resource,
    ResourceName, ServiceName, ServiceSpec, Spec, UpstreamName, UpstreamState,
};

const VALID: &str = "the lab's names are valid";

/// The name of the region with this index.
pub fn region(site: &Site, region: usize) -> RegionName {
    RegionName::new(site.regions[region]).expect(VALID)
}

/// The name of a failure domain; `domain` is its index within the region.
pub fn domain(site: &Site, region: usize, domain: usize) -> DomainName {
    DomainName::new(&format!("{}-{domain}", site.regions[region])).expect(VALID)
}

/// The name of the service with this index.
pub fn service(site: &Site, service: usize) -> ServiceName {
    ServiceName::new(site.services[service].name).expect(VALID)
}

/// The name of the entry with this index.
pub fn entry(entry: usize) -> EntryName {
    EntryName::new(&format!("entry-{entry}")).expect(VALID)
}

/// The name under which the worker with this index announces itself.
pub fn worker(worker: usize) -> UpstreamName {
    UpstreamName::new(&format!("worker-{worker}")).expect(VALID)
}

/// The index of the worker with this name, the inverse of [`worker`].
pub fn worker_index(name: &UpstreamName) -> Option<usize> {
    name.as_str().strip_prefix("worker-")?.parse().ok()
}

/// The failure domain that an entry runs in, as an index within its region.
pub const fn entry_domain(entry: usize) -> usize {
    entry / 3 % 2
}

/// A resource at version and revision 1.
pub fn resource(name: &str, spec: Spec) -> Resource {
    Resource {
        name: ResourceName::new(name).expect(VALID),
        spec,
        version: 1,
        revision: 1,
    }
}

/// The declared resources of a site: regions, a link between each two, entries and services.
///
/// `capacity_slots` holds a region's slots by index.
pub fn declared(site: &Site, capacity_slots: &[u32]) -> Vec<Resource> {
    let mut resources = Vec::new();
    for (index, name) in site.regions.iter().enumerate() {
        let spec = RegionSpec {
            capacity_slots: capacity_slots[index],
            failure_domains: (0..2).map(|d| domain(site, index, d)).collect(),
        };
        resources.push(resource(name, Spec::Region(spec)));
        for other in 0..index {
            let spec = LinkSpec {
                a: region(site, other),
                b: region(site, index),
                limit_kbps: site.link_kbps,
                delay_us: site.region_delay_us,
            };
            let link = format!("{}-{name}", site.regions[other]);
            resources.push(resource(&link, Spec::Link(spec)));
        }
    }
    for index in 0..site.entry_regions.len() {
        resources.push(resource(
            entry(index).as_str(),
            Spec::Entry(entry_spec(site, index)),
        ));
    }
    for shape in &site.services {
        let spec = ServiceSpec {
            regions: (0..site.regions.len()).map(|r| region(site, r)).collect(),
            idempotent: shape.idempotent,
            priority: shape.priority,
            deadline_ms: shape.deadline_ms,
            answer_bytes: shape.answer_bytes,
        };
        resources.push(resource(shape.name, Spec::Service(spec)));
    }
    resources
}

fn entry_spec(site: &Site, entry: usize) -> EntrySpec {
    let at = site.entry_regions[entry];
    EntrySpec {
        region: region(site, at),
        failure_domain: domain(site, at, entry_domain(entry)),
        address: ([127, 0, 1, entry as u8 + 1], 8080).into(),
        peer_address: ([127, 0, 1, entry as u8 + 1], 8081).into(),
    }
}

/// The announcement that a worker sends, with the load that it reports now.
pub fn announcement(site: &Site, index: usize, worker: &Worker) -> Announcement {
    Announcement {
        service: service(site, worker.service),
        address: ([127, 0, 2, index as u8 + 1], 9000).into(),
        region: region(site, worker.region),
        failure_domain: domain(site, worker.region, worker.domain),
        slots: worker.slots,
        connections: 350,
        load: worker.reported_load(),
        state: UpstreamState::Ready,
        epoch_ms: u64::from(worker.incarnation),
        sequence: 1,
    }
}
