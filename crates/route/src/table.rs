//! Services, regions and upstreams by index, and the upstreams' groups with their open lists (the
//! upstreams with room) that choices are made from.

use crate::{
    allowance::{LinkAllowance, RegionAllowance},
    service::{Group, Service},
    shift::Cap,
    upstream::{ListPosition, Listing, Upstream},
};
use std::collections::BTreeMap;
use types::{DomainName, RegionName, ResourceName, ServiceName, ServiceSpec, UpstreamName};

/// The cost of the other failure domains of the entry's own region, in the unit of a link's delay:
/// just enough to come after the entry's own.
const OTHER_DOMAIN_COST_US: u64 = 1;
/// The cost of a region without a declared link, so that it comes after linked ones.
const UNLINKED_COST_US: u64 = 1_000_000;

/// The entry's own region, or one that a resource, share or announcement has named.
#[derive(Debug)]
pub(crate) struct Region {
    pub(crate) name: RegionName,
    /// This entry's share of the region's capacity and its use of it.
    pub(crate) allowance: RegionAllowance,
    /// This entry's share of the link from there to its own region, which carries the answers.
    pub(crate) link: LinkAllowance,
    /// The declared one-way delay from the entry's own region; `None` without a declared link.
    pub(crate) delay_us: Option<u64>,
}

/// A declared link between two regions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    /// The index of the region at one end.
    pub(crate) a: usize,
    /// The index of the region at the other end.
    pub(crate) b: usize,
    /// The one-way delay.
    pub(crate) delay_us: u64,
    /// The rate in each direction.
    pub(crate) limit_kbps: u64,
}

/// All known services, regions and upstreams. Indexes into the lists serve as identifiers.
#[derive(Debug)]
pub(crate) struct Table {
    /// The entry's own failure domain.
    pub(crate) own_domain: DomainName,
    pub(crate) regions: Vec<Region>,
    /// Every service declared so far; deleted ones stay.
    pub(crate) services: Vec<Service>,
    /// Upstreams by index; the index of one that was removed is used again.
    pub(crate) upstreams: Vec<Upstream>,
    /// The cap that a new service starts with.
    pub(crate) initial_cap: Cap,
    /// Declared links by the name of their resource.
    pub(crate) links: BTreeMap<ResourceName, Link>,
    region_ids: BTreeMap<RegionName, usize>,
    service_ids: BTreeMap<ServiceName, usize>,
    upstream_ids: BTreeMap<UpstreamName, usize>,
    free_ids: Vec<usize>,
}

/// The index of the entry's own region.
pub(crate) const OWN_REGION: usize = 0;

impl Table {
    /// A table with only the entry's own region.
    pub(crate) fn new(region: &RegionName, domain: &DomainName, initial_cap: Cap) -> Self {
        let mut table = Self {
            own_domain: domain.clone(),
            regions: Vec::new(),
            services: Vec::new(),
            upstreams: Vec::new(),
            initial_cap,
            links: BTreeMap::new(),
            region_ids: BTreeMap::new(),
            service_ids: BTreeMap::new(),
            upstream_ids: BTreeMap::new(),
            free_ids: Vec::new(),
        };
        table.region_id_or_insert(region);
        table
    }

    /// The region's index; a name that is new gets the next one.
    pub(crate) fn region_id_or_insert(&mut self, name: &RegionName) -> usize {
        if let Some(&id) = self.region_ids.get(name) {
            return id;
        }
        let id = self.regions.len();
        self.regions.push(Region {
            name: name.clone(),
            allowance: RegionAllowance::default(),
            link: LinkAllowance::default(),
            delay_us: None,
        });
        self.region_ids.insert(name.clone(), id);
        id
    }

    /// The index of a service that is or was declared.
    pub(crate) fn service_id(&self, name: &ServiceName) -> Option<usize> {
        self.service_ids.get(name).copied()
    }

    pub(crate) fn upstream_id(&self, name: &UpstreamName) -> Option<usize> {
        self.upstream_ids.get(name).copied()
    }

    /// Stores a service's declaration and rebuilds its groups.
    pub(crate) fn declare_service(&mut self, name: &ServiceName, spec: &ServiceSpec) -> usize {
        let regions = spec
            .regions
            .iter()
            .map(|r| self.region_id_or_insert(r))
            .collect();
        let id = self.service_ids.get(name).copied().unwrap_or_else(|| {
            let id = self.services.len();
            self.service_ids.insert(name.clone(), id);
            self.services.push(Service::new(name, self.initial_cap));
            id
        });
        let service = &mut self.services[id];
        service.declared = true;
        service.priority = spec.priority;
        service.answer_bytes = spec.answer_bytes;
        service.regions = regions;
        self.rebuild_groups(id);
        id
    }

    /// Stores an upstream whose name is new and returns its index.
    pub(crate) fn insert_upstream(&mut self, upstream: Upstream) -> usize {
        let name = upstream.name.clone();
        let id = match self.free_ids.pop() {
            Some(id) => {
                self.upstreams[id] = upstream;
                id
            }
            None => {
                self.upstreams.push(upstream);
                self.upstreams.len() - 1
            }
        };
        self.upstream_ids.insert(name, id);
        id
    }

    /// Removes an upstream whose announcement has expired and which has nothing in flight; frees
    /// its index.
    pub(crate) fn remove_if_unused(&mut self, id: usize) {
        let upstream = &self.upstreams[id];
        if upstream.present || upstream.in_flight > 0 {
            return;
        }
        let name = upstream.name.clone();
        self.remove_from_group(id);
        if self.upstream_ids.remove(&name).is_some() {
            self.free_ids.push(id);
        }
    }

    /// Sets this entry's home slots of an upstream.
    pub(crate) fn set_home_slots(&mut self, id: usize, home_slots: u32) {
        self.upstreams[id].home_slots = home_slots;
        self.refresh_open_list(id);
    }

    /// Sets every region's delay and link rate from the declared links, and rebuilds every
    /// service's groups.
    pub(crate) fn apply_links(&mut self) {
        for region in &mut self.regions {
            region.delay_us = None;
            region.link.limit_kbps = None;
        }
        for link in self.links.values() {
            match (link.a, link.b) {
                (OWN_REGION, other) | (other, OWN_REGION) => {
                    self.regions[other].delay_us = Some(link.delay_us);
                    self.regions[other].link.limit_kbps = Some(link.limit_kbps);
                }
                _ => {}
            }
        }
        for id in 0..self.services.len() {
            self.rebuild_groups(id);
        }
    }

    fn rebuild_groups(&mut self, service: usize) {
        self.services[service].groups.clear();
        let name = self.services[service].name.clone();
        let mut groups: Vec<Group> = Vec::new();
        for &region in &self.services[service].regions {
            let delay_us = self.regions[region].delay_us.unwrap_or(UNLINKED_COST_US);
            let costs = match region {
                OWN_REGION => vec![(true, 0), (false, OTHER_DOMAIN_COST_US)],
                _ => vec![(false, delay_us)],
            };
            groups.extend(
                costs
                    .into_iter()
                    .map(|(own_domain, cost_us)| Group::new(region, own_domain, cost_us)),
            );
        }
        groups.sort_by_key(|group| (group.cost_us, group.region));
        self.services[service].groups = groups;
        for id in 0..self.upstreams.len() {
            if self.upstreams[id].service == name {
                self.upstreams[id].listing = None;
                self.add_to_group(id);
            }
        }
    }

    /// Puts an upstream into its group, if its service is known and may run in its region and its
    /// announcement is valid. It leaves its old group first.
    pub(crate) fn add_to_group(&mut self, id: usize) {
        self.remove_from_group(id);
        let upstream = &self.upstreams[id];
        let own_domain =
            upstream.region == OWN_REGION && upstream.failure_domain == self.own_domain;
        let Some(service) = self.service_id(&upstream.service) else {
            return;
        };
        let group = self.services[service]
            .groups
            .iter()
            .position(|g| g.region == upstream.region && g.own_domain == own_domain);
        let Some(group) = group.filter(|_| upstream.present) else {
            return;
        };
        let usable = usize::from(upstream.is_usable());
        self.upstreams[id].listing = Some(Listing {
            service,
            group,
            open: None,
        });
        let group = &mut self.services[service].groups[group];
        group.members.push(id);
        group.usable_count += usable;
        self.refresh_open_list(id);
    }

    /// Removes an upstream from its group and from the group's open list.
    pub(crate) fn remove_from_group(&mut self, id: usize) {
        self.remove_from_open_list(id);
        let Some(listing) = self.upstreams[id].listing.take() else {
            return;
        };
        let usable = usize::from(self.upstreams[id].is_usable());
        let group = &mut self.services[listing.service].groups[listing.group];
        group.members.retain(|&member| member != id);
        group.usable_count -= usable;
    }

    /// Moves an upstream to its group's list for free home slots, its list for borrowed slots, or
    /// neither. Call it after every change of an upstream's load, limit or availability.
    pub(crate) fn refresh_open_list(&mut self, id: usize) {
        let upstream = &self.upstreams[id];
        let Some(listing) = upstream.listing else {
            return;
        };
        let home = upstream.has_room().then(|| upstream.has_home_room());
        if listing.open.map(|open| open.home) == home {
            return;
        }
        self.remove_from_open_list(id);
        let Some(home) = home else { return };
        let list = self.services[listing.service].groups[listing.group].list_mut(home);
        list.push(id);
        let position = list.len() - 1;
        self.upstreams[id].listing = Some(Listing {
            open: Some(ListPosition { home, position }),
            ..listing
        });
    }

    fn remove_from_open_list(&mut self, id: usize) {
        let Some(listing) = self.upstreams[id].listing else {
            return;
        };
        let Some(ListPosition { home, position }) = listing.open else {
            return;
        };
        let list = self.services[listing.service].groups[listing.group].list_mut(home);
        list.swap_remove(position);
        if let Some(&moved) = list.get(position)
            && let Some(moved_listing) = &mut self.upstreams[moved].listing
        {
            moved_listing.open = Some(ListPosition { home, position });
        }
        self.upstreams[id].listing = Some(Listing {
            open: None,
            ..listing
        });
    }
}
