//! A gateway's side of quotas: the tokens in hand, and what to ask the leader for.

use super::{
    TOKEN_LIFE_MS,
    budget::{Budget, QuotaLimit, QuotaTerms},
    message::{ReturnedTokens, TokenAnswer, TokenReport, TokenWant},
    static_part::StaticRights,
};
use std::collections::{BTreeMap, VecDeque};
use types::TimeUs;

/// How long after the last sign of a leader a gateway counts as in touch, in milliseconds. It is longer
/// than the longest interval of polls, so that one lost poll changes nothing.
const TOUCH_MS: u64 = 2_000;

/// How long an unanswered report keeps another one from being sent for waiting requests, in
/// milliseconds: some round trips between regions.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// The shortest interval of reports for waiting requests, in milliseconds. Requests that arrive in it
/// share one report.
const FETCH_INTERVAL_MIN_MS: u64 = 50;

/// The longest such interval, in milliseconds: requests wait for up to 300 ms.
const FETCH_INTERVAL_MAX_MS: u64 = 200;

/// By how many gateways this interval grows by a millisecond, so that the leader gets at most 4,000
/// reports a second when all wait.
const GATEWAYS_PER_INTERVAL_MS: usize = 4;

/// A gateway with tokens in hand reports at least this often, in milliseconds, to give back the ones
/// that it does not need before they expire.
const REFRESH_MS: u64 = 500;

/// Tokens that are older are given back, in milliseconds, but for those that are used while the answer
/// is under way.
const RETURN_AGE_MS: u64 = 400;

/// What is kept of old tokens, in seconds of demand: a round trip to another region.
const KEPT_S: f64 = 0.1;

/// How many seconds of demand are fetched in advance: until the answer to the next report is here. With
/// a whole second, a tenant near its rate had more tokens in hand than may be outstanding.
const PREFETCH_S: f64 = 0.6;

/// The least demand for which tokens are fetched in advance, in requests per second. Below it most of
/// them would expire unused, and the tenant would lose them.
const PREFETCH_MIN_PER_S: f64 = 4.0;

/// The most reports whose answers may be under way.
const SENT_MAX: usize = 16;

/// The time after which a request may be sent again when nothing better is known, in milliseconds.
const RETRY_DEFAULT_MS: u64 = 1_000;

/// The shortest time after which a refused client may retry, in milliseconds.
const RETRY_MIN_MS: u64 = 50;

/// Where a token is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Granted in a term, for the report of this serial.
    Granted { term: u64, serial: u64 },
    /// The static part.
    Static,
}

/// A token that was taken for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    source: Source,
    expires_us: TimeUs,
    /// The serial of the latest report that named the tenant when it was taken; a later one tells the
    /// leader that it was used.
    reported: u64,
}

/// The result of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The request may run.
    Token(Token),
    /// There is none, but the leader may grant one soon.
    Wait,
    /// There is none, and none can be expected soon.
    Refused {
        /// In how many milliseconds there may be one.
        retry_after_ms: u64,
    },
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Batch {
    term: u64,
    serial: u64,
    tokens: u64,
    expires_us: TimeUs,
}

/// What a gateway has of one tenant.
#[derive(Debug)]
struct TenantStock {
    limit: QuotaLimit,
    /// In the order of their expiry.
    batches: VecDeque<Batch>,
    static_tokens: f64,
    static_filled_us: TimeUs,
    /// Until when the leader said that there is nothing.
    empty_until_us: TimeUs,
    /// The requests of about the last second, weighted with `exp(-age / 1 s)`: an estimate of the
    /// requests per second.
    demand_per_s: f64,
    demand_us: TimeUs,
    /// Requests that wait for a token.
    waiting: u64,
    /// The serial of the last report that named the tenant.
    reported: u64,
    /// Whether tokens were used since then.
    is_unreported: bool,
}

impl TenantStock {
    fn new(limit: QuotaLimit, now_us: TimeUs) -> Self {
        Self {
            limit,
            batches: VecDeque::new(),
            static_tokens: 0.0,
            static_filled_us: now_us,
            empty_until_us: now_us,
            demand_per_s: 0.0,
            demand_us: now_us,
            waiting: 0,
            reported: 0,
            is_unreported: false,
        }
    }

    fn expire(&mut self, now_us: TimeUs) {
        self.batches
            .retain(|batch| batch.tokens > 0 && !batch.expires_us.reached(now_us));
    }

    fn tokens(&self) -> u64 {
        self.batches.iter().map(|batch| batch.tokens).sum()
    }

    fn update_demand(&mut self, requests: f64, now_us: TimeUs) {
        let elapsed_s = now_us.since_us(self.demand_us) as f64 / 1e6;
        self.demand_us = now_us;
        self.demand_per_s = self.demand_per_s * (-elapsed_s).exp() + requests;
    }

    fn take_granted(&mut self, now_us: TimeUs) -> Option<Token> {
        self.expire(now_us);
        let batch = self.batches.front_mut()?;
        batch.tokens -= 1;
        let (term, serial) = (batch.term, batch.serial);
        self.is_unreported = true;
        Some(Token {
            source: Source::Granted { term, serial },
            expires_us: batch.expires_us,
            reported: self.reported,
        })
    }

    /// Fills the static part. Tokens from before `since_us` are gone.
    fn fill_static(&mut self, budget: Budget, since_us: TimeUs, now_us: TimeUs) {
        if self.static_filled_us < since_us {
            self.static_tokens = 0.0;
            self.static_filled_us = since_us;
        }
        let elapsed_s = now_us.since_us(self.static_filled_us) as f64 / 1e6;
        self.static_filled_us = now_us;
        let tokens = self.static_tokens + elapsed_s * budget.per_s;
        self.static_tokens = tokens.min(budget.size);
    }

    /// Takes out the old tokens of a term that are not used soon.
    fn take_surplus(&mut self, term: u64, now_us: TimeUs) -> Vec<ReturnedTokens> {
        let mut kept = (self.demand_per_s * KEPT_S).ceil() as u64 + self.waiting;
        let fresh_ms = TOKEN_LIFE_MS - RETURN_AGE_MS;
        let mut returned = Vec::new();
        for batch in &mut self.batches {
            let is_old = batch.expires_us.since_us(now_us) <= fresh_ms * 1_000;
            if !is_old || batch.term != term {
                continue;
            }
            let tokens = batch.tokens.saturating_sub(kept);
            kept = kept.saturating_sub(batch.tokens);
            batch.tokens -= tokens;
            if tokens > 0 {
                let serial = batch.serial;
                returned.push(ReturnedTokens { serial, tokens });
            }
        }
        returned
    }

    /// How many tokens to ask for: one for each request that waits, and those of the time until the next
    /// answer where there is enough demand.
    fn wanted(&self) -> u64 {
        let expected = match self.demand_per_s >= PREFETCH_MIN_PER_S {
            true => (self.demand_per_s * PREFETCH_S) as u64,
            false => 0,
        };
        (self.waiting + expected).saturating_sub(self.tokens())
    }

    /// What to tell the leader; none when there is nothing.
    fn want(
        &mut self,
        tenant: &str,
        (term, serial): (u64, u64),
        now_us: TimeUs,
    ) -> Option<TokenWant> {
        let is_idle = self.waiting == 0 && self.batches.is_empty() && !self.is_unreported;
        if is_idle && self.demand_per_s < PREFETCH_MIN_PER_S {
            return None;
        }
        self.expire(now_us);
        self.update_demand(0.0, now_us);
        let returned = self.take_surplus(term, now_us);
        let wanted = self.wanted();
        if wanted == 0 && returned.is_empty() && !self.is_unreported {
            return None;
        }
        self.is_unreported = false;
        self.reported = serial;
        let of_term = self.batches.iter().filter(|batch| batch.term == term);
        Some(TokenWant {
            tenant: tenant.to_owned(),
            wanted,
            held: of_term.map(|batch| batch.tokens).sum(),
            returned,
        })
    }
}

/// The tokens of a gateway. Every call is given the current time of a clock that goes on while the VM
/// is suspended.
#[derive(Debug)]
pub struct Stock {
    terms: QuotaTerms,
    incarnation: u64,
    tenants: BTreeMap<String, TenantStock>,
    rights: StaticRights,
    /// The serial of the latest report.
    serial: u64,
    /// The serials of reports that have no answer yet, with when they were sent.
    sent: VecDeque<(u64, TimeUs)>,
    applied: u64,
    term: u64,
    stamp_us: u64,
    /// Until when a leader is taken to be there; after the start also before the first has answered.
    touch_until_us: TimeUs,
    refresh_us: Option<TimeUs>,
    /// Requests of all tenants that wait for a token.
    waiting: u64,
}

impl Stock {
    /// A stock without tokens, of a run of a gateway.
    #[must_use]
    pub const fn new(incarnation: u64, terms: QuotaTerms, now_us: TimeUs) -> Self {
        Self {
            terms,
            incarnation,
            tenants: BTreeMap::new(),
            rights: StaticRights::new(&terms, now_us),
            serial: 0,
            sent: VecDeque::new(),
            applied: 0,
            term: 0,
            stamp_us: 0,
            touch_until_us: now_us.after_ms(TOUCH_MS),
            refresh_us: None,
            waiting: 0,
        }
    }

    /// Sets the limits of all tenants that have one. Where a limit has changed, the static
    /// part starts empty, and the leader is asked anew; granted tokens last for a second at most.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl Iterator<Item = (&'a str, QuotaLimit)>,
        now_us: TimeUs,
    ) {
        let mut tenants = BTreeMap::new();
        for (tenant, limit) in limits {
            let known = self.tenants.remove_entry(tenant);
            let (name, mut stock) =
                known.unwrap_or_else(|| (tenant.to_owned(), TenantStock::new(limit, now_us)));
            if stock.limit != limit {
                stock.limit = limit;
                stock.static_tokens = 0.0;
                stock.static_filled_us = now_us;
                // The leader said so of the earlier limit.
                stock.empty_until_us = now_us;
            }
            tenants.insert(name, stock);
        }
        self.tenants = tenants;
        self.waiting = self.tenants.values().map(|stock| stock.waiting).sum();
    }

    /// Whether a tenant has a limit.
    #[must_use]
    pub fn is_limited(&self, tenant: &str) -> bool {
        self.tenants.contains_key(tenant)
    }

    /// Records an answer of a replica that certainly leads, or knows who does, and the number of gateways
    /// in it.
    pub fn record_gateways(&mut self, gateways: usize, now_us: TimeUs) {
        self.rights.record_gateways(gateways, now_us);
    }

    /// Records an answer of a replica that certainly leads.
    pub fn record_leader(&mut self, now_us: TimeUs) {
        self.touch_until_us = now_us.after_ms(TOUCH_MS);
    }

    /// Whether a leader has answered lately, so that it may grant tokens.
    #[must_use]
    pub fn is_in_touch(&self, now_us: TimeUs) -> bool {
        !self.touch_until_us.reached(now_us)
    }

    /// Counts a new request of a tenant, once for each, whether or not it gets a token.
    pub fn record_request(&mut self, tenant: &str, now_us: TimeUs) {
        if let Some(stock) = self.tenants.get_mut(tenant) {
            stock.update_demand(1.0, now_us);
        }
    }

    /// Takes a token for a request of a tenant with a limit. Only a gateway that is out of touch uses its
    /// static part.
    pub fn take(&mut self, tenant: &str, now_us: TimeUs) -> Taken {
        let is_in_touch = self.is_in_touch(now_us);
        let Some(stock) = self.tenants.get_mut(tenant) else {
            return Taken::Refused {
                retry_after_ms: RETRY_DEFAULT_MS,
            };
        };
        if let Some(token) = stock.take_granted(now_us) {
            return Taken::Token(token);
        }
        if is_in_touch {
            return match stock.empty_until_us.reached(now_us) {
                true => Taken::Wait,
                false => Taken::Refused {
                    retry_after_ms: self.retry_after_ms(tenant, now_us),
                },
            };
        }
        match self.take_static(tenant, now_us) {
            Some(token) => Taken::Token(token),
            None => Taken::Refused {
                retry_after_ms: self.retry_after_ms(tenant, now_us),
            },
        }
    }

    /// Whether a request can only wait: there is no token, but the leader may grant one soon.
    #[must_use]
    pub fn must_wait(&self, tenant: &str, now_us: TimeUs) -> bool {
        let Some(stock) = self.tenants.get(tenant) else {
            return false;
        };
        let is_usable = |batch: &Batch| batch.tokens > 0 && !batch.expires_us.reached(now_us);
        self.is_in_touch(now_us)
            && stock.empty_until_us.reached(now_us)
            && !stock.batches.iter().any(is_usable)
    }

    fn take_static(&mut self, tenant: &str, now_us: TimeUs) -> Option<Token> {
        let stock = self.tenants.get_mut(tenant)?;
        let since_us = self.rights.accrues_since_us(now_us)?;
        let budget = Budget::new(stock.limit, &self.terms);
        let budget = budget.static_part(self.rights.parts(), &self.terms)?;
        stock.fill_static(budget, since_us, now_us);
        if stock.static_tokens < 1.0 {
            return None;
        }
        stock.static_tokens -= 1.0;
        self.rights.record_used(now_us);
        Some(Token {
            source: Source::Static,
            expires_us: now_us,
            reported: stock.reported,
        })
    }

    /// In how many milliseconds a tenant without tokens may have some.
    #[must_use]
    pub fn retry_after_ms(&self, tenant: &str, now_us: TimeUs) -> u64 {
        let Some(stock) = self.tenants.get(tenant) else {
            return RETRY_DEFAULT_MS;
        };
        if self.is_in_touch(now_us) {
            let empty_ms = stock.empty_until_us.since_us(now_us) / 1_000;
            return empty_ms.max(RETRY_MIN_MS);
        }
        self.rights.wait_ms(now_us).max(RETRY_DEFAULT_MS)
    }

    /// Takes back the token of a request that certainly did not run. It is lost if it has expired, if a
    /// report has told the leader that it was used, or if it was a static one: the static part may have
    /// filled up again since it was taken.
    pub fn give_back(&mut self, tenant: &str, token: Token, now_us: TimeUs) {
        let Some(stock) = self.tenants.get_mut(tenant) else {
            return;
        };
        match token.source {
            Source::Static => {}
            Source::Granted { .. }
                if token.expires_us.reached(now_us) || token.reported != stock.reported => {}
            Source::Granted { term, serial } => {
                let mut batches = stock.batches.iter_mut();
                match batches.find(|it| (it.term, it.serial) == (term, serial)) {
                    Some(batch) => batch.tokens += 1,
                    None => stock.batches.push_front(Batch {
                        term,
                        serial,
                        tokens: 1,
                        expires_us: token.expires_us,
                    }),
                }
            }
        }
    }

    /// Counts a request that waits for a token.
    pub fn begin_wait(&mut self, tenant: &str) {
        if let Some(stock) = self.tenants.get_mut(tenant) {
            stock.waiting += 1;
            self.waiting += 1;
        }
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self, tenant: &str) {
        if let Some(stock) = self.tenants.get_mut(tenant) {
            // A tenant whose limit came back meanwhile has a new count.
            let before = stock.waiting;
            stock.waiting = before.saturating_sub(1);
            self.waiting -= before - stock.waiting;
        }
    }

    /// Whether to send the leader a report now, before it is due anyway: requests wait for tokens, or
    /// tokens in hand get old.
    #[must_use]
    pub fn is_report_due(&self, now_us: TimeUs) -> bool {
        if !self.is_in_touch(now_us) {
            return false;
        }
        if self.refresh_us.is_some_and(|at| at.reached(now_us)) {
            return true;
        }
        if self.waiting == 0 || !self.may_fetch(now_us) {
            return false;
        }
        let waits = |stock: &TenantStock| {
            stock.waiting > stock.tokens() && stock.empty_until_us.reached(now_us)
        };
        self.tenants.values().any(waits)
    }

    /// Whether the last report is so long ago that there may be one for requests that wait.
    fn may_fetch(&self, now_us: TimeUs) -> bool {
        let Some((serial, sent_us)) = self.sent.back().copied() else {
            return true;
        };
        let interval_ms = match serial > self.applied {
            true => ANSWER_TIMEOUT_MS.max(self.fetch_interval_ms()),
            false => self.fetch_interval_ms(),
        };
        sent_us.after_ms(interval_ms).reached(now_us)
    }

    fn fetch_interval_ms(&self) -> u64 {
        let interval_ms = (self.rights.parts() / GATEWAYS_PER_INTERVAL_MS) as u64;
        interval_ms.clamp(FETCH_INTERVAL_MIN_MS, FETCH_INTERVAL_MAX_MS)
    }

    /// The report for the leader's next poll, which is about to be sent; none where no tenant has a
    /// limit.
    pub fn report(&mut self, now_us: TimeUs) -> Option<TokenReport> {
        if self.tenants.is_empty() {
            return None;
        }
        self.serial += 1;
        self.sent.push_back((self.serial, now_us));
        while self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.refresh_us = None;
        // A gateway that is out of touch needs its static part soon.
        let may_pledge = self.term > 0 && self.is_in_touch(now_us);
        let term = self.term;
        let tenants = self.tenants.iter_mut();
        let id = (term, self.serial);
        let wants = tenants.filter_map(|(tenant, stock)| stock.want(tenant, id, now_us));
        Some(TokenReport {
            incarnation: self.incarnation,
            serial: self.serial,
            applied: self.applied,
            term,
            stamp_us: self.stamp_us,
            pledges: may_pledge && self.rights.pledge(now_us),
            parts: self.rights.parts(),
            wants: wants.collect(),
        })
    }

    /// Applies the leader's answer to a report. Returns how many tokens came with it; none if it is late,
    /// was applied before, or is of an earlier leader.
    pub fn apply(&mut self, answer: &TokenAnswer, now_us: TimeUs) -> u64 {
        let sent = self
            .sent
            .iter()
            .find(|(serial, _)| *serial == answer.serial);
        let Some((_, sent_us)) = sent.copied() else {
            return 0;
        };
        if answer.serial <= self.applied || answer.term < self.term {
            return 0;
        }
        self.applied = answer.serial;
        self.term = answer.term;
        self.stamp_us = answer.stamp_us;
        let expires_us = sent_us.after_ms(TOKEN_LIFE_MS);
        let mut granted = 0;
        for grant in &answer.grants {
            let Some(stock) = self.tenants.get_mut(&grant.tenant) else {
                continue;
            };
            stock.empty_until_us = now_us.after_ms(grant.retry_after_ms);
            if grant.tokens == 0 {
                continue;
            }
            // Also when they have expired: the leader is to learn that they are not held.
            stock.is_unreported = true;
            if !expires_us.reached(now_us) {
                granted += grant.tokens;
                stock.batches.push_back(Batch {
                    term: answer.term,
                    serial: answer.serial,
                    tokens: grant.tokens,
                    expires_us,
                });
            }
        }
        if granted > 0 {
            let refresh_us = sent_us.after_ms(REFRESH_MS);
            self.refresh_us = Some(self.refresh_us.unwrap_or(refresh_us).min(refresh_us));
        }
        granted
    }
}
