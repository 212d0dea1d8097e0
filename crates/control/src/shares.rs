//! Grants shares of capacities and links, and tokens of tenants, only while this replica is certain to be the leader.
//!
//! A leader confirms its leadership by a read: a majority answers a round of the leader's messages
//! that began after the read was requested. Those replicas refuse to vote for another candidate
//! until the election timeout has passed, so that there can be no other leader until then. All times
//! here are those of a clock that counts the time in which the machine was suspended, since the other
//! replicas go on meanwhile.

use plan::Steering;
use raft::Status;
use share::{
    Allocator, Grant, HolderId, Ledger, Pool, PoolRow, QuotaLimit, QuotaTerms, TenantRow,
    TokenAnswer, TokenReport, Want,
};
use state::State;
use std::collections::BTreeSet;
use types::{EntryName, Key, Kind, RegionName, Resource, ResourceName, Spec, TimeUs};

/// The request number of the reads that confirm leadership; no other request uses it.
pub(crate) const LEADERSHIP_READ: u64 = 0;

/// The interval between these reads, in milliseconds.
const CONFIRM_PERIOD_MS: u64 = 200;

/// The leader stops these reads when no entry has asked for a share for this long, in milliseconds.
const DEMAND_TIMEOUT_MS: u64 = 5_000;

/// The percentage subtracted from the time for which followers refuse votes, since clock rates
/// differ.
const CLOCK_DRIFT_PERCENT: u64 = share::CLOCK_DRIFT_PERCENT;

/// The leadership of one term.
#[derive(Debug)]
struct Leadership {
    term: u64,
    /// The log's last index when the leadership began; later revisions were declared under it.
    start_index: u64,
    allocator: Allocator,
    /// When the unanswered read started, if there is one.
    read_started_us: Option<TimeUs>,
    next_read_us: TimeUs,
    demand_until_us: TimeUs,
    confirmed_until_us: TimeUs,
    /// The revision whose limits the allocator has; 0 before the first.
    limits_revision: u64,
    ledger: Ledger,
    /// The version of the plan whose quotas the ledger has; none before the first.
    quotas_version: Option<u64>,
}

/// The shares of the current leadership, if this replica leads.
#[derive(Debug)]
pub(crate) struct Shares {
    election_timeout_min_us: u64,
    quota_terms: QuotaTerms,
    leadership: Option<Leadership>,
}

impl Shares {
    /// A replica that does not lead. `election_timeout_min_us` is the time for which followers
    /// refuse votes.
    pub(crate) const fn new(election_timeout_min_us: u64, quota_terms: QuotaTerms) -> Self {
        Self {
            election_timeout_min_us,
            quota_terms,
            leadership: None,
        }
    }

    /// Starts a leadership when this replica becomes the leader of a new term and ends it when it
    /// no longer leads.
    pub(crate) fn update_role(&mut self, is_leader: bool, status: &Status, now_us: TimeUs) {
        let known = self
            .leadership
            .as_ref()
            .is_some_and(|known| known.term == status.term);
        match (is_leader, known) {
            (true, true) => {}
            (true, false) => {
                self.leadership = Some(Leadership {
                    term: status.term,
                    start_index: status.last_index,
                    allocator: Allocator::new(status.term, now_us, 0),
                    read_started_us: None,
                    next_read_us: now_us,
                    demand_until_us: now_us,
                    confirmed_until_us: TimeUs::default(),
                    limits_revision: 0,
                    ledger: Ledger::new(status.term, self.quota_terms, now_us),
                    quotas_version: None,
                });
            }
            (false, _) => self.leadership = None,
        }
    }

    /// Starts the read that confirms leadership, if one is due. Returns whether it did; then the
    /// caller must pass the read to the log.
    pub(crate) fn start_due_confirmation(&mut self, now_us: TimeUs) -> bool {
        let Some(leadership) = &mut self.leadership else {
            return false;
        };
        let has_demand = !leadership.demand_until_us.reached(now_us);
        if !has_demand
            || leadership.read_started_us.is_some()
            || !leadership.next_read_us.reached(now_us)
        {
            return false;
        }
        leadership.read_started_us = Some(now_us);
        leadership.next_read_us = now_us.after_ms(CONFIRM_PERIOD_MS);
        true
    }

    /// Records that a majority answered the read.
    pub(crate) fn record_confirmed(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if let Some(read_started_us) = leadership.read_started_us.take() {
            let confirmed_us = self.election_timeout_min_us * (100 - CLOCK_DRIFT_PERCENT) / 100;
            leadership.confirmed_until_us = read_started_us.after_us(confirmed_us);
        }
    }

    /// Records that the log rejected the read.
    pub(crate) fn record_rejected(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.read_started_us = None;
        }
    }

    /// Records that somebody relies on the leadership being confirmed, so that the reads go on for a while.
    pub(crate) fn record_demand(&mut self, now_us: TimeUs) {
        if let Some(leadership) = &mut self.leadership {
            leadership.demand_until_us = now_us.after_ms(DEMAND_TIMEOUT_MS);
        }
    }

    /// Whether this replica certainly leads and has applied every entry that earlier leaders committed,
    /// so that its state holds all that was ever confirmed.
    pub(crate) fn is_certain(&self, now_us: TimeUs, applied_term: Option<u64>) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| {
            !leadership.confirmed_until_us.reached(now_us) && applied_term == Some(leadership.term)
        })
    }

    /// Grants shares for an entry's wants. Grants nothing unless leadership is confirmed and every
    /// log entry that earlier leaders committed is applied here.
    pub(crate) fn grant(
        &mut self,
        now_us: TimeUs,
        state: &State,
        applied_term: Option<u64>,
        holder: &HolderId,
        wants: &[Want],
    ) -> Vec<Grant> {
        if !wants.is_empty() {
            self.record_demand(now_us);
        }
        let is_certain = self.is_certain(now_us, applied_term);
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_certain) else {
            return Vec::new();
        };
        leadership.update_limits(state);
        let allocator = &mut leadership.allocator;
        let entry_region = entry_region(state, holder);
        let answer =
            |want| allocator.answer_want(now_us, holder, is_local(entry_region, want), want);
        wants.iter().filter_map(answer).collect()
    }

    /// Grants tokens for a gateway's wants; none unless leadership is confirmed and every log entry that
    /// earlier leaders committed is applied here. `gateways` is the number of gateways that may have a
    /// static part.
    pub(crate) fn grant_tokens(
        &mut self,
        now_us: TimeUs,
        steering: &Steering,
        applied_term: Option<u64>,
        gateways: usize,
        gateway: EntryName,
        report: &TokenReport,
    ) -> Option<TokenAnswer> {
        let is_certain = self.is_certain(now_us, applied_term);
        let leadership = self.leadership.as_mut().filter(|_| is_certain)?;
        leadership.update_quotas(steering, now_us);
        let holder = HolderId {
            entry: gateway,
            incarnation: report.incarnation,
        };
        leadership.ledger.answer(&holder, gateways, report, now_us)
    }

    /// The quotas of all tenants, for the dump; empty unless this replica leads.
    pub(crate) fn quota_rows(&self) -> Vec<TenantRow> {
        self.leadership
            .iter()
            .flat_map(|leadership| leadership.ledger.rows())
            .collect()
    }

    /// Every pool, for the dump; empty unless this replica leads.
    pub(crate) fn rows(&self) -> Vec<PoolRow> {
        self.leadership
            .iter()
            .flat_map(|leadership| leadership.allocator.rows())
            .collect()
    }
}

impl Leadership {
    /// Passes the tenants' limits to the ledger when the plan has changed.
    fn update_quotas(&mut self, steering: &Steering, now_us: TimeUs) {
        let plan = steering.plan();
        let version = plan.map(|plan| plan.version);
        if self.quotas_version == version {
            return;
        }
        self.quotas_version = version;
        let tenants = plan.iter().flat_map(|plan| &plan.tenants);
        let limited = tenants.filter(|tenant| tenant.is_limited()).map(|tenant| {
            let limit = QuotaLimit {
                rate_milli_per_s: tenant.rate_milli_per_s,
                burst: tenant.burst,
            };
            (tenant.name.as_str(), limit)
        });
        self.ledger.set_limits(limited, now_us);
    }

    /// Passes the declared limits and deadlines to the allocator when the revision has changed.
    fn update_limits(&mut self, state: &State) {
        if self.limits_revision == state.revision() && self.limits_revision != 0 {
            return;
        }
        self.limits_revision = state.revision();
        self.allocator
            .set_longest_deadline_ms(longest_deadline_ms(state));
        let mut declared = BTreeSet::new();
        for kind in [Kind::Region, Kind::Link] {
            // A resource that was deleted and declared again may still be in use under a grant of
            // an earlier leader, so it does not count as new.
            let none_withdrawn = !state.may_have_withdrawn(kind);
            for resource in state.resources(Some(kind)) {
                let is_new =
                    none_withdrawn && resource.version == 1 && resource.revision > self.start_index;
                for (pool, limit) in pools(resource) {
                    match is_new {
                        true => self.allocator.set_first_limit(&pool, limit),
                        false => self.allocator.set_limit(&pool, limit),
                    }
                    declared.insert(pool);
                }
            }
        }
        self.allocator.zero_undeclared_limits(&declared);
    }
}

/// The pools of a resource with the limits that operators declared: slots of a region, kbit/s of
/// each direction of a link.
fn pools(resource: &Resource) -> Vec<(Pool, u64)> {
    match &resource.spec {
        Spec::Region(region) => resource
            .name
            .as_str()
            .parse()
            .map(|name| (Pool::Region { region: name }, region.capacity_slots.into()))
            .into_iter()
            .collect(),
        Spec::Link(link) => {
            let (a, b) = (link.a.clone(), link.b.clone());
            let forward = Pool::Link {
                from: a.clone(),
                to: b.clone(),
            };
            let reverse = Pool::Link { from: b, to: a };
            vec![(forward, link.limit_kbps), (reverse, link.limit_kbps)]
        }
        Spec::Service(_) | Spec::Entry(_) | Spec::Shift(_) | Spec::Drain(_) => Vec::new(),
    }
}

/// The region in which a declared entry runs.
fn entry_region<'a>(state: &'a State, holder: &HolderId) -> Option<&'a RegionName> {
    let name = ResourceName::new(holder.entry.as_str()).ok()?;
    match &state
        .get(&Key {
            kind: Kind::Entry,
            name,
        })?
        .spec
    {
        Spec::Entry(entry) => Some(&entry.region),
        _ => None,
    }
}

/// Whether an entry runs in the region of the wanted pool; always true for a link.
fn is_local(entry_region: Option<&RegionName>, want: &Want) -> bool {
    match &want.pool {
        Pool::Region { region } => entry_region == Some(region),
        Pool::Link { .. } => true,
    }
}

fn longest_deadline_ms(state: &State) -> u64 {
    let deadlines =
        state
            .resources(Some(Kind::Service))
            .filter_map(|resource| match &resource.spec {
                Spec::Service(service) => Some(service.deadline_ms),
                _ => None,
            });
    deadlines.max().unwrap_or(0)
}
