//! Declared resources and announcements.

use crate::{
    Output, Policy, evidence::Evidence, request::Stage, router::Router, shift::Cap, table::Link,
    upstream::Upstream,
};
use types::{
    Announcement, DrainTarget, EntryName, EntrySpec, Refusal, RegionName, Resource, ResourceName,
    ServiceName, Spec, UpstreamName,
};

impl Router {
    pub(crate) fn declared(&mut self, resource: &Resource, outputs: &mut Vec<Output>) {
        match &resource.spec {
            Spec::Service(spec) => {
                if let Some(name) = service_name(&resource.name) {
                    self.table.declare_service(&name, spec);
                }
            }
            Spec::Link(spec) => {
                let link = Link {
                    a: self.table.region_id(&spec.a),
                    b: self.table.region_id(&spec.b),
                    delay_us: spec.delay_us,
                    limit_kbps: spec.limit_kbps,
                };
                self.table.links.insert(resource.name.clone(), link);
                self.table.apply_links();
            }
            Spec::Drain(spec) => {
                let target = spec.target.clone();
                self.drains.insert(resource.name.clone(), target);
                self.apply_drains();
            }
            Spec::Entry(spec) => {
                if let Some(name) = entry_name(&resource.name) {
                    self.entries.insert(name, spec.clone());
                }
            }
            Spec::Shift(spec) => {
                self.shifts.insert(resource.name.clone(), spec.clone());
            }
            Spec::Region(spec) => {
                self.set_capacity(&resource.name, Some(spec.capacity_slots));
            }
        }
        self.apply_shifts();
        self.deal_homes();
        self.settle_stranded(outputs);
    }

    pub(crate) fn withdrawn(&mut self, resource: &Resource, outputs: &mut Vec<Output>) {
        match &resource.spec {
            Spec::Service(_) => {
                let name = service_name(&resource.name);
                if let Some(id) = name.and_then(|name| self.table.service_id(&name)) {
                    self.table.services[id].declared = false;
                }
            }
            Spec::Link(_) => {
                self.table.links.remove(&resource.name);
                self.table.apply_links();
            }
            Spec::Drain(_) => {
                self.drains.remove(&resource.name);
                self.apply_drains();
            }
            Spec::Entry(_) => {
                if let Some(name) = entry_name(&resource.name) {
                    self.entries.remove(&name);
                }
            }
            Spec::Shift(_) => {
                self.shifts.remove(&resource.name);
            }
            Spec::Region(_) => self.set_capacity(&resource.name, None),
        }
        self.apply_shifts();
        self.deal_homes();
        self.settle_stranded(outputs);
    }

    pub(crate) fn announced(&mut self, name: &UpstreamName, announcement: &Announcement) {
        let region = self.table.region_id(&announcement.region);
        let mut upstream = Upstream::new(name, announcement, region);
        upstream.drained = self.is_drained(&upstream);
        let fresh = match self.config.policy {
            Policy::Adaptive => Evidence::fresh(announcement.slots),
            _ => Evidence::new(),
        };
        upstream.evidence = fresh.clone();
        let Some(id) = self.table.upstream_id(name) else {
            let id = self.table.insert_upstream(upstream);
            self.table.list(id);
            self.deal_service_of(id);
            return;
        };
        let known = &mut self.table.upstreams[id];
        let same_place = known.service == announcement.service
            && known.region == region
            && known.failure_domain == announcement.failure_domain
            && known.state == announcement.state
            && known.present;
        if same_place {
            known.address = announcement.address;
            known.reported_load = announcement.load;
            let restarted = known.epoch_ms != announcement.epoch_ms;
            if restarted {
                known.epoch_ms = announcement.epoch_ms;
                known.evidence = fresh;
            }
            let resized = known.slots != announcement.slots;
            known.slots = announcement.slots;
            self.table.refresh(id);
            if resized || restarted {
                self.deal_service_of(id);
            }
            return;
        }
        let old_place = self.table.upstreams[id].place;
        self.table.unlist(id);
        upstream.in_flight = self.table.upstreams[id].in_flight;
        self.table.upstreams[id] = upstream;
        self.table.list(id);
        if let Some(place) = old_place {
            self.deal_service(place.service);
        }
        self.deal_service_of(id);
    }

    pub(crate) fn upstream_gone(&mut self, name: &UpstreamName) {
        let Some(id) = self.table.upstream_id(name) else {
            return;
        };
        let place = self.table.upstreams[id].place;
        self.table.unlist(id);
        self.table.upstreams[id].present = false;
        self.table.forget_upstream(id);
        if let Some(place) = place {
            self.deal_service(place.service);
        }
    }

    fn deal_service_of(&mut self, upstream: usize) {
        if let Some(place) = self.table.upstreams[upstream].place {
            self.deal_service(place.service);
        }
    }

    /// Settles requests that wait for a service that is no longer declared.
    fn settle_stranded(&mut self, outputs: &mut Vec<Output>) {
        for service in 0..self.table.services.len() {
            if self.table.services[service].declared {
                continue;
            }
            while let Some(id) = self.table.services[service].queue.front() {
                debug_assert!(self.requests[&id].stage == Stage::Queued);
                self.dequeue(id);
                self.settle(id, Refusal::UnknownService, outputs);
            }
        }
    }

    fn set_capacity(&mut self, name: &ResourceName, capacity_slots: Option<u32>) {
        if let Ok(name) = RegionName::new(name.as_str()) {
            let id = self.table.region_id(&name);
            self.table.regions[id].room.capacity_slots = capacity_slots;
        }
    }

    /// Gives every service's ledger its cap and what is declared to move out of its region.
    fn apply_shifts(&mut self) {
        for id in 0..self.table.services.len() {
            let service = &self.table.services[id];
            let home = service
                .home_region()
                .map(|home| &self.table.regions[home].name);
            let mut shifts = self.shifts.values();
            let shift = shifts
                .find(|shift| shift.service == service.name && Some(&shift.from) == home)
                .cloned();
            let target = shift
                .as_ref()
                .map(|shift| (self.table.region_id(&shift.to), shift.target_percent));
            let cap = shift.map_or(self.config.limits.cap, |shift| Cap {
                percent: shift.cap_percent,
                interval_ms: shift.interval_ms,
            });
            let mover = &mut self.table.services[id].mover;
            mover.set_cap(cap);
            mover.set_target(target);
        }
    }

    fn apply_drains(&mut self) {
        for id in 0..self.table.upstreams.len() {
            let drained = self.is_drained(&self.table.upstreams[id]);
            if drained == self.table.upstreams[id].drained {
                continue;
            }
            self.table.unlist(id);
            self.table.upstreams[id].drained = drained;
            self.table.list(id);
        }
    }

    /// Whether a drain names an entry or where it stands.
    pub(crate) fn is_entry_drained(&self, entry: &EntryName, spec: &EntrySpec) -> bool {
        self.drains.values().any(|target| match target {
            DrainTarget::Entry(name) => name == entry,
            DrainTarget::FailureDomain(name) => *name == spec.failure_domain,
            DrainTarget::Region(name) => *name == spec.region,
            DrainTarget::Upstream(_) => false,
        })
    }

    fn is_drained(&self, upstream: &Upstream) -> bool {
        self.drains.values().any(|target| match target {
            DrainTarget::Upstream(name) => *name == upstream.name,
            DrainTarget::FailureDomain(name) => *name == upstream.failure_domain,
            DrainTarget::Region(name) => *name == self.table.regions[upstream.region].name,
            DrainTarget::Entry(_) => false,
        })
    }
}

fn entry_name(name: &ResourceName) -> Option<EntryName> {
    EntryName::new(name.as_str()).ok()
}

fn service_name(name: &ResourceName) -> Option<ServiceName> {
    ServiceName::new(name.as_str()).ok()
}
