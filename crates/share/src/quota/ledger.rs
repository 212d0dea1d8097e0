//! The leader's side of quotas: a token bucket for each tenant with a limit.

use super::{
    OUTSTANDING_FRACTION, OUTSTANDING_MS, PLEDGE_COUNTED_MS, STATIC_FRACTION,
    budget::{Budget, QuotaLimit, QuotaTerms},
    holders::Holders,
    message::{TokenAnswer, TokenGrant, TokenReport, TokenWant},
};
use crate::pool::HolderId;
use serde::Serialize;
use std::collections::BTreeMap;
use types::{EntryName, TimeUs};

/// The shortest time after which a gateway that got fewer tokens than it wanted asks again, in
/// milliseconds. It bounds the messages when a limit is far exceeded to five a second and gateway.
const RETRY_MIN_MS: u64 = 200;

/// The longest such time, in milliseconds.
const RETRY_MAX_MS: u64 = 5_000;

/// How long the serials of a gateway that sends no reports are remembered, in milliseconds. No message
/// is under way for that long.
const GATEWAY_LIFE_MS: u64 = 60_000;

/// The latest report of one run of a gateway.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    serial: u64,
    expires_us: TimeUs,
}

/// A gateway's pledge to take no static tokens.
#[derive(Clone, Copy, Debug)]
struct Pledge {
    /// The number of static parts, of which the gateway has one.
    parts: usize,
    until_us: TimeUs,
}

/// The bucket of one tenant.
#[derive(Debug)]
struct TenantBucket {
    limit: QuotaLimit,
    budget: Budget,
    tokens: f64,
    /// [`Ledger::filled_s`] when the bucket was last filled.
    filled_s: f64,
    /// Until when tokens that were granted before the bucket was created may be in hand; none once that
    /// time has passed and the bucket has its whole size.
    settles_us: Option<TimeUs>,
    holders: Holders,
}

impl TenantBucket {
    fn new(limit: QuotaLimit, terms: &QuotaTerms, filled_s: f64, now_us: TimeUs) -> Self {
        Self {
            limit,
            budget: Budget::new(limit, terms),
            tokens: 0.0,
            filled_s,
            settles_us: Some(now_us.after_ms(OUTSTANDING_MS)),
            holders: Holders::default(),
        }
    }

    /// Adds the tokens since the last call. Expiries and the end of [`Self::settles_us`] make room in the
    /// bucket, so each is handled with what the bucket got before it: at most what is left when 0.7 of
    /// the time after it is taken off, the least by which the ledger fills.
    fn fill(&mut self, filled_s: f64, part: f64, now_us: TimeUs) {
        let mut left_s = filled_s - self.filled_s;
        self.filled_s = filled_s;
        while let Some(event_us) = self.next_event_us().filter(|at| at.reached(now_us)) {
            let after_s = now_us.since_us(event_us) as f64 / 1e6 * (1.0 - STATIC_FRACTION);
            let before_s = (left_s - after_s).max(0.0);
            left_s -= before_s;
            self.add(before_s * self.budget.per_s, part);
            self.holders.expire(event_us);
            if self.settles_us.is_some_and(|at| at.reached(event_us)) {
                self.settles_us = None;
            }
        }
        self.add(left_s * self.budget.per_s, part);
        self.holders.expire(now_us);
    }

    fn next_event_us(&self) -> Option<TimeUs> {
        let expiry_us = self.holders.next_expiry_us();
        expiry_us.into_iter().chain(self.settles_us).min()
    }

    /// Adds tokens up to the size, less what is outstanding.
    fn add(&mut self, tokens: f64, part: f64) {
        let size = match self.settles_us {
            Some(_) => self.budget.size * part * (1.0 - OUTSTANDING_FRACTION),
            None => self.budget.size * part,
        };
        let room = (size - self.holders.outstanding() as f64).max(0.0);
        self.tokens = (self.tokens + tokens).min(room);
    }

    fn outstanding_max(&self, part: f64) -> f64 {
        self.budget.size * part * OUTSTANDING_FRACTION
    }

    /// The whole tokens that may be granted now.
    fn available(&self, part: f64) -> u64 {
        let room = self.outstanding_max(part) - self.holders.outstanding() as f64;
        self.tokens.min(room).max(0.0) as u64
    }

    fn grant(
        &mut self,
        (gateway, serial): (&HolderId, u64),
        want: &TokenWant,
        part: f64,
        now_us: TimeUs,
    ) -> TokenGrant {
        let available = self.available(part);
        let tokens = self.holders.offer(gateway, want.wanted, available);
        self.tokens -= tokens as f64;
        let unserved = want.wanted - tokens;
        // Then there will be more as soon as gateways report what they have used.
        let is_room_short = tokens == available && self.tokens >= 1.0;
        self.holders
            .record(gateway, serial, tokens, unserved, now_us);
        TokenGrant {
            tenant: want.tenant.clone(),
            tokens,
            retry_after_ms: match unserved > 0 && !is_room_short {
                true => self.retry_after_ms(part),
                false => 0,
            },
        }
    }

    /// When there is a token for each gateway that wants some.
    fn retry_after_ms(&self, part: f64) -> u64 {
        let missing = self.holders.unserved_count() as f64 - self.tokens;
        let wait_ms = missing.max(0.0) / (self.budget.per_s * part) * 1e3;
        // Without a rate the wait is infinite or undefined; both become the longest.
        match wait_ms.is_nan() {
            true => RETRY_MAX_MS,
            false => (wait_ms as u64).clamp(RETRY_MIN_MS, RETRY_MAX_MS),
        }
    }
}

/// One tenant in the control replica's process dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TenantRow {
    /// The tenant.
    pub tenant: String,
    /// Its limit, in thousandths of a request per second.
    pub rate_milli_per_s: u64,
    /// Its burst, in requests.
    pub burst: u64,
    /// The whole tokens in the leader's bucket when a gateway last wanted some.
    pub tokens: u64,
    /// The tokens that gateways may have in hand.
    pub outstanding: u64,
    /// The gateways that wanted more than they got.
    pub unserved_gateways: usize,
}

/// Grants the tokens of all tenants with a limit, for one term of leadership.
#[derive(Debug)]
pub struct Ledger {
    term: u64,
    terms: QuotaTerms,
    now_us: TimeUs,
    /// The integral over time of the part of a budget that the leader has, in seconds: by how much a
    /// bucket that fills by one token per second has filled since the start.
    filled_s: f64,
    last_reports: BTreeMap<HolderId, LastReport>,
    next_serial_check_us: TimeUs,
    pledges: BTreeMap<EntryName, Pledge>,
    /// The sum of the parts that are pledged.
    pledged: f64,
    /// No pledge ends before.
    next_pledge_end_us: TimeUs,
    tenants: BTreeMap<String, TenantBucket>,
}

impl Ledger {
    /// The ledger of a leader whose `term` began at `now_us`. Every bucket is empty, since the leader
    /// before may have granted all.
    #[must_use]
    pub const fn new(term: u64, terms: QuotaTerms, now_us: TimeUs) -> Self {
        Self {
            term,
            terms,
            now_us,
            filled_s: 0.0,
            last_reports: BTreeMap::new(),
            next_serial_check_us: now_us,
            pledges: BTreeMap::new(),
            pledged: 0.0,
            next_pledge_end_us: now_us,
            tenants: BTreeMap::new(),
        }
    }

    /// Sets the limits of all tenants that have one. A lowered limit holds for all later grants: the
    /// bucket is cut to its new size. A tenant that had none starts with an empty bucket.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl Iterator<Item = (&'a str, QuotaLimit)>,
        now_us: TimeUs,
    ) {
        self.advance(now_us);
        let part = self.part();
        let mut tenants = BTreeMap::new();
        for (tenant, limit) in limits {
            let (name, mut bucket) = self.tenants.remove_entry(tenant).unwrap_or_else(|| {
                let bucket = TenantBucket::new(limit, &self.terms, self.filled_s, now_us);
                (tenant.to_owned(), bucket)
            });
            bucket.fill(self.filled_s, part, now_us);
            if bucket.limit != limit {
                bucket.limit = limit;
                bucket.budget = Budget::new(limit, &self.terms);
                bucket.add(0.0, part);
            }
            tenants.insert(name, bucket);
        }
        self.tenants = tenants;
    }

    /// Answers a gateway's report; none if this or a later report of it was answered before.
    /// `gateways` is the number of gateways that may have a static part, as far as the leader knows.
    pub fn answer(
        &mut self,
        gateway: &HolderId,
        gateways: usize,
        report: &TokenReport,
        now_us: TimeUs,
    ) -> Option<TokenAnswer> {
        self.advance(now_us);
        let known = self.last_reports.get(gateway);
        if known.is_some_and(|known| report.serial <= known.serial) {
            return None;
        }
        let last_report = LastReport {
            serial: report.serial,
            expires_us: now_us.after_ms(GATEWAY_LIFE_MS),
        };
        self.last_reports.insert(gateway.clone(), last_report);
        let is_own = report.term == self.term;
        if is_own && report.pledges {
            let pledge = Pledge {
                parts: report.parts.max(gateways).max(1),
                until_us: TimeUs(report.stamp_us).after_ms(PLEDGE_COUNTED_MS),
            };
            self.add_pledge(&gateway.entry, pledge, now_us);
        }
        let part = self.part();
        let mut grants = Vec::new();
        for want in &report.wants {
            let Some(bucket) = self.tenants.get_mut(&want.tenant) else {
                // The gateway doesn't know yet that the tenant's limit is gone.
                grants.push(TokenGrant {
                    tenant: want.tenant.clone(),
                    tokens: want.wanted,
                    retry_after_ms: 0,
                });
                continue;
            };
            bucket.fill(self.filled_s, part, now_us);
            if is_own {
                let back = bucket.holders.settle(gateway, report.applied, want);
                bucket.add(back as f64, part);
            }
            if want.wanted > 0 {
                let answered = (gateway, report.serial);
                grants.push(bucket.grant(answered, want, part, now_us));
            }
        }
        Some(TokenAnswer {
            serial: report.serial,
            term: self.term,
            stamp_us: now_us.0,
            grants,
        })
    }

    /// Every tenant with a limit, for the process dump.
    pub fn rows(&self) -> impl Iterator<Item = TenantRow> {
        self.tenants.iter().map(|(tenant, bucket)| TenantRow {
            tenant: tenant.clone(),
            rate_milli_per_s: bucket.limit.rate_milli_per_s,
            burst: bucket.limit.burst,
            tokens: bucket.tokens as u64,
            outstanding: bucket.holders.outstanding(),
            unserved_gateways: bucket.holders.unserved_count(),
        })
    }

    /// Lets time pass. A pledge that ended on the way counts for none of the time.
    fn advance(&mut self, now_us: TimeUs) {
        let elapsed_us = now_us.since_us(self.now_us);
        self.now_us = self.now_us.max(now_us);
        self.expire(now_us);
        self.filled_s += elapsed_us as f64 / 1e6 * self.part();
    }

    fn add_pledge(&mut self, gateway: &EntryName, pledge: Pledge, now_us: TimeUs) {
        if pledge.until_us.reached(now_us) {
            return;
        }
        let part = |pledge: Pledge| 1.0 / pledge.parts as f64;
        let earlier = self.pledges.insert(gateway.clone(), pledge);
        self.pledged += part(pledge) - earlier.map_or(0.0, part);
        self.next_pledge_end_us = self.next_pledge_end_us.min(pledge.until_us);
    }

    fn expire(&mut self, now_us: TimeUs) {
        if self.next_pledge_end_us.reached(now_us) {
            self.pledges.retain(|_, it| !it.until_us.reached(now_us));
            let pledges = || self.pledges.values();
            self.pledged = pledges().map(|it| 1.0 / it.parts as f64).sum();
            let end_us = pledges().map(|it| it.until_us).min();
            self.next_pledge_end_us = end_us.unwrap_or(TimeUs(u64::MAX));
        }
        if self.next_serial_check_us.reached(now_us) {
            self.next_serial_check_us = now_us.after_ms(GATEWAY_LIFE_MS);
            self.last_reports
                .retain(|_, report| !report.expires_us.reached(now_us));
        }
    }

    /// The part of every budget that the leader has: all but the static parts that are not pledged.
    fn part(&self) -> f64 {
        1.0 - STATIC_FRACTION * (1.0 - self.pledged).clamp(0.0, 1.0)
    }
}
