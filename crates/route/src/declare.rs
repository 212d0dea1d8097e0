//! Applies declared resources and upstream announcements to the router's state.

use crate::{
    Output, Policy, evidence::Evidence, request::Stage, router::Router, shift::Cap, table::Link,
    upstream::Upstream,
};
use types::{
    Announcement, DrainTarget, EntryName, EntrySpec, Refusal, RegionName, Resource, ResourceName,
    ServiceName, Spec, UpstreamName,
};

impl Router {
    pub(crate) fn handle_declared(&mut self, resource: &Resource, outputs: &mut Vec<Output>) {
        match &resource.spec {
            Spec::Service(spec) => {
                if let Some(name) = service_name(&resource.name) {
                    self.table.declare_service(&name, spec);
                }
            }
            Spec::Link(spec) => {
                let link = Link {
                    a: self.table.region_id_or_insert(&spec.a),
                    b: self.table.region_id_or_insert(&spec.b),
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
        self.assign_home_slots();
        self.settle_undeclared(outputs);
    }

    pub(crate) fn handle_withdrawn(&mut self, resource: &Resource, outputs: &mut Vec<Output>) {
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
        self.assign_home_slots();
        self.settle_undeclared(outputs);
    }

    pub(crate) fn handle_announcement(&mut self, name: &UpstreamName, announcement: &Announcement) {
        let region = self.table.region_id_or_insert(&announcement.region);
        let mut upstream = Upstream::new(name, announcement, region);
        upstream.drained = self.is_drained(&upstream);
        let initial_evidence = match self.config.policy {
            Policy::Adaptive => Evidence::slow_start(announcement.slots),
            _ => Evidence::new(),
        };
        upstream.evidence = initial_evidence.clone();
        let Some(id) = self.table.upstream_id(name) else {
            let id = self.table.insert_upstream(upstream);
            self.table.add_to_group(id);
            self.assign_home_slots_for_upstream(id);
            return;
        };
        let known = &mut self.table.upstreams[id];
        // A change of service, region, failure domain or state, or a return after expiry, puts the
        // upstream into its group anew, with fresh evidence.
        let keeps_listing = known.service == announcement.service
            && known.region == region
            && known.failure_domain == announcement.failure_domain
            && known.state == announcement.state
            && known.present;
        if keeps_listing {
            known.address = announcement.address;
            known.reported_load = announcement.load;
            let restarted = known.epoch_ms != announcement.epoch_ms;
            if restarted {
                known.epoch_ms = announcement.epoch_ms;
                known.evidence = initial_evidence;
            }
            let resized = known.slots != announcement.slots;
            known.slots = announcement.slots;
            self.table.refresh_open_list(id);
            if resized || restarted {
                self.assign_home_slots_for_upstream(id);
            }
            return;
        }
        let old_listing = self.table.upstreams[id].listing;
        self.table.remove_from_group(id);
        upstream.in_flight = self.table.upstreams[id].in_flight;
        self.table.upstreams[id] = upstream;
        self.table.add_to_group(id);
        if let Some(listing) = old_listing {
            self.assign_service_home_slots(listing.service);
        }
        self.assign_home_slots_for_upstream(id);
    }

    pub(crate) fn handle_upstream_expired(&mut self, name: &UpstreamName) {
        let Some(id) = self.table.upstream_id(name) else {
            return;
        };
        let listing = self.table.upstreams[id].listing;
        self.table.remove_from_group(id);
        self.table.upstreams[id].present = false;
        self.table.remove_if_unused(id);
        if let Some(listing) = listing {
            self.assign_service_home_slots(listing.service);
        }
    }

    fn assign_home_slots_for_upstream(&mut self, upstream: usize) {
        if let Some(listing) = self.table.upstreams[upstream].listing {
            self.assign_service_home_slots(listing.service);
        }
    }

    /// Refuses queued requests of services that are no longer declared.
    fn settle_undeclared(&mut self, outputs: &mut Vec<Output>) {
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
            let id = self.table.region_id_or_insert(&name);
            self.table.regions[id].allowance.capacity_slots = capacity_slots;
        }
    }

    /// Gives every service's shift controller its cap and the declared shift out of its nearest
    /// region.
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
            let target = shift.as_ref().map(|shift| {
                (
                    self.table.region_id_or_insert(&shift.to),
                    shift.target_percent,
                )
            });
            let cap = shift.map_or(self.config.limits.cap, |shift| Cap {
                percent: shift.cap_percent,
                interval_ms: shift.interval_ms,
            });
            let controller = &mut self.table.services[id].shift;
            controller.set_cap(cap);
            controller.set_target(target);
        }
    }

    fn apply_drains(&mut self) {
        for id in 0..self.table.upstreams.len() {
            let drained = self.is_drained(&self.table.upstreams[id]);
            if drained == self.table.upstreams[id].drained {
                continue;
            }
            self.table.remove_from_group(id);
            self.table.upstreams[id].drained = drained;
            self.table.add_to_group(id);
        }
    }

    /// Whether a drain names an entry, its failure domain or its region.
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
