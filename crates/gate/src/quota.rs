//! Quotas of tenants at a gateway: tokens for requests, and the requests that wait for one.

use crate::{
    api::{Decision, Refusal},
    gate::Gate,
    requests::PendingRequest,
};
use control::GatewayPollAnswer;
use plan::{Tenant, TenantTable};
use share::{QuotaLimit, QuotaTerms, Stock, Taken, Token, TokenReport};
use std::collections::VecDeque;
use types::TimeUs;

/// The longest time for which a request waits for a token, in milliseconds: some round trips between
/// regions, with one lost message.
const WAIT_MAX_MS: u64 = 300;

/// The part of the client's wait time that a request may wait for a token.
const WAIT_DIVISOR: u64 = 3;

/// The most requests that wait for tokens.
const HELD_MAX: usize = 1_024;

/// How often all replicas are polled while requests wait and the leader is unknown, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;

/// What a request needs of its tenant's quota.
#[derive(Debug, Default)]
pub(crate) struct QuotaClaim {
    /// The tenant; none when it has no limit.
    tenant: Option<String>,
    token: Option<Token>,
    /// Whether the request waited for its token.
    was_held: bool,
}

impl QuotaClaim {
    pub(crate) fn new(tenant: Option<&Tenant>) -> Self {
        let limited = tenant.filter(|tenant| tenant.is_limited());
        Self {
            tenant: limited.map(|tenant| tenant.name.clone()),
            token: None,
            was_held: false,
        }
    }

    /// Whether the request was counted before, when it first arrived.
    pub(crate) const fn was_held(&self) -> bool {
        self.was_held
    }
}

/// A request that waits for a token.
#[derive(Debug)]
struct HeldRequest {
    request: u64,
    pending: PendingRequest,
    until_us: TimeUs,
}

/// The tokens of a gateway, and the requests that wait for one.
#[derive(Debug)]
pub(crate) struct Quotas {
    stock: Stock,
    /// The replica that last certainly led.
    leader: Option<String>,
    next_search_us: TimeUs,
    /// In the order of their arrival.
    held: VecDeque<HeldRequest>,
    granted: u64,
}

impl Quotas {
    pub(crate) const fn new(incarnation: u64, terms: QuotaTerms, now_us: TimeUs) -> Self {
        Self {
            stock: Stock::new(incarnation, terms, now_us),
            leader: None,
            next_search_us: now_us,
            held: VecDeque::new(),
            granted: 0,
        }
    }

    pub(crate) fn held_count(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn set_limits(&mut self, tenants: &TenantTable, now_us: TimeUs) {
        let limited = tenants.tenants().filter(|tenant| tenant.is_limited());
        let limits = limited.map(|tenant| {
            let limit = QuotaLimit {
                rate_milli_per_s: tenant.rate_milli_per_s,
                burst: tenant.burst,
            };
            (tenant.name.as_str(), limit)
        });
        self.stock.set_limits(limits, now_us);
    }

    /// Applies what an answer says of the leader, the number of gateways and tokens.
    pub(crate) fn handle_answer(
        &mut self,
        replica: &str,
        answer: &GatewayPollAnswer,
        now_us: TimeUs,
    ) {
        if answer.knows_leader {
            self.stock.record_gateways(answer.gateways, now_us);
        }
        if answer.is_certain {
            self.stock.record_leader(now_us);
            if self.leader.as_deref() != Some(replica) {
                self.leader = Some(replica.to_owned());
            }
        }
        if let Some(tokens) = &answer.tokens {
            self.granted += self.stock.apply(tokens, now_us);
        }
    }

    /// The replicas to poll for tokens before they are due anyway: the leader, or all while it is
    /// unknown.
    pub(crate) fn due_polls<'a>(
        &mut self,
        mut replicas: impl Iterator<Item = &'a str>,
        now_us: TimeUs,
    ) -> Vec<String> {
        if !self.stock.is_report_due(now_us) {
            return Vec::new();
        }
        match &self.leader {
            Some(leader) => {
                let leader = replicas.find(|replica| replica == leader);
                leader.map(str::to_owned).into_iter().collect()
            }
            None if self.next_search_us.reached(now_us) => {
                self.next_search_us = now_us.after_ms(SEARCH_INTERVAL_MS);
                replicas.map(str::to_owned).collect()
            }
            None => Vec::new(),
        }
    }

    fn report(&mut self, replica: &str, now_us: TimeUs) -> Option<TokenReport> {
        let is_leader = self.leader.as_deref() == Some(replica);
        is_leader.then(|| self.stock.report(now_us)).flatten()
    }

    /// Takes a token for a request, unless it has one or needs none.
    pub(crate) fn take(&mut self, claim: &mut QuotaClaim, now_us: TimeUs) -> TokenState {
        let (Some(tenant), None) = (&claim.tenant, claim.token) else {
            return TokenState::Ready;
        };
        if !self.stock.is_limited(tenant) {
            // The limit went while the request waited.
            return TokenState::Ready;
        }
        if !claim.was_held {
            self.stock.record_request(tenant, now_us);
        }
        match self.stock.take(tenant, now_us) {
            Taken::Token(token) => {
                claim.token = Some(token);
                TokenState::Ready
            }
            Taken::Wait => TokenState::Wait,
            Taken::Refused { retry_after_ms } => TokenState::Refused(refuse(retry_after_ms)),
        }
    }

    /// Takes back the token of a request that certainly did not run.
    pub(crate) fn give_back(&mut self, claim: &QuotaClaim, now_us: TimeUs) {
        if let (Some(tenant), Some(token)) = (&claim.tenant, claim.token) {
            self.stock.give_back(tenant, token, now_us);
        }
    }

    /// Holds a request until it gets a token, for a part of the `remaining_ms` that its client waits.
    pub(crate) fn hold(
        &mut self,
        request: u64,
        mut pending: PendingRequest,
        remaining_ms: u64,
        now_us: TimeUs,
    ) -> Decision {
        let claim = &mut pending.quota;
        let wait_ms = WAIT_MAX_MS.min(remaining_ms / WAIT_DIVISOR);
        let tenant = claim.tenant.as_deref().unwrap_or_default();
        if self.held.len() >= HELD_MAX || wait_ms == 0 {
            let retry_after_ms = self.stock.retry_after_ms(tenant, now_us);
            return refuse(retry_after_ms);
        }
        self.stock.begin_wait(tenant);
        claim.was_held = true;
        self.held.push_back(HeldRequest {
            request,
            pending,
            until_us: now_us.after_ms(wait_ms),
        });
        Decision::Wait
    }

    /// Drops a request that waits, since its client has left.
    pub(crate) fn drop_held(&mut self, request: u64) {
        let index = self.held.iter().position(|it| it.request == request);
        if let Some(held) = index.and_then(|index| self.held.remove(index)) {
            self.end_wait(&held);
        }
    }

    fn end_wait(&mut self, held: &HeldRequest) {
        if let Some(tenant) = &held.pending.quota.tenant {
            self.stock.end_wait(tenant);
        }
    }

    /// Removes the first waiting request at or after `index` that there is something to decide for.
    /// Returns it with the index to go on from.
    fn next_decidable(&mut self, index: usize, now_us: TimeUs) -> Option<(usize, HeldRequest)> {
        let stock = &self.stock;
        let is_decidable = |held: &HeldRequest| {
            let tenant = held.pending.quota.tenant.as_deref().unwrap_or_default();
            held.until_us.reached(now_us) || !stock.must_wait(tenant, now_us)
        };
        let found = self.held.iter().skip(index).position(is_decidable)?;
        let held = self.held.remove(index + found)?;
        self.end_wait(&held);
        Some((index + found, held))
    }
}

/// The result of asking for a token.
#[derive(Debug)]
pub(crate) enum TokenState {
    /// The request has one, or needs none.
    Ready,
    /// It must wait for one.
    Wait,
    /// It is refused.
    Refused(Decision),
}

fn refuse(retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        refusal: Refusal::Quota,
        retry_after_ms,
        best: None,
    }
}

impl Gate {
    /// Sets the bound that tenants' quotas keep, and a number that differs after every restart.
    #[must_use]
    pub fn with_quotas(mut self, incarnation: u64, terms: QuotaTerms, now_us: TimeUs) -> Self {
        self.quotas = Quotas::new(incarnation, terms, now_us);
        self
    }

    /// The report on tokens for a poll of this replica, which is about to be sent; none unless it is the
    /// leader and some tenant has a limit.
    pub fn token_report(&mut self, replica: &str, now_us: TimeUs) -> Option<TokenReport> {
        let on_quota_clock_us = self.with_suspension(now_us);
        self.quotas.report(replica, on_quota_clock_us)
    }

    /// Returns the decisions on requests for which [`Decision::Wait`] was returned, made with the present
    /// state. Those for which there is none yet keep waiting.
    pub fn take_decided(&mut self, now_us: TimeUs) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        let mut index = 0;
        let on_quota_clock_us = self.with_suspension(now_us);
        while let Some((next, held)) = self.quotas.next_decidable(index, on_quota_clock_us) {
            index = next;
            let HeldRequest {
                request, pending, ..
            } = held;
            let claim = &pending.quota;
            let tenant = claim.tenant.as_deref().unwrap_or_default();
            let decision = match self.quotas.stock.must_wait(tenant, on_quota_clock_us) {
                // The time to wait is over.
                true => {
                    let stock = &self.quotas.stock;
                    refuse(stock.retry_after_ms(tenant, on_quota_clock_us))
                }
                false => self.admit(request, pending, now_us),
            };
            decided.push((request, decision));
        }
        decided
    }

    /// Ends a request that was decided to be forwarded, but was not sent, since its client had left.
    pub fn withdraw(&mut self, request: u64, now_us: TimeUs) {
        if let Some(pending) = self.end_unsent(request, now_us) {
            self.give_back_token(&pending, now_us);
        }
    }

    /// Returns the token of a request that certainly does not run.
    pub(crate) fn give_back_token(&mut self, pending: &PendingRequest, now_us: TimeUs) {
        let on_quota_clock_us = self.with_suspension(now_us);
        self.quotas.give_back(&pending.quota, on_quota_clock_us);
    }

    /// Returns the number of tokens granted since the last call, and clears it.
    pub fn take_granted_tokens(&mut self) -> u64 {
        std::mem::take(&mut self.quotas.granted)
    }
}
