//! The core of a gateway.

use crate::{
    api::Belief, config::GateConfig, follow::Followed, regions::Scope, requests::Flight,
    service::Service, slack::Slack, split::Split, times::RunTimes, upstream::Upstream,
};
use control::{Follow, FollowAnswer, GatewayReport};
use plan::{Instance, Limits, PlanChanges, RouteTable, ServiceTerms};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use types::{DomainName, RegionName, ServiceName, TimeUs, UpstreamName};

/// How often the shares of regions move, in milliseconds.
const REGIONS_MS: u64 = 100;

/// The part of a process's grace period in which a stopping gateway still takes requests.
const STOP_TAKES_PART: f64 = 0.45;

/// The core of a gateway.
#[derive(Debug)]
pub struct Gate {
    pub(crate) config: GateConfig,
    followed: Followed,
    revision: u64,
    plan_version: u64,
    limits: Option<Limits>,
    pub(crate) table: Option<RouteTable>,
    pub(crate) splits: HashMap<String, Split>,
    pub(crate) times: HashMap<String, RunTimes>,
    pub(crate) services: BTreeMap<ServiceName, Service>,
    cold_per_s: HashMap<ServiceName, f64>,
    evacuated: BTreeSet<DomainName>,
    pub(crate) gateways: usize,
    pub(crate) flights: HashMap<u64, Flight>,
    regions_us: TimeUs,
    pub(crate) slack: Slack,
    pub(crate) beliefs: Vec<Belief>,
    /// Set while the gateway stops: it takes new requests until then.
    pub(crate) takes_until_us: Option<TimeUs>,
}

impl Gate {
    /// A gateway that knows nothing but its seeds.
    #[must_use]
    pub fn new(config: GateConfig, now_us: TimeUs) -> Self {
        Self {
            followed: Followed::new(&config.seeds, now_us),
            config,
            revision: 0,
            plan_version: 0,
            limits: None,
            table: None,
            splits: HashMap::new(),
            times: HashMap::new(),
            services: BTreeMap::new(),
            cold_per_s: HashMap::new(),
            evacuated: BTreeSet::new(),
            gateways: 1,
            flights: HashMap::new(),
            regions_us: now_us,
            slack: Slack::new(now_us),
            beliefs: Vec::new(),
            takes_until_us: None,
        }
    }

    /// Whether it can serve and clients should use it.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.table.is_some() && self.takes_until_us.is_none()
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// The version of the plan that it runs.
    #[must_use]
    pub const fn plan_version(&self) -> u64 {
        self.plan_version
    }

    /// What clients may send, by the plan.
    #[must_use]
    pub const fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// The index of the log up to which it knows the changes.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the changes of what it believes since the last call.
    pub fn take_beliefs(&mut self) -> Vec<Belief> {
        std::mem::take(&mut self.beliefs)
    }

    /// Begins to stop: clients are sent away, and new requests are taken only for a while.
    pub fn stop(&mut self, now_us: TimeUs) {
        let takes_ms = self.config.bounds.grace_ms as f64 * STOP_TAKES_PART;
        self.takes_until_us = Some(now_us.after_ms(takes_ms as u64));
        self.followed.ask_all(now_us);
    }

    /// Takes over other seeds.
    pub fn reseed(&mut self, seeds: &[String], now_us: TimeUs) {
        self.followed.reseed(seeds, now_us);
    }

    /// The replicas that are followed.
    pub fn replicas(&self) -> impl Iterator<Item = &str> {
        self.followed.names()
    }

    /// Lets time pass; returns the replicas to ask now.
    pub fn tick(&mut self, now_us: TimeUs) -> Vec<String> {
        if self.regions_us.reached(now_us) {
            self.regions_us = now_us.after_ms(REGIONS_MS);
            self.follow_regions(now_us);
        }
        self.followed.due(self.table.is_some(), now_us)
    }

    /// The question for a replica.
    #[must_use]
    pub fn question(&self, replica: &str) -> Follow {
        Follow {
            gateway: self.config.name.clone(),
            report: GatewayReport {
                address: self.config.address,
                region: self.config.region.clone(),
                failure_domain: self.config.failure_domain.clone(),
                takes_clients: self.is_ready(),
            },
            revision: self.revision,
            wants_large: self.followed.is_fetching_from(replica),
        }
    }

    /// Takes a replica's answer; whether it changed anything.
    pub fn followed(&mut self, replica: &str, answer: FollowAnswer, now_us: TimeUs) -> bool {
        if answer.confirmed {
            let (members, interval_ms) = (&answer.members, answer.interval_ms);
            self.followed.note(members, interval_ms, now_us);
            self.gateways = answer.gateways.max(1);
        }
        if answer.revision <= self.revision {
            if answer.newest > self.revision {
                self.followed.fetch(replica, now_us);
            }
            return false;
        }
        self.followed.fetched();
        self.revision = answer.revision;
        let changes = answer.changes;
        if changes.complete {
            self.keep_only(&changes.instances);
        }
        if let Some(evacuated) = changes.evacuated {
            if evacuated != self.evacuated {
                let domains = evacuated.iter().cloned().collect();
                self.beliefs.push(Belief::Evacuated { domains });
            }
            self.evacuated = evacuated;
        }
        for instance in changes.instances {
            self.take_instance(instance, answer.clock_ms, now_us);
        }
        for service in self.services.values_mut() {
            for upstream in &mut service.upstreams {
                let domain = &upstream.instance.failure_domain;
                upstream.is_evacuated = self.evacuated.contains(domain);
            }
        }
        if let Some(plan) = changes.plan {
            self.take_plan(&plan);
        }
        self.follow_regions(now_us);
        true
    }

    /// Drops the instances that a complete list doesn't name.
    fn keep_only(&mut self, listed: &[Instance]) {
        let listed: BTreeSet<&UpstreamName> = listed.iter().map(|it| &it.id).collect();
        for service in self.services.values_mut() {
            let is_listed = |upstream: &Upstream| listed.contains(&upstream.instance.id);
            service.upstreams.retain(is_listed);
        }
    }

    fn take_instance(&mut self, instance: Instance, clock_ms: u64, now_us: TimeUs) {
        let cold_ms = instance.cold_until_ms.saturating_sub(clock_ms);
        let cold_until_us = now_us.after_ms(cold_ms);
        self.beliefs.push(Belief::Instance {
            upstream: instance.id.clone(),
            state: instance.state,
            cold_ms,
            revision: instance.revision,
        });
        let region = self.region_of(&instance.failure_domain);
        let known = self
            .services
            .get(&instance.service)
            .and_then(|service| Some((service, service.position(&instance.id)?)))
            .map(|(service, index)| service.upstreams[index].instance.born_ms);
        if known != Some(instance.born_ms) {
            self.forget(&instance.id);
        }
        if !instance.is_here() {
            return self.forget(&instance.id);
        }
        let service = self.service(&instance.service, now_us);
        match service.position(&instance.id) {
            Some(index) => {
                let upstream = &mut service.upstreams[index];
                upstream.instance = instance;
                upstream.region = region;
                upstream.cold_until_us = cold_until_us;
            }
            None => {
                let upstream = Upstream::new(instance, region, cold_until_us, now_us);
                service.upstreams.push(upstream);
            }
        }
    }

    fn forget(&mut self, id: &UpstreamName) {
        for service in self.services.values_mut() {
            service.upstreams.retain(|it| it.instance.id != *id);
        }
    }

    pub(crate) fn service(&mut self, name: &ServiceName, now_us: TimeUs) -> &mut Service {
        let cold_per_s = self.cold_per_s.get(name).copied().unwrap_or_default();
        let own_region = &self.config.region;
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service::new(own_region.clone(), cold_per_s, now_us))
    }

    fn region_of(&self, domain: &DomainName) -> RegionName {
        let region = self.config.regions.get(domain);
        region.unwrap_or(&self.config.region).clone()
    }

    fn take_plan(&mut self, plan: &PlanChanges) {
        self.plan_version = plan.version;
        self.limits = Some(plan.limits);
        let table = self.table.get_or_insert_default();
        table.apply(plan);
        self.splits.retain(|name, _| table.contains(name));
        self.times.retain(|name, _| table.contains(name));
        for route in &plan.routes {
            let known = self.times.entry(route.name.clone());
            known.or_insert_with(|| RunTimes::new(route.target_ms));
            let split = self.splits.get(&route.name);
            if split.is_none_or(|split| !split.fits(route)) {
                self.splits.insert(route.name.clone(), Split::new(route));
            }
        }
        let per_s = |terms: &ServiceTerms| terms.cold_milli_per_s as f64 / 1e3;
        let terms = plan.services.iter();
        self.cold_per_s = terms.map(|it| (it.name.clone(), per_s(it))).collect();
        for (name, service) in &mut self.services {
            service.cold_per_s = self.cold_per_s.get(name).copied().unwrap_or_default();
        }
    }

    fn follow_regions(&mut self, now_us: TimeUs) {
        let regions: BTreeSet<&RegionName> = self.config.regions.values().collect();
        let gateways_of_region = self.gateways as f64 / regions.len().max(1) as f64;
        let services = self.services.len();
        let scope = Scope {
            regions: regions.len(),
            slack: self.slack.look(gateways_of_region, services, now_us),
            shift_max: self.config.bounds.region_shift_max,
        };
        for service in self.services.values_mut() {
            service.follow_regions(scope, now_us);
        }
    }
}
