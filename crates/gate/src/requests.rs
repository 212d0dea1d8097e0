//! How a gateway handles client requests: admission, attempts, retries and their results.

use crate::{
    admission::{Applicant, Expected, Party},
    api::{
        Arrival, BusyUpstream, Caller, Decision, Ending, Failure, Load, NextStep, Notices, Refusal,
        StateChange, Target,
    },
    config::GateConfig,
    gate::Gate,
    identity::{Homes, Identity},
    pace::PacedAttempt,
    quota::{QuotaClaim, TokenState},
    service::{Choice, Criteria},
    split::Split,
    stopping::Stopping,
    times::RunTimes,
};
use plan::{RetrySafety, Route, Tenant};
use types::{ServiceName, TimeUs, UpstreamName};

/// The shortest time after which a refused client may retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// The time after which a client may retry when the gateway has no plan or no lease on keys yet, in
/// milliseconds; they have usually arrived by then.
const RETRY_AFTER_START_MS: u64 = 300;

/// The longest time after which a refused client may retry, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 1_000;

/// A request whose attempt has not ended, or whose next step is being decided.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    route: String,
    service: ServiceName,
    /// The hash of the object that it is for; none unless the route is sticky.
    object: Option<u64>,
    homes: Homes,
    caller: Caller,
    attempts_max: u32,
    idempotent: bool,
    /// The priority of the tenant or, without one, of the route; 0 is the most urgent.
    priority: u32,
    deadline_us: TimeUs,
    target_us: u64,
    /// The route's target; longer than `target_us` when the client waits for less.
    route_target_us: u64,
    route_timeout_ms: u64,
    /// The upstream of each attempt, the current one last.
    tried: Vec<UpstreamName>,
    /// When the run of the current attempt's upstream started, in Unix milliseconds.
    born_ms: u64,
    /// When the current attempt was sent.
    sent_us: TimeUs,
    /// Whether the upstream of the current attempt was assumed to have affinity.
    has_affinity: bool,
    /// Whether that upstream had a free slot when the attempt was sent, so that its time is all run
    /// time.
    had_free_slot: bool,
    /// Whether an upstream may have run any attempt that ended.
    may_have_run: bool,
    pub(crate) quota: QuotaClaim,
}

impl PendingRequest {
    fn new(
        arrival: &Arrival<'_>,
        route: &Route,
        part: usize,
        (tenant, caller): (Option<&Tenant>, Caller),
        timeout_ms: u64,
        now_us: TimeUs,
    ) -> Self {
        Self {
            route: route.name.clone(),
            service: route.parts[part].service.clone(),
            object: arrival.object.filter(|_| route.sticky),
            homes: Homes::of(route, tenant),
            caller,
            attempts_max: route.attempts_max,
            idempotent: route.repeat == RetrySafety::Idempotent,
            priority: tenant.and_then(|it| it.priority).unwrap_or(route.priority),
            deadline_us: now_us.after_ms(timeout_ms),
            target_us: route.target_ms.min(timeout_ms) * 1_000,
            route_target_us: route.target_ms * 1_000,
            route_timeout_ms: route.timeout_ms,
            tried: Vec::new(),
            born_ms: 0,
            sent_us: now_us,
            has_affinity: false,
            had_free_slot: false,
            may_have_run: false,
            quota: QuotaClaim::new(tenant),
        }
    }

    /// The request as admission sees it.
    fn applicant(&self, request: u64, run_times: RunTimes, now_us: TimeUs) -> Applicant<'_> {
        let remaining_us = self.deadline_us.since_us(now_us) as f64;
        Applicant {
            request,
            route: &self.route,
            party: match &self.caller {
                Caller::Untracked | Caller::Keyless => Party::Route,
                Caller::Anonymous => Party::Tenant(""),
                Caller::Tenant(name) => Party::Tenant(name),
            },
            priority: self.priority,
            route_target_us: self.route_target_us,
            target_us: self.target_us,
            remaining_us,
            stated_part: remaining_us / (self.route_timeout_ms as f64 * 1e3),
            work_us: run_times.run_us(true),
        }
    }

    fn criteria<'a>(
        &'a self,
        config: &'a GateConfig,
        run_times: RunTimes,
        now_us: TimeUs,
    ) -> Criteria<'a> {
        Criteria {
            object: self.object,
            homes: &self.homes,
            tried: &self.tried,
            own_domain: &config.failure_domain,
            run_times,
            remaining_us: self.deadline_us.since_us(now_us) as f64,
            target_us: self.target_us as f64,
        }
    }
}

impl Gate {
    /// Handles a new request: refuses it, or chooses the upstream of its first attempt.
    pub fn handle_arrival(&mut self, arrival: &Arrival<'_>, now_us: TimeUs) -> Decision {
        let Some(table) = &self.table else {
            return refuse(Refusal::NoPlan, RETRY_AFTER_START_MS);
        };
        let Some(route) = table.find(arrival.host, arrival.path) else {
            return Decision::NoRoute;
        };
        let needs_key = arrival.key.is_some() || !route.allow_anonymous;
        if needs_key && self.has_stale_keys(now_us) {
            self.report_key_lease(now_us);
            let retry_after_ms = match self.awaits_first_lease(now_us) {
                true => RETRY_AFTER_START_MS,
                false => RETRY_AFTER_MAX_MS,
            };
            return refuse(Refusal::StaleKeys, retry_after_ms);
        }
        let identity = Identity::of(arrival, route, &self.tenants);
        let Some(caller) = identity.caller() else {
            return Decision::Unauthorized;
        };
        let stopping = self.stopping;
        if stopping.is_some_and(|it| it.accepts_until_us.reached(now_us)) {
            return refuse(Refusal::Stopping, RETRY_AFTER_MIN_MS);
        }
        let timeout_ms = arrival.timeout_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        if timeout_ms == 0 {
            return refuse(Refusal::Deadline, RETRY_AFTER_MIN_MS);
        }
        let split = self.splits.get_mut(&route.name);
        let Some(part) = split.and_then(Split::next) else {
            return refuse(Refusal::NoUpstream, RETRY_AFTER_MAX_MS);
        };
        let pending = PendingRequest::new(
            arrival,
            route,
            part,
            (identity.tenant(), caller),
            timeout_ms,
            now_us,
        );
        self.admit(arrival.request, pending, now_us)
    }

    /// Ends a request whose client closed the connection; returns false when it was not in flight.
    pub fn client_left(&mut self, request: u64, now_us: TimeUs) -> bool {
        if self.end_unsent(request, now_us).is_some() {
            return true;
        }
        self.quotas.drop_held(request);
        false
    }

    /// Removes a request in flight whose client has left.
    pub(crate) fn end_unsent(&mut self, request: u64, now_us: TimeUs) -> Option<PendingRequest> {
        let pending = self.pending.remove(&request)?;
        self.record_ending(&pending, Ending::Left, None, now_us);
        Some(pending)
    }

    /// Handles what the upstream of a request's current attempt asks for in its answer. To be called
    /// before [`Self::attempt_ended`], so that a retry heeds it too.
    pub fn record_notices(&mut self, request: u64, notices: Notices, now_us: TimeUs) {
        if notices == Notices::default() {
            return;
        }
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(id) = pending.tried.last().cloned() else {
            return;
        };
        let before = self.withheld_runs.get(&id, pending.born_ms);
        let withheld = self
            .withheld_runs
            .record(&id, pending.born_ms, notices, now_us);
        if withheld.is_leaving && !before.is_leaving {
            let upstream = id.clone();
            self.state_changes.push(StateChange::Leaving { upstream });
        }
        if withheld.backoff_until_us > before.backoff_until_us {
            self.state_changes.push(StateChange::BackedOff {
                upstream: id.clone(),
                backoff_ms: withheld.backoff_until_us.since_us(now_us) / 1_000,
            });
        }
        let service = self.services.get_mut(&pending.service);
        let upstream = service.and_then(|service| {
            let index = service.position(&id)?;
            Some(&mut service.upstreams[index])
        });
        if let Some(upstream) = upstream.filter(|it| it.instance.born_ms == pending.born_ms) {
            upstream.withheld = withheld;
        }
    }

    /// Handles the end of an answer whose beginning has gone to the client already, so that no
    /// retry is possible any more.
    pub fn delivery_ended(
        &mut self,
        request: u64,
        ending: Ending,
        load: Option<Load>,
        now_us: TimeUs,
    ) {
        if let Some(pending) = self.pending.remove(&request) {
            self.record_ending(&pending, ending, load, now_us);
        }
    }

    /// Handles the end of an attempt, and decides whether the request is retried, answered or given
    /// up. A request that is not in flight is given up with [`Failure::Unknown`].
    pub fn attempt_ended(
        &mut self,
        request: u64,
        ending: Ending,
        load: Option<Load>,
        now_us: TimeUs,
    ) -> NextStep {
        let Some(mut pending) = self.pending.remove(&request) else {
            return NextStep::GiveUp(Failure::Unknown);
        };
        self.record_ending(&pending, ending, load, now_us);
        pending.may_have_run |= !ending.has_not_run();
        match ending {
            Ending::Answered => return NextStep::Deliver,
            Ending::Left => return NextStep::GiveUp(Failure::Unknown),
            Ending::TimedOut => return NextStep::GiveUp(Failure::TimedOut),
            Ending::Failed if !pending.idempotent => return NextStep::Deliver,
            Ending::Ambiguous | Ending::Broken if !pending.idempotent => {
                return NextStep::GiveUp(Failure::Unknown);
            }
            Ending::Failed
            | Ending::Ambiguous
            | Ending::Broken
            | Ending::Full
            | Ending::Misdirected
            | Ending::NotSent => {}
        }
        if let Some(choice) = self.choose_retry(&pending, now_us) {
            return NextStep::Retry(self.start_attempt(request, pending, choice, now_us));
        }
        match ending {
            Ending::Failed => NextStep::Deliver,
            _ if !pending.may_have_run => {
                self.give_back_token(&pending, now_us);
                NextStep::GiveUp(Failure::NotRun {
                    retry_after_ms: self.record_not_run(request, &pending, now_us),
                })
            }
            _ => NextStep::GiveUp(Failure::Unknown),
        }
    }

    /// Chooses the upstream of a request's first attempt; refuses the request when it would queue
    /// longer there than its target and other routes allow, or when its tenant is over its quota.
    pub(crate) fn admit(
        &mut self,
        request: u64,
        mut pending: PendingRequest,
        now_us: TimeUs,
    ) -> Decision {
        let times = self.route_times(&pending.route);
        let Some(service) = self.services.get_mut(&pending.service) else {
            return refuse(Refusal::NoUpstream, RETRY_AFTER_MAX_MS);
        };
        if !pending.quota.was_held() {
            self.slack.record_request();
            service.record_request(&self.config.bounds, self.gateway_count);
        }
        let criteria = pending.criteria(&self.config, times, now_us);
        let Some(choice) = service.choose(criteria, self.gateway_count, now_us) else {
            let backoff_end_us = service.backoff_end_us(now_us);
            let backoff_ms = backoff_end_us.map(|end_us| end_us.since_us(now_us) / 1_000);
            let retry_after_ms = backoff_ms.unwrap_or(RETRY_AFTER_MAX_MS);
            return refuse(Refusal::NoUpstream, retry_after_ms.max(RETRY_AFTER_MIN_MS));
        };
        let applicant = pending.applicant(request, times, now_us);
        let best = &service.upstreams[choice.index];
        let expected = Expected {
            wait_us: choice.wait_us,
            run_us: choice.run_us,
            adds_us: choice.run_us / f64::from(best.instance.slots.max(1)),
            utilisation: match choice.wait_us > 0.0 {
                true => service.utilisation(&best.region, now_us),
                false => 0.0,
            },
        };
        let slots = service.slots_of_gateway(self.gateway_count, now_us);
        let admitted = service
            .admission
            .decide(&applicant, expected, slots, now_us);
        if let Err(rejection) = admitted {
            let best = service.upstreams[choice.index].instance.id.clone();
            return Decision::Refuse {
                refusal: rejection.refusal,
                retry_after_ms: (rejection.retry_after_us / 1e3) as u64,
                best: Some(BusyUpstream {
                    upstream: best,
                    wait_ms: (choice.wait_us / 1e3) as u64,
                    wait_max_ms: (rejection.wait_max_us / 1e3) as u64,
                    priority: pending.priority,
                    share_percent: rejection.used_share.map(|used| (used * 100.0) as u32),
                }),
            };
        }
        if !self.ends_before_stop(&pending, &choice, now_us) {
            return refuse(Refusal::Stopping, RETRY_AFTER_MIN_MS);
        }
        let on_quota_clock_us = self.with_suspension(now_us);
        match self.quotas.take(&mut pending.quota, on_quota_clock_us) {
            TokenState::Ready => {
                if let Some(service) = self.services.get_mut(&pending.service) {
                    let applicant = pending.applicant(request, times, now_us);
                    service.admission.record_admitted(&applicant, now_us);
                }
                Decision::Forward(self.start_attempt(request, pending, choice, now_us))
            }
            TokenState::Wait => {
                let remaining_ms = pending.deadline_us.since_us(now_us) / 1_000;
                self.quotas
                    .hold(request, pending, remaining_ms, on_quota_clock_us)
            }
            TokenState::Refused(decision) => decision,
        }
    }

    /// Takes back what an admitted request counts for that no upstream ran; says in how many milliseconds
    /// its client should return.
    fn record_not_run(&mut self, request: u64, pending: &PendingRequest, now_us: TimeUs) -> u64 {
        let times = self.route_times(&pending.route);
        let applicant = pending.applicant(request, times, now_us);
        let gateway_count = self.gateway_count;
        let service = self.services.get_mut(&pending.service);
        let return_in_us = service.and_then(|service| {
            let slots = service.slots_of_gateway(gateway_count, now_us);
            service.admission.record_not_run(&applicant, slots, now_us)
        });
        return_in_us.map_or(RETRY_AFTER_MIN_MS, |us| (us / 1e3) as u64)
    }

    /// Whether an attempt at the chosen upstream ends before this gateway, if it is stopping. The
    /// latest long requests of the route count, since one that is cut off may have run.
    fn ends_before_stop(&self, pending: &PendingRequest, choice: &Choice, now_us: TimeUs) -> bool {
        let longest_us = self.route_times(&pending.route).longest_us();
        let expected_us = longest_us.max(choice.wait_us + choice.run_us);
        let leaves_time = |it: Stopping| it.leaves_time(pending.deadline_us, expected_us, now_us);
        self.stopping.is_none_or(leaves_time)
    }

    /// The run times of a route; a default when a new plan has removed the route.
    fn route_times(&self, route: &str) -> RunTimes {
        let times = self.run_times.get(route).copied();
        times.unwrap_or_else(|| RunTimes::new(1))
    }

    /// Chooses the upstream of a retry. None when attempts, deadline or retry budget don't allow
    /// one.
    fn choose_retry(&mut self, pending: &PendingRequest, now_us: TimeUs) -> Option<Choice> {
        let attempts = u32::try_from(pending.tried.len()).unwrap_or(u32::MAX);
        if attempts >= pending.attempts_max || pending.deadline_us.reached(now_us) {
            return None;
        }
        let times = self.route_times(&pending.route);
        let service = self.services.get_mut(&pending.service)?;
        let criteria = pending.criteria(&self.config, times, now_us);
        let choice = service.choose(criteria, self.gateway_count, now_us)?;
        let remaining_us = pending.deadline_us.since_us(now_us) as f64;
        let fits = choice.wait_us + choice.run_us < remaining_us
            && self.ends_before_stop(pending, &choice, now_us);
        let service = self.services.get_mut(&pending.service)?;
        let may_retry = fits && service.take_retry(&self.config.bounds, self.gateway_count, now_us);
        may_retry.then_some(choice)
    }

    /// Records an attempt at the chosen upstream and returns where to send it.
    fn start_attempt(
        &mut self,
        request: u64,
        mut pending: PendingRequest,
        choice: Choice,
        now_us: TimeUs,
    ) -> Target {
        let service = self.service_mut(&pending.service.clone(), now_us);
        pending.had_free_slot = service.has_free_slot(choice.index, now_us);
        service.record_sent(choice.index, pending.object, now_us);
        let instance = &service.upstreams[choice.index].instance;
        pending.tried.push(instance.id.clone());
        pending.born_ms = instance.born_ms;
        pending.sent_us = now_us;
        pending.has_affinity = choice.has_affinity;
        let target = Target {
            request,
            route: pending.route.clone(),
            service: pending.service.clone(),
            upstream: instance.id.clone(),
            address: instance.address,
            deadline_us: pending.deadline_us,
            caller: pending.caller.clone(),
            attempt: u32::try_from(pending.tried.len()).unwrap_or(u32::MAX),
            idempotent: pending.idempotent,
            has_affinity: pending.object.map(|_| choice.has_affinity),
            expected_wait_ms: (choice.wait_us / 1e3) as u64,
            expected_run_ms: (choice.run_us / 1e3) as u64,
        };
        self.pending.insert(request, pending);
        target
    }

    /// Updates the estimates of the upstream, service and route with the result of an attempt.
    fn record_ending(
        &mut self,
        pending: &PendingRequest,
        ending: Ending,
        load: Option<Load>,
        now_us: TimeUs,
    ) {
        let Some(service) = self.services.get_mut(&pending.service) else {
            return;
        };
        let Some(id) = pending.tried.last() else {
            return;
        };
        let Some(index) = service.position(id) else {
            return;
        };
        let upstream = &mut service.upstreams[index];
        if upstream.instance.born_ms != pending.born_ms {
            return;
        }
        upstream.own_requests = upstream.own_requests.saturating_sub(1);
        let pauses = upstream.record_ending(ending, now_us);
        if pauses {
            let upstream = id.clone();
            self.state_changes
                .push(StateChange::Paused { upstream, ending });
        }
        if let Some(load) = load {
            service.record_load(index, load, now_us);
        }
        let times = self.run_times.get(&pending.route);
        let attempt = PacedAttempt {
            ending,
            sent_us: pending.sent_us,
            usual_us: times.map_or(f64::MAX, |it| it.run_us(pending.object.is_none())),
            pauses,
        };
        let changes = service.record_paced(index, attempt, self.gateway_count, now_us);
        let pace_change = |change| StateChange::Pace {
            upstream: id.clone(),
            change,
        };
        self.state_changes
            .extend(changes.into_iter().map(pace_change));
        if ending != Ending::Answered {
            return;
        }
        let taken_us = now_us.since_us(pending.sent_us) as f64;
        let Some(times) = self.run_times.get_mut(&pending.route) else {
            return;
        };
        times.record_total(taken_us);
        if pending.had_free_slot {
            let usual_us = times.run_us(pending.has_affinity);
            times.record(taken_us, pending.has_affinity);
            service.record_time(index, taken_us, usual_us, now_us);
        }
    }
}

const fn refuse(refusal: Refusal, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        refusal,
        retry_after_ms,
        best: None,
    }
}
