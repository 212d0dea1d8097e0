//! Who waits, who is refused, and when a refused client should return, where a service is short of
//! capacity.
//!
//! All waiting happens in the upstreams' queues, in order of arrival, so a request's place among
//! others is decided once, when it arrives: by how long it may queue. The less urgent its priority and
//! the more of the capacity its tenant has had, the shorter that is. Under lasting overload the queues
//! grow as long as those may wait who are refused first, and the others find room.

mod returns;
mod shares;
mod urgency;

use self::{
    returns::Refused,
    shares::{DECAY_US, Shares, Weighting},
    urgency::{ABOVE_SHARE_FRACTION, ActiveRoutes, queue_max_us},
};
use crate::api::Refusal;
use std::collections::BTreeMap;
use types::TimeUs;

/// The part of its share up to which a party waits as long as any. From there to the whole share the
/// bound falls to `ABOVE_SHARE_FRACTION`, so that chance decides less who is refused.
const FULL_BOUND_SHARE: f64 = 0.8;

/// The fraction of the bound, in place of `ABOVE_SHARE_FRACTION`, for the only party of a priority in a deep
/// shortage. It leaves room for nobody, but a longer queue makes its own answers late. With a shorter one
/// the estimates of gateways let less urgent requests in.
const ALONE_FRACTION: f64 = 0.55;

/// The fraction of the bound for a tenant below its share on a route above the share of routes: long
/// requests of one route leave room for short ones of another.
const ABOVE_ROUTE_SHARE_FRACTION: f64 = 0.675;

/// The parts of the demand that are refused from which a shortage counts as shallow and as deep.
const SHALLOW_SHORTAGE: f64 = 0.02;
const DEEP_SHORTAGE: f64 = 0.1;

/// The part of the demand that counts as too much when a request would queue for the whole bound of its
/// priority. A gateway that has refused nothing itself would otherwise go on to admit every tenant while
/// other gateways refuse those above their share.
const CONGESTION_SHORTAGE: f64 = 0.3;

/// The requests for each slot of a region from which on the service counts as short there. Below it, only
/// the upstreams of popular objects have queues, and refusing by shares would leave slots idle.
const SHORT_UTILISATION: f64 = 0.9;

/// How long a request above its party's share may queue that returns after a refusal, as a fraction of
/// what a new one may. The party's place goes to the one that can still be answered within its target.
const RETURN_FRACTION: f64 = 0.5;

/// How much of the wait that a request adds for those behind it counts against its own bound, when its
/// party or route is above its share. At 0 short requests are refused behind long ones; at 0.5 slots stay
/// idle that long ones could have.
const ADDED_WAIT_WEIGHT: f64 = 0.25;

/// What a priority gets of the admitted work though more urgent requests could take all of it, so that
/// none starves.
const PRIORITY_SHARE_MIN: f64 = 0.03;

/// Priorities that are counted for one service, the most urgent ones; others count as the last of these.
const CLASSES_MAX: usize = 16;

/// The range of `retry-after` where the plan has no tenants, in microseconds.
const PLAIN_RETRY_MIN_US: f64 = 100_000.0;
const PLAIN_RETRY_MAX_US: f64 = 1_000_000.0;

/// Among whom the capacity of a priority is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Party<'a> {
    /// The plan has no tenants: the routes.
    Route,
    /// The tenant of this name; an empty name stands for all clients without a key.
    Tenant(&'a str),
}

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Applicant<'a> {
    /// Identifies the request.
    pub(crate) request: u64,
    /// The name of its route.
    pub(crate) route: &'a str,
    /// Whose share it counts against.
    pub(crate) party: Party<'a>,
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    /// The target of its route.
    pub(crate) route_target_us: u64,
    /// The same, or the time that the client waits when that is shorter.
    pub(crate) target_us: u64,
    /// The time until its deadline.
    pub(crate) remaining_us: f64,
    /// The same as a part of the time that the route allows.
    pub(crate) stated_part: f64,
    /// How long requests of its route usually run.
    pub(crate) work_us: f64,
}

impl<'a> Applicant<'a> {
    const fn party_name(&self) -> &'a str {
        match self.party {
            Party::Route => self.route,
            Party::Tenant(name) => name,
        }
    }

    fn work(&self, weighting: Weighting, now_us: TimeUs) -> f64 {
        self.work_us / 1e3 * weighting.weight(now_us)
    }
}

/// What is expected of the request at the best upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    /// How long it queues there.
    pub(crate) wait_us: f64,
    /// How long it runs after that.
    pub(crate) run_us: f64,
    /// How much longer requests queue that come after it.
    pub(crate) adds_us: f64,
    /// The requests for each slot at the upstreams of the service in the same region.
    pub(crate) utilisation: f64,
}

impl Expected {
    /// Whether the capacity of the service is short, and not only that of the upstreams of an object.
    fn is_short(&self) -> bool {
        self.utilisation >= SHORT_UTILISATION
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rejection {
    pub(crate) refusal: Refusal,
    /// How long it may queue.
    pub(crate) wait_max_us: f64,
    /// What its party has had, as a multiple of its share; none when that did not count.
    pub(crate) used_share: Option<f64>,
    /// When its client should return.
    pub(crate) retry_after_us: f64,
}

/// The requests of one priority.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Work by tenant or, without tenants, by route.
    parties: Shares,
    /// Work by route.
    routes: Shares,
}

/// Who may use a service, as one gateway decides it.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    active_routes: ActiveRoutes,
    weighting: Weighting,
    /// By priority.
    classes: BTreeMap<u32, Class>,
    /// The admitted work of all classes.
    admitted: f64,
}

impl Admission {
    pub(crate) fn new(now_us: TimeUs) -> Self {
        Self {
            active_routes: ActiveRoutes::default(),
            weighting: Weighting::new(now_us),
            classes: BTreeMap::new(),
            admitted: 0.0,
        }
    }

    /// Decides on a request that would be sent to an upstream where this is expected. `slots` are
    /// this gateway's part of those of the service. One that is admitted is to be recorded with
    /// [`Self::record_admitted`].
    pub(crate) fn decide(
        &mut self,
        applicant: &Applicant<'_>,
        expected: Expected,
        slots: f64,
        now_us: TimeUs,
    ) -> Result<(), Rejection> {
        let bounds = self.active_routes.record(
            applicant.route,
            applicant.priority,
            applicant.route_target_us,
            now_us,
        );
        let class = self.record_asked(applicant, now_us);
        if applicant.party == Party::Route {
            return decide_plain(applicant, bounds.urgency_us, expected);
        }
        let wait_us = expected.wait_us;
        // The more of the more urgent requests is refused, the less time others may queue, down to none.
        let more_urgent = self.classes.range(..class).map(|(_, it)| &it.parties);
        let shortage = more_urgent.map(Shares::shortage).fold(0.0, f64::max);
        let urgency_us = match (expected.is_short(), depth(shortage)) {
            (false, _) => bounds.urgency_us,
            (true, 0.0) => bounds.short_urgency_us,
            (true, depth) => bounds.short_urgency_us * (1.0 - depth),
        };
        let own_us = queue_max_us(applicant.target_us);
        // Where it doesn't queue, the expected run time alone refuses nobody: without runs the estimate
        // would never be corrected.
        let in_time_us = (applicant.remaining_us - expected.run_us).max(0.0);
        let full_us = own_us.min(urgency_us).min(in_time_us);
        let admitted = self.admitted;
        let Some(class) = self.classes.get_mut(&class) else {
            return Ok(());
        };
        let is_return = class
            .parties
            .is_return(applicant.party_name(), applicant.stated_part);
        let shared_us = match class.parties.is_alone(applicant.party_name()) {
            true => bounds.shortest_us.min(own_us),
            false => bounds.shortest_us.min(own_us).min(urgency_us),
        };
        if wait_us <= 0.0 {
            return Ok(());
        }
        let congestion = wait_us / shared_us.max(1.0) - ABOVE_SHARE_FRACTION;
        let seen_shortage = CONGESTION_SHORTAGE * congestion.clamp(0.0, 1.0);
        let shortage = class.parties.shortage().max(seen_shortage);
        let share = class
            .parties
            .share(shortage)
            .filter(|_| expected.is_short());
        let used_share =
            share.and_then(|share| class.parties.used_share(applicant.party_name(), share));
        let of_return = match is_return {
            true => RETURN_FRACTION,
            false => 1.0,
        };
        let fraction = class.bound_fraction(applicant, used_share, seen_shortage);
        let wait_max_us = match fraction.filter(|_| expected.is_short()) {
            Some(fraction) => {
                let added_us = ADDED_WAIT_WEIGHT * expected.adds_us;
                let leaves_us = shared_us * fraction * of_return - added_us;
                full_us.min(leaves_us.max(0.0))
            }
            None => full_us,
        };
        let is_above_share = used_share.is_some_and(|used| used > 1.0);
        let may_starve = class.parties.admitted() < PRIORITY_SHARE_MIN * admitted
            && !is_above_share
            && wait_us <= in_time_us;
        if wait_us <= wait_max_us || may_starve {
            return Ok(());
        }
        let refusal = match () {
            () if wait_us > in_time_us => Refusal::Late,
            () if wait_us <= full_us => Refusal::AboveShare,
            () if urgency_us < own_us => Refusal::LessUrgent,
            () => Refusal::Overloaded,
        };
        // A request that returns may queue less long than a new one if its party is above its share then.
        let return_max_us = wait_max_us.min(shared_us * ABOVE_SHARE_FRACTION * RETURN_FRACTION);
        let drain_us = wait_us - return_max_us;
        let weighting = self.weighting;
        let retry_after_us =
            class.return_in_us(applicant, (drain_us, share), slots, weighting, now_us);
        Err(Rejection {
            refusal,
            wait_max_us,
            used_share,
            retry_after_us,
        })
    }

    /// Counts a request that is admitted.
    pub(crate) fn record_admitted(&mut self, applicant: &Applicant<'_>, now_us: TimeUs) {
        self.add_admitted(applicant, applicant.work(self.weighting, now_us));
    }

    /// Takes back what an admitted request counts for that no upstream ran; says in how many microseconds
    /// its client should return, when that depends on its tenant.
    pub(crate) fn record_not_run(
        &mut self,
        applicant: &Applicant<'_>,
        slots: f64,
        now_us: TimeUs,
    ) -> Option<f64> {
        self.add_admitted(applicant, -applicant.work(self.weighting, now_us));
        if applicant.party == Party::Route {
            return None;
        }
        let weighting = self.weighting;
        let class = self.class_of(applicant.priority);
        let class = self.classes.get_mut(&class)?;
        let share = class.parties.share(class.parties.shortage());
        let drain = (PLAIN_RETRY_MIN_US, share);
        Some(class.return_in_us(applicant, drain, slots, weighting, now_us))
    }

    fn add_admitted(&mut self, applicant: &Applicant<'_>, work: f64) {
        let key = self.class_of(applicant.priority);
        if let Some(class) = self.classes.get_mut(&key) {
            class.parties.record_admitted(applicant.party_name(), work);
            class.routes.record_admitted(applicant.route, work);
            self.admitted = (self.admitted + work).max(0.0);
        }
    }

    /// Counts a request that asks to be admitted; returns its class.
    fn record_asked(&mut self, applicant: &Applicant<'_>, now_us: TimeUs) -> u32 {
        if let Some(factor) = self.weighting.renew(now_us) {
            self.scale(factor);
        }
        let work = applicant.work(self.weighting, now_us);
        let key = self.class_of(applicant.priority);
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&key) {
            self.drop_last_class();
        }
        let class = self.classes.entry(key).or_default();
        class.parties.record_asked(applicant.party_name(), work);
        class.routes.record_asked(applicant.route, work);
        key
    }

    /// The class that requests of a priority count in.
    fn class_of(&self, priority: u32) -> u32 {
        match self.classes.last_key_value() {
            Some((last, _)) if self.classes.len() >= CLASSES_MAX => priority.min(*last),
            _ => priority,
        }
    }

    /// Makes room for another class: the least urgent one is dropped.
    fn drop_last_class(&mut self) {
        if let Some((_, dropped)) = self.classes.pop_last() {
            self.admitted = (self.admitted - dropped.parties.admitted()).max(0.0);
        }
    }

    fn scale(&mut self, factor: f64) {
        for class in self.classes.values_mut() {
            class.parties.scale(factor);
            class.routes.scale(factor);
        }
        self.classes.retain(|_, class| class.parties.asked() > 0.0);
        let admitted = self.classes.values().map(|class| class.parties.admitted());
        self.admitted = admitted.sum();
    }
}

impl Class {
    /// How long a request may queue, as a fraction of the shortest bound of its priority; none when
    /// its party is so far below its share that its own bound holds.
    fn bound_fraction(
        &self,
        applicant: &Applicant<'_>,
        used_share: Option<f64>,
        seen_shortage: f64,
    ) -> Option<f64> {
        let shortest = match self.parties.is_alone(applicant.party_name()) {
            true => 1.0 - (1.0 - ALONE_FRACTION) * depth(self.parties.shortage()),
            false => ABOVE_SHARE_FRACTION,
        };
        let of_party = used_share.and_then(|used| bound_fraction(used, shortest));
        let of_route = match applicant.party {
            Party::Route => None,
            Party::Tenant(_) if self.routes.is_alone(applicant.route) => None,
            Party::Tenant(_) => {
                let share = self.routes.share(self.routes.shortage().max(seen_shortage));
                share.and_then(|share| self.routes.used_share(applicant.route, share))
            }
        };
        // Long requests that are above their routes' share leave room for short ones, but a tenant
        // above its share leaves room for any.
        let of_route = of_route.and_then(|used| bound_fraction(used, ABOVE_ROUTE_SHARE_FRACTION));
        match (of_party, of_route) {
            (Some(party), Some(route)) => Some(party.min(route)),
            (one, other) => one.or(other),
        }
    }

    /// Says in how many microseconds the client of a refused request should return, by the time until the
    /// queue is short enough and the share of its party. There is room for what others leave, and for that
    /// share if it is more.
    fn return_in_us(
        &mut self,
        applicant: &Applicant<'_>,
        (drain_us, share): (f64, Option<f64>),
        slots: f64,
        weighting: Weighting,
        now_us: TimeUs,
    ) -> f64 {
        let weight_s = DECAY_US / 1e6 * weighting.weight(now_us);
        let asked_by_others = self.parties.asked_by_others(applicant.party_name());
        let left_per_s = slots * 1e3 - asked_by_others / weight_s;
        let share_per_s = share.map_or(0.0, |share| share / weight_s);
        let refused = Refused {
            request: applicant.request,
            drain_us,
            spacing_us: applicant.work_us * 1e3 / left_per_s.max(share_per_s).max(1.0),
            remaining_us: applicant.remaining_us,
        };
        let returns = self.parties.returns_mut(applicant.party_name());
        returns.map_or(drain_us, |it| it.next_us(refused, now_us))
    }
}

/// The fraction of the bound for a party that has had this multiple of its share: `shortest` when it has
/// had all of it, less when it has had more, none for the whole.
fn bound_fraction(used_share: f64, shortest: f64) -> Option<f64> {
    let above = (used_share - FULL_BOUND_SHARE) / (1.0 - FULL_BOUND_SHARE);
    let fraction = match used_share > 1.0 {
        true => shortest / used_share,
        false => 1.0 - (1.0 - shortest) * above,
    };
    (above > 0.0).then_some(fraction)
}

/// How deep a shortage is in which this part of the demand is refused, from 0 to 1.
fn depth(shortage: f64) -> f64 {
    let depth = (shortage - SHALLOW_SHORTAGE) / (DEEP_SHORTAGE - SHALLOW_SHORTAGE);
    depth.clamp(0.0, 1.0)
}

/// Decides where the plan has no tenants: only routes of other priorities bound the wait.
fn decide_plain(
    applicant: &Applicant<'_>,
    urgency_us: f64,
    expected: Expected,
) -> Result<(), Rejection> {
    let wait_max_us = queue_max_us(applicant.target_us)
        .min(urgency_us)
        .min(applicant.remaining_us);
    let over_us = expected.wait_us - wait_max_us;
    match over_us > 0.0 {
        false => Ok(()),
        true => Err(Rejection {
            refusal: Refusal::Overloaded,
            wait_max_us,
            used_share: None,
            retry_after_us: over_us.clamp(PLAIN_RETRY_MIN_US, PLAIN_RETRY_MAX_US),
        }),
    }
}
