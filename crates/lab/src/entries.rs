//! Routers at the entries, as their shells would drive them.

use crate::{deployment::Site, events::EndingCode, names, shares::SHARE_US, worker::Worker};
use route::{Fallback, Input, Limits, Output, Policy, RequestId, Router, RouterConfig};
use types::{DrainSpec, DrainTarget, RegionName, Resource, ShiftSpec, Spec, TimeUs, UpstreamName};

/// Routers at the entries.
#[derive(Debug)]
pub struct Entries {
    routers: Vec<Router>,
    regions: Vec<RegionName>,
    services: Vec<types::ServiceName>,
    workers: Vec<UpstreamName>,
}

impl Entries {
    /// Routers that know what is declared.
    pub fn new(site: &Site, workers: usize, declared: &[Resource], rules: &Rules) -> Self {
        let mut routers: Vec<Router> = (0..site.entry_regions.len())
            .map(|entry| {
                let at = site.entry_regions[entry];
                let domain = names::domain(site, at, names::entry_domain(entry));
                let base = RouterConfig::new(names::entry(entry), names::region(site, at), domain);
                let config = base
                    .with_policy(rules.policy)
                    .with_limits(rules.limits.clone())
                    .with_fallback(rules.fallback)
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

    /// A request has come to an entry.
    pub fn arrive(&mut self, entry: usize, now_us: u64, arrival: Arriving) -> Vec<Output> {
        let service = self.services[arrival.service].clone();
        let input = Input::Arrive {
            request: RequestId(arrival.request as u64),
            service: &service,
            deadline_us: TimeUs(arrival.deadline_us),
            idempotent: arrival.idempotent,
        };
        self.step(entry, now_us, input)
    }

    /// An attempt has ended.
    pub fn ended(
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

    /// Time has passed.
    pub fn tick(&mut self, entry: usize, now_us: u64) -> Vec<Output> {
        self.step(entry, now_us, Input::Tick)
    }

    /// A worker has announced itself.
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

    /// A worker's announcement expired.
    pub fn gone(&mut self, entry: usize, now_us: u64, worker: usize) -> Vec<Output> {
        let name = self.workers[worker].clone();
        self.step(entry, now_us, Input::UpstreamGone { name: &name })
    }

    /// Another entry is lost.
    pub fn entry_lost(&mut self, entry: usize, now_us: u64, lost: usize) -> Vec<Output> {
        let input = Input::EntryActive {
            name: &names::entry(lost),
            active: false,
        };
        self.step(entry, now_us, input)
    }

    /// A region is drained.
    pub fn drain(&mut self, entry: usize, now_us: u64, region: usize) -> Vec<Output> {
        let spec = DrainSpec {
            target: DrainTarget::Region(self.regions[region].clone()),
        };
        let resource = names::resource("drain", Spec::Drain(spec));
        self.step(entry, now_us, Input::Declared(&resource))
    }

    /// Slots of a region that an entry would use.
    pub fn wanted_slots(&mut self, entry: usize, region: usize) -> u32 {
        self.routers[entry].wanted_slots(&self.regions[region])
    }

    /// A shift is declared.
    pub fn shift(&mut self, entry: usize, now_us: u64, spec: &ShiftSpec) -> Vec<Output> {
        let resource = names::resource("shift", Spec::Shift(spec.clone()));
        self.step(entry, now_us, Input::Declared(&resource))
    }

    /// A share of a region's capacity.
    pub fn share(&mut self, entry: usize, now_us: u64, region: usize, slots: u32) -> Vec<Output> {
        let region = self.regions[region].clone();
        let input = Input::Share {
            region: &region,
            slots,
            expires_us: TimeUs(now_us + SHARE_US),
        };
        self.step(entry, now_us, input)
    }

    /// A share of a link's rate.
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
            expires_us: TimeUs(now_us + SHARE_US),
        };
        self.step(entry, now_us, input)
    }
}

/// What every router is told.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Bounds.
    pub limits: Limits,
    /// What holds without a share.
    pub fallback: Fallback,
}

/// A request as it reaches an entry.
#[derive(Clone, Copy, Debug)]
pub struct Arriving {
    /// The request.
    pub request: usize,
    /// Its service.
    pub service: usize,
    /// When its caller stops waiting.
    pub deadline_us: u64,
    /// Whether a second run does no harm.
    pub idempotent: bool,
}
