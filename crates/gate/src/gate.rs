//! The state of a gateway, and how answers of control replicas change it.
//!
//! The handling of client requests is in `requests.rs`.

use crate::{
    api::{PaceCause, StateChange},
    config::GateConfig,
    key_lease::KeyLease,
    poll_schedule::PollSchedule,
    quota::Quotas,
    rank::phase,
    regions::RebalanceParams,
    requests::PendingRequest,
    service::Service,
    slack::Slack,
    split::Split,
    stopping::Stopping,
    times::RunTimes,
    upstream::Upstream,
    withheld::WithheldRuns,
};
use control::{GatewayPoll, GatewayPollAnswer, GatewayReport};
use plan::{
    Instance, KeyDigest, KeyUse, Limits, PlanChanges, RouteTable, ServiceTerms, Tenant, TenantTable,
};
use share::QuotaTerms;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use types::{DomainName, RegionName, ServiceName, TimeUs, UpstreamName};

/// How often the region shares of every service are rebalanced, in milliseconds.
const REBALANCE_INTERVAL_MS: u64 = 100;

/// How long a gateway that starts waits for a replica that has caught up, in milliseconds. After a
/// failure of all replicas a leader is elected in less; while there is none for longer, an old plan is
/// better than none.
const CURRENT_PLAN_WAIT_MS: u64 = 2_000;

/// How long a gateway with its first plan polls more often to get the lease on keys, in milliseconds.
/// An answer with the whole plan is shared among gateways and gives no lease.
const FIRST_LEASE_HURRY_MS: u64 = 2_000;
/// An upstream whose run started less than this before a gateway hears of it is paced, in milliseconds.
/// A start may be as far ahead of the leader's clock.
const YOUNG_MS: u64 = 10_000;

/// The state of a gateway. Every call that depends on time is given the current time.
#[derive(Debug)]
pub struct Gate {
    pub(crate) config: GateConfig,
    polls: PollSchedule,
    /// The log index up to which all changes are applied here.
    revision: u64,
    /// Until when, before the first plan, answers of replicas that have not caught up are ignored.
    waits_for_current_until_us: TimeUs,
    plan_version: u64,
    limits: Option<Limits>,
    /// None until the first plan arrives.
    pub(crate) table: Option<RouteTable>,
    pub(crate) tenants: TenantTable,
    key_lease: KeyLease,
    /// Whether the latest [`StateChange`] on the lease says that it is held.
    has_reported_lease: bool,
    /// Until when a gateway that lacks the lease polls as often as one without a plan.
    hurries_until_us: TimeUs,
    /// For how long the machine was suspended, in microseconds since an origin of the process.
    suspended_us: u64,
    /// By route name.
    pub(crate) splits: HashMap<String, Split>,
    /// By route name.
    pub(crate) run_times: HashMap<String, RunTimes>,
    pub(crate) services: BTreeMap<ServiceName, Service>,
    /// The declared terms of the services.
    service_terms: HashMap<ServiceName, ServiceTerms>,
    evacuated: BTreeSet<DomainName>,
    pub(crate) withheld_runs: WithheldRuns,
    /// Gateways of the whole deployment, as the control replicas count them; at least 1.
    pub(crate) gateway_count: usize,
    /// By [`Arrival::request`](crate::Arrival::request).
    pub(crate) pending: HashMap<u64, PendingRequest>,
    next_rebalance_us: TimeUs,
    pub(crate) slack: Slack,
    pub(crate) quotas: Quotas,
    /// Changes for the log that [`Self::take_state_changes`] has not returned yet.
    pub(crate) state_changes: Vec<StateChange>,
    /// Set once the gateway is stopping.
    pub(crate) stopping: Option<Stopping>,
}

impl Gate {
    /// Creates a gateway without plan and instances, which polls the seeds first.
    #[must_use]
    pub fn new(config: GateConfig, now_us: TimeUs) -> Self {
        Self {
            polls: PollSchedule::new(&config.seeds, now_us),
            key_lease: KeyLease::new(config.bounds.revoke_ms),
            has_reported_lease: false,
            hurries_until_us: now_us,
            suspended_us: 0,
            config,
            revision: 0,
            waits_for_current_until_us: now_us.after_ms(CURRENT_PLAN_WAIT_MS),
            plan_version: 0,
            limits: None,
            table: None,
            tenants: TenantTable::default(),
            splits: HashMap::new(),
            run_times: HashMap::new(),
            services: BTreeMap::new(),
            service_terms: HashMap::new(),
            evacuated: BTreeSet::new(),
            withheld_runs: WithheldRuns::default(),
            gateway_count: 1,
            pending: HashMap::new(),
            next_rebalance_us: now_us,
            slack: Slack::new(now_us),
            quotas: Quotas::new(0, QuotaTerms::default(), now_us),
            state_changes: Vec::new(),
            stopping: None,
        }
    }

    /// Sets for how long the machine was suspended since an origin of the process, in microseconds. The
    /// clock of the other calls stands still meanwhile, but what a gateway knows of keys gets older.
    /// To be called before every call that depends on it: [`Self::handle_arrival`],
    /// [`Self::is_ready`], [`Self::poll_request`], [`Self::tick`] and [`Self::handle_poll_answer`].
    pub fn set_suspended_us(&mut self, suspended_us: u64) {
        self.suspended_us = self.suspended_us.max(suspended_us);
    }

    /// The time of a clock that counts the time in which the machine was suspended.
    pub(crate) const fn with_suspension(&self, now_us: TimeUs) -> TimeUs {
        now_us.after_us(self.suspended_us)
    }

    /// Whether the gateway has a plan, may rely on its keys and is not stopping. Control replicas send
    /// clients to ready gateways only.
    #[must_use]
    pub fn is_ready(&self, now_us: TimeUs) -> bool {
        self.table.is_some() && self.stopping.is_none() && !self.has_stale_keys(now_us)
    }

    /// Whether the plan requires keys, and those known here may be outdated.
    pub(crate) fn has_stale_keys(&self, now_us: TimeUs) -> bool {
        self.requires_keys() && self.key_lease.is_over(self.with_suspension(now_us))
    }

    /// Whether the plan requires keys, be it that nobody holds one.
    fn requires_keys(&self) -> bool {
        self.tenants.key_use() == KeyUse::Required
    }

    /// Counts the requests that wait for a token, and the forwarded ones whose last attempt has not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.len() + self.quotas.held_count()
    }

    /// The version of the plan that the gateway applies, 0 before the first.
    #[must_use]
    pub const fn plan_version(&self) -> u64 {
        self.plan_version
    }

    /// The plan's limits on clients' requests and connections; none before the first plan.
    #[must_use]
    pub const fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// The index of the replicated log up to which all changes are applied here, 0 at the start.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The tenants of the plan, in the order of their names.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.tenants()
    }

    /// The name of the tenant that holds a key, as far as is known here.
    #[must_use]
    pub fn tenant_of(&self, key: &KeyDigest) -> Option<&str> {
        self.tenants.find(key).map(|tenant| tenant.name.as_str())
    }

    /// Returns the changes to log since the last call, and clears them.
    pub fn take_state_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Begins to stop. The gateway is no longer ready, tells every replica so at once, and accepts
    /// new requests only for the first part of the grace period, and only those that are expected to
    /// end within it.
    pub fn stop(&mut self, now_us: TimeUs) {
        self.stopping = Some(Stopping::new(self.config.bounds.grace_ms, now_us));
        self.polls.poll_all_now(now_us);
    }

    /// Replaces the seeds. Former seeds are dropped later, unless replicas name them as members.
    pub fn set_seeds(&mut self, seeds: &[String], now_us: TimeUs) {
        self.polls.set_seeds(seeds, now_us);
    }

    /// The names of the control replicas that are polled.
    pub fn replicas(&self) -> impl Iterator<Item = &str> {
        self.polls.names()
    }

    /// Rebalances the region shares when due; returns the replicas to poll now.
    pub fn tick(&mut self, now_us: TimeUs) -> Vec<String> {
        if self.next_rebalance_us.reached(now_us) {
            self.next_rebalance_us = now_us.after_ms(REBALANCE_INTERVAL_MS);
            self.rebalance_regions(now_us);
        }
        self.report_key_lease(now_us);
        let has_all = self.table.is_some() && !self.awaits_first_lease(now_us);
        let mut due = self.polls.due(has_all, now_us);
        let on_quota_clock_us = self.with_suspension(now_us);
        let for_tokens = self.quotas.due_polls(self.polls.names(), on_quota_clock_us);
        due.extend(
            for_tokens
                .into_iter()
                .filter(|it| !due.contains(it))
                .collect::<Vec<_>>(),
        );
        due
    }

    /// Whether the gateway has had its first plan for a short time only and lacks the lease on keys.
    pub(crate) fn awaits_first_lease(&self, now_us: TimeUs) -> bool {
        !self.hurries_until_us.reached(now_us) && self.has_stale_keys(now_us)
    }

    /// Reports a change of the lease on keys. Its end is noticed by the first request or tick after it.
    pub(crate) fn report_key_lease(&mut self, now_us: TimeUs) {
        let is_held = self.requires_keys()
            && self.config.bounds.revoke_ms.is_some()
            && !self.has_stale_keys(now_us);
        if is_held != self.has_reported_lease {
            self.has_reported_lease = is_held;
            self.state_changes.push(match is_held {
                true => StateChange::KeyLeaseGained,
                false => StateChange::KeyLeaseLost,
            });
        }
    }

    /// Builds the poll request for a replica, without [`Self::token_report`]. It is to be sent at `now_us`
    /// or later.
    #[must_use]
    pub fn poll_request(&mut self, replica: &str, now_us: TimeUs) -> GatewayPoll {
        let sent_us = self.with_suspension(now_us);
        GatewayPoll {
            gateway: self.config.name.clone(),
            report: GatewayReport {
                address: self.config.address,
                region: self.config.region.clone(),
                failure_domain: self.config.failure_domain.clone(),
                takes_clients: self.is_ready(now_us),
            },
            number: self.key_lease.record_poll(sent_us),
            revision: self.revision,
            wants_large: self.polls.is_fetching_from(replica),
            tokens: None,
        }
    }

    /// Applies a replica's answer. Returns whether it carried changes that were not applied before.
    pub fn handle_poll_answer(
        &mut self,
        replica: &str,
        answer: GatewayPollAnswer,
        now_us: TimeUs,
    ) -> bool {
        if answer.is_certain {
            let (number, newest) = (answer.number, answer.newest);
            self.key_lease.record_certain_answer(number, newest);
        }
        let had_plan = self.table.is_some();
        let has_changed = self.apply_answer(replica, answer, now_us);
        self.key_lease.record_revision(self.revision);
        if !had_plan && self.table.is_some() {
            self.hurries_until_us = now_us.after_ms(FIRST_LEASE_HURRY_MS);
        }
        self.report_key_lease(now_us);
        has_changed
    }

    fn apply_answer(&mut self, replica: &str, answer: GatewayPollAnswer, now_us: TimeUs) -> bool {
        if answer.knows_leader {
            let (members, interval_ms) = (&answer.members, answer.interval_ms);
            self.polls.record_members(members, interval_ms, now_us);
            self.gateway_count = answer.gateways.max(1);
        }
        let on_quota_clock_us = self.with_suspension(now_us);
        self.quotas
            .handle_answer(replica, &answer, on_quota_clock_us);
        let may_be_old = !answer.is_current && self.table.is_none();
        if may_be_old && !self.waits_for_current_until_us.reached(now_us) {
            return false;
        }
        if answer.revision <= self.revision {
            if answer.newest > self.revision {
                let late = self.polls.start_fetch(replica, answer.held_back, now_us);
                let late = late.map(|replica| StateChange::FetchTimedOut { replica });
                self.state_changes.extend(late);
            }
            return false;
        }
        self.polls.finish_fetch();
        self.revision = answer.revision;
        let changes = answer.changes;
        if changes.complete {
            self.retain_listed(&changes.instances);
        }
        if let Some(evacuated) = changes.evacuated {
            if evacuated != self.evacuated {
                let domains = evacuated.iter().cloned().collect();
                self.state_changes.push(StateChange::Evacuated { domains });
            }
            self.evacuated = evacuated;
        }
        for instance in changes.instances {
            self.apply_instance(instance, answer.clock_ms, now_us);
        }
        for service in self.services.values_mut() {
            for upstream in &mut service.upstreams {
                let domain = &upstream.instance.failure_domain;
                upstream.is_evacuated = self.evacuated.contains(domain);
            }
        }
        if let Some(plan) = changes.plan {
            self.apply_plan(&plan);
            let on_quota_clock_us = self.with_suspension(now_us);
            self.quotas.set_limits(&self.tenants, on_quota_clock_us);
        }
        self.rebalance_regions(now_us);
        true
    }

    /// Removes the upstreams that a complete list of instances does not contain.
    fn retain_listed(&mut self, listed: &[Instance]) {
        let listed: BTreeSet<&UpstreamName> = listed.iter().map(|it| &it.id).collect();
        for service in self.services.values_mut() {
            let is_listed = |upstream: &Upstream| listed.contains(&upstream.instance.id);
            service.upstreams.retain(is_listed);
        }
    }

    /// Adds, updates or removes the upstream of a changed instance. Another run of an instance gets
    /// a new upstream, so that estimates start anew.
    fn apply_instance(&mut self, instance: Instance, clock_ms: u64, now_us: TimeUs) {
        let cold_ms = instance.cold_until_ms.saturating_sub(clock_ms);
        let cold_until_us = now_us.after_ms(cold_ms);
        self.state_changes.push(StateChange::Instance {
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
        // Other gateways have filled an upstream that started long ago, when this one has restarted.
        let is_young = instance.born_ms.saturating_add(YOUNG_MS) > clock_ms;
        let is_new_run = known.is_some_and(|born_ms| born_ms != instance.born_ms);
        let has_started = is_young || is_new_run || cold_ms > 0;
        if known != Some(instance.born_ms) {
            self.remove_upstream(&instance.id);
        }
        if !instance.is_present() {
            return self.remove_upstream(&instance.id);
        }
        let withheld = self.withheld_runs.get(&instance.id, instance.born_ms);
        let phase = phase(self.config.name.as_str(), instance.id.as_str());
        let service = self.service_mut(&instance.service, now_us);
        let slots = f64::from(instance.slots);
        match service.position(&instance.id) {
            Some(index) => {
                let upstream = &mut service.upstreams[index];
                if cold_ms > 0 && !upstream.is_cold(now_us) {
                    upstream.start_pace(PaceCause::Cold, slots, now_us);
                }
                upstream.instance = instance;
                upstream.region = region;
                upstream.cold_until_us = cold_until_us;
            }
            None => {
                let mut upstream = Upstream::new(instance, region, cold_until_us, now_us);
                upstream.withheld = withheld;
                upstream.phase = phase;
                if has_started {
                    upstream.start_pace(PaceCause::Started, slots, now_us);
                }
                service.upstreams.push(upstream);
            }
        }
    }

    fn remove_upstream(&mut self, id: &UpstreamName) {
        for service in self.services.values_mut() {
            service.upstreams.retain(|it| it.instance.id != *id);
        }
    }

    /// Returns the service of this name, which is created when missing.
    pub(crate) fn service_mut(&mut self, name: &ServiceName, now_us: TimeUs) -> &mut Service {
        let terms = self.service_terms.get(name);
        let own_region = &self.config.region;
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service::new(own_region.clone(), now_us).with_terms(terms))
    }

    /// The region of a failure domain; the gateway's own region when the settings don't list it.
    fn region_of(&self, domain: &DomainName) -> RegionName {
        let region = self.config.regions.get(domain);
        region.unwrap_or(&self.config.region).clone()
    }

    /// Applies plan changes. Routes keep their run times, and their split while the parts are the
    /// same.
    fn apply_plan(&mut self, plan: &PlanChanges) {
        self.plan_version = plan.version;
        self.limits = Some(plan.limits);
        let table = self.table.get_or_insert_default();
        table.apply(plan);
        self.tenants.apply(plan);
        self.splits.retain(|name, _| table.contains(name));
        self.run_times.retain(|name, _| table.contains(name));
        for route in &plan.routes {
            let known = self.run_times.entry(route.name.clone());
            known.or_insert_with(|| RunTimes::new(route.target_ms));
            let split = self.splits.get(&route.name);
            if split.is_none_or(|split| !split.matches(route)) {
                self.splits.insert(route.name.clone(), Split::new(route));
            }
        }
        let terms = plan.services.iter();
        self.service_terms = terms.map(|it| (it.name.clone(), it.clone())).collect();
        for (name, service) in &mut self.services {
            service.set_terms(self.service_terms.get(name));
        }
    }

    fn rebalance_regions(&mut self, now_us: TimeUs) {
        let regions: BTreeSet<&RegionName> = self.config.regions.values().collect();
        let gateways_per_region = self.gateway_count as f64 / regions.len().max(1) as f64;
        let services = self.services.len();
        let params = RebalanceParams {
            region_count: regions.len(),
            slack: self.slack.update(gateways_per_region, services, now_us),
            shift_max: self.config.bounds.region_shift_max,
        };
        for service in self.services.values_mut() {
            service.rebalance_regions(params, now_us);
        }
    }
}
