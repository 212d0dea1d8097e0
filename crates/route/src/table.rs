//! Services, regions and upstreams, by index.

use crate::{
    room::{LinkRoom, RegionRoom},
    service::{Group, Service},
    shift::Cap,
    upstream::{Open, Place, Upstream},
};
use std::collections::BTreeMap;
use types::{DomainName, RegionName, ResourceName, ServiceName, ServiceSpec, UpstreamName};

/// The cost of another failure domain of the entry's own region, as a delay.
const OWN_REGION_COST_US: u64 = 1;
/// The cost of a region without a declared link.
const UNLINKED_COST_US: u64 = 1_000_000;

/// A region.
#[derive(Debug)]
pub(crate) struct Region {
    /// Its name.
    pub(crate) name: RegionName,
    /// This entry's use of it.
    pub(crate) room: RegionRoom,
    /// This entry's use of the link from there to its own region.
    pub(crate) link: LinkRoom,
    /// The one-way delay from the entry's own region, where a link is declared.
    pub(crate) delay_us: Option<u64>,
}

/// A declared link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    /// The region at one end.
    pub(crate) a: usize,
    /// The region at the other.
    pub(crate) b: usize,
    /// The one-way delay.
    pub(crate) delay_us: u64,
    /// The rate, each way.
    pub(crate) limit_kbps: u64,
}

/// Services, regions and upstreams, by index.
#[derive(Debug)]
pub(crate) struct Table {
    /// The entry's failure domain; its region has index 0.
    pub(crate) own_domain: DomainName,
    /// Every region named so far.
    pub(crate) regions: Vec<Region>,
    /// Every service declared so far.
    pub(crate) services: Vec<Service>,
    /// Every upstream announced so far; the place of one that is gone is used again.
    pub(crate) upstreams: Vec<Upstream>,
    /// What moves out of a region at most where no shift is declared.
    pub(crate) cap: Cap,
    /// Declared links by resource.
    pub(crate) links: BTreeMap<ResourceName, Link>,
    region_ids: BTreeMap<RegionName, usize>,
    service_ids: BTreeMap<ServiceName, usize>,
    upstream_ids: BTreeMap<UpstreamName, usize>,
    vacant: Vec<usize>,
}

/// The index of the entry's own region.
pub(crate) const OWN_REGION: usize = 0;

impl Table {
    /// A table that knows the entry's own region only.
    pub(crate) fn new(region: &RegionName, domain: &DomainName, cap: Cap) -> Self {
        let mut table = Self {
            own_domain: domain.clone(),
            regions: Vec::new(),
            services: Vec::new(),
            upstreams: Vec::new(),
            cap,
            links: BTreeMap::new(),
            region_ids: BTreeMap::new(),
            service_ids: BTreeMap::new(),
            upstream_ids: BTreeMap::new(),
            vacant: Vec::new(),
        };
        table.region_id(region);
        table
    }

    /// The region's index; a name seen for the first time gets one.
    pub(crate) fn region_id(&mut self, name: &RegionName) -> usize {
        if let Some(&id) = self.region_ids.get(name) {
            return id;
        }
        let id = self.regions.len();
        self.regions.push(Region {
            name: name.clone(),
            room: RegionRoom::default(),
            link: LinkRoom::default(),
            delay_us: None,
        });
        self.region_ids.insert(name.clone(), id);
        id
    }

    /// The index of a service that was declared once.
    pub(crate) fn service_id(&self, name: &ServiceName) -> Option<usize> {
        self.service_ids.get(name).copied()
    }

    /// The index of an upstream that is known.
    pub(crate) fn upstream_id(&self, name: &UpstreamName) -> Option<usize> {
        self.upstream_ids.get(name).copied()
    }

    /// Stores what is declared of a service and lists its upstreams anew.
    pub(crate) fn declare_service(&mut self, name: &ServiceName, spec: &ServiceSpec) -> usize {
        let regions = spec.regions.iter().map(|r| self.region_id(r)).collect();
        let id = self.service_ids.get(name).copied().unwrap_or_else(|| {
            let id = self.services.len();
            self.service_ids.insert(name.clone(), id);
            self.services.push(Service::new(name, self.cap));
            id
        });
        let service = &mut self.services[id];
        service.declared = true;
        service.priority = spec.priority;
        service.answer_bytes = spec.answer_bytes;
        service.regions = regions;
        self.list_upstreams(id);
        id
    }

    /// Stores an upstream that is new.
    pub(crate) fn insert_upstream(&mut self, upstream: Upstream) -> usize {
        let name = upstream.name.clone();
        let id = match self.vacant.pop() {
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

    /// Forgets an upstream that is gone and has nothing in flight.
    pub(crate) fn forget_upstream(&mut self, id: usize) {
        let upstream = &self.upstreams[id];
        if upstream.present || upstream.in_flight > 0 {
            return;
        }
        let name = upstream.name.clone();
        self.unlist(id);
        if self.upstream_ids.remove(&name).is_some() {
            self.vacant.push(id);
        }
    }

    /// Sets how many slots of an upstream are dealt to this entry.
    pub(crate) fn set_home_slots(&mut self, id: usize, home_slots: u32) {
        self.upstreams[id].home_slots = home_slots;
        self.refresh(id);
    }

    /// Sets the delays that the declared links give and orders every service's groups.
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
            self.list_upstreams(id);
        }
    }

    fn list_upstreams(&mut self, service: usize) {
        self.services[service].groups.clear();
        let name = self.services[service].name.clone();
        let mut groups: Vec<Group> = Vec::new();
        for &region in &self.services[service].regions {
            let delay_us = self.regions[region].delay_us.unwrap_or(UNLINKED_COST_US);
            let costs = match region {
                OWN_REGION => vec![(true, 0), (false, OWN_REGION_COST_US)],
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
                self.upstreams[id].place = None;
                self.list(id);
            }
        }
    }

    /// Lists an upstream in its service's group, if the service may run there.
    pub(crate) fn list(&mut self, id: usize) {
        self.unlist(id);
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
        self.upstreams[id].place = Some(Place {
            service,
            group,
            open: None,
        });
        let group = &mut self.services[service].groups[group];
        group.members.push(id);
        group.usable += usable;
        self.refresh(id);
    }

    /// Removes an upstream from its group.
    pub(crate) fn unlist(&mut self, id: usize) {
        self.close(id);
        let Some(place) = self.upstreams[id].place.take() else {
            return;
        };
        let usable = usize::from(self.upstreams[id].is_usable());
        let group = &mut self.services[place.service].groups[place.group];
        group.members.retain(|&member| member != id);
        group.usable -= usable;
    }

    /// Puts an upstream on the list that its room calls for, or on none.
    pub(crate) fn refresh(&mut self, id: usize) {
        let upstream = &self.upstreams[id];
        let Some(place) = upstream.place else { return };
        let home = upstream.has_room().then(|| upstream.has_home_room());
        if place.open.map(|open| open.home) == home {
            return;
        }
        self.close(id);
        let Some(home) = home else { return };
        let list = self.services[place.service].groups[place.group].list_mut(home);
        list.push(id);
        let position = list.len() - 1;
        self.upstreams[id].place = Some(Place {
            open: Some(Open { home, position }),
            ..place
        });
    }

    fn close(&mut self, id: usize) {
        let Some(place) = self.upstreams[id].place else {
            return;
        };
        let Some(Open { home, position }) = place.open else {
            return;
        };
        let list = self.services[place.service].groups[place.group].list_mut(home);
        list.swap_remove(position);
        if let Some(&moved) = list.get(position)
            && let Some(moved_place) = &mut self.upstreams[moved].place
        {
            moved_place.open = Some(Open { home, position });
        }
        self.upstreams[id].place = Some(Place {
            open: None,
            ..place
        });
    }
}
