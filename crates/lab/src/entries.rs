//! The routers of all entries, with the inputs that the entries' shells would give them.

use crate::{
    deployment::Site, events::EndingCode, names, shares::SHARE_LIFETIME_US, worker::Worker,
};
use route::{Fallback, Input, Limits, Output, Policy, RequestId, Router, RouterConfig};
use types::{DrainSpec, DrainTarget, RegionName, Resource, ShiftSpec, Spec, TimeUs, UpstreamName};

/// The router of each entry, by index.
#[derive(Debug)]
pub struct Entries {
    routers: Vec<Router>,
    regions: Vec<RegionName>,
    services: Vec<types::ServiceName>,
    workers: Vec<UpstreamName>,
}

impl Entries {
    /// Routers that have got the declared resources.
    pub fn new(
        site: &Site,
        workers: usize,
        declared: &[Resource],
        settings: &RouterSettings,
    ) -> Self {
        let mut routers: Vec<Router> = (0..site.entry_regions.len())
            .map(|entry| {
                let at = site.entry_regions[entry];
                let domain = names::domain(site, at, names::entry_domain(entry));
                let base = RouterConfig::new(names::entry(entry), names::region(site, at), domain);
                let config = base
                    .with_policy(settings.policy)
                    .with_limits(settings.limits.clone())
                    .with_fallback(settings.fallback)
                    .with_seed(entry as u64 + 1);
                Router::new(config)
            })
            .collect();
        let mut outputs = Vec::new();
        for router in &mut routers {
            for resource in declared {
                router.step(TimeUs(0), Input::Declared(resource), &mut outputs);
            }
        }
        Self {
            routers,
            regions: (0..site.regions.len())
                .map(|r| names::region(site, r))
                .collect(),
            services: (0..site.services.len())
                .map(|s| names::service(site, s))
                .collect(),
            workers: (0..workers).map(names::worker).collect(),
        }
    }

    fn step(&mut self, entry: usize, now_us: u64, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.routers[entry].step(TimeUs(now_us), input, &mut outputs);
        outputs
    }

    /// Gives a router a request that arrived at its entry.
    pub fn arrive(&mut self, entry: usize, now_us: u64, arrival: IncomingRequest) -> Vec<Output> {
        let service = self.services[arrival.service].clone();
        let input = Input::Arrive {
            request: RequestId(arrival.request as u64),
            service: &service,
            deadline_us: TimeUs(arrival.deadline_us),
            idempotent: arrival.idempotent,
        };
        self.step(entry, now_us, input)
    }

    /// Tells a router that the current attempt of a request ended.
    pub fn end_attempt(
        &mut self,
        entry: usize,
        now_us: u64,
        request: usize,
        ending: EndingCode,
    ) -> Vec<Output> {
        let input = Input::Ended {
            request: RequestId(request as u64),
            ending: ending.into(),
        };
        self.step(entry, now_us, input)
    }

    /// Tells a router that time has passed.
    pub fn tick(&mut self, entry: usize, now_us: u64) -> Vec<Output> {
        self.step(entry, now_us, Input::Tick)
    }

    /// Gives a router the current announcement of a worker, named by index and state.
    pub fn announce(
        &mut self,
        entry: usize,
        now_us: u64,
        site: &Site,
        worker: (usize, &Worker),
    ) -> Vec<Output> {
        let announcement = names::announcement(site, worker.0, worker.1);
        let name = self.workers[worker.0].clone();
        let input = Input::Upstream {
            name: &name,
            announcement: &announcement,
        };
        self.step(entry, now_us, input)
    }

    /// Tells a router that the announcement of a worker expired.
    pub fn expire_worker(&mut self, entry: usize, now_us: u64, worker: usize) -> Vec<Output> {
        let name = self.workers[worker].clone();
        self.step(entry, now_us, Input::UpstreamExpired { name: &name })
    }

    /// Tells a router that another entry is lost.
    pub fn entry_lost(&mut self, entry: usize, now_us: u64, lost: usize) -> Vec<Output> {
        let input = Input::EntryActive {
            name: &names::entry(lost),
            active: false,
        };
        self.step(entry, now_us, input)
    }

    /// Declares the drain of a region to a router.
    pub fn drain(&mut self, entry: usize, now_us: u64, region: usize) -> Vec<Output> {
        let spec = DrainSpec {
            target: DrainTarget::Region(self.regions[region].clone()),
        };
        let resource = names::resource("drain", Spec::Drain(spec));
        self.step(entry, now_us, Input::Declared(&resource))
    }

    /// The slots of a region that an entry asks the leader for.
    pub fn wanted_slots(&mut self, entry: usize, region: usize) -> u32 {
        self.routers[entry].wanted_slots(&self.regions[region])
    }

    /// Declares a shift to a router.
    pub fn shift(&mut self, entry: usize, now_us: u64, spec: &ShiftSpec) -> Vec<Output> {
        let resource = names::resource("shift", Spec::Shift(spec.clone()));
        self.step(entry, now_us, Input::Declared(&resource))
    }

    /// Gives a router its share of a region's slots.
    pub fn share(&mut self, entry: usize, now_us: u64, region: usize, slots: u32) -> Vec<Output> {
        let region = self.regions[region].clone();
        let input = Input::Share {
            region: &region,
            slots,
            expires_us: TimeUs(now_us + SHARE_LIFETIME_US),
        };
        self.step(entry, now_us, input)
    }

    /// Gives a router its share of a link's rate from region `ends.0` to region `ends.1`.
    pub fn link_share(
        &mut self,
        entry: usize,
        now_us: u64,
        ends: (usize, usize),
        kbps: u64,
    ) -> Vec<Output> {
        let (from, to) = (self.regions[ends.0].clone(), self.regions[ends.1].clone());
        let input = Input::LinkShare {
            from: &from,
            to: &to,
            kbps,
            expires_us: TimeUs(now_us + SHARE_LIFETIME_US),
        };
        self.step(entry, now_us, input)
    }
}

/// The settings that all routers share.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Policy that chooses an upstream.
    pub policy: Policy,
    /// Limits of queues, attempts, ejections and the traffic that leaves a region.
    pub limits: Limits,
    /// What limits a router that has no valid share.
    pub fallback: Fallback,
}

/// A request as it reaches an entry.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Index of the request.
    pub request: usize,
    /// Index of its service.
    pub service: usize,
    /// Time at which its caller stops waiting.
    pub deadline_us: u64,
    /// Whether it may run twice.
    pub idempotent: bool,
}
