//! This entry's shares of region capacities and links: what it was granted, uses and asks for.

use crate::config::Config;
use route::{RequestId, Router};
use share::{Grant, HeldRow, Holder, Pool, Want};
use std::collections::BTreeMap;
use types::{RegionName, ReplicaName, ServiceName, Spec, TimeUs};

/// After this long without a grant, a replica is no longer taken for the leader.
const LEADER_SILENT_MS: u64 = 1_000;

/// The least rate that an entry asks of a link, so that it can begin to use an unused one.
const LINK_MIN_KBPS: u64 = 1_000;

/// The rate asked of a link, in percent of the rate used since wants were last sent.
const LINK_DEMAND_PERCENT: u64 = 200;

/// A request that was taken and is not settled.
#[derive(Debug, Default)]
struct ActiveRequest {
    /// The size of its answer as declared for the service, counted as use of the link.
    answer_bytes: u64,
    /// The region of the attempt in flight, if any.
    region: Option<RegionName>,
}

/// The shares of one entry, and its use of regions and links.
#[derive(Debug)]
pub struct Shares {
    region: RegionName,
    holder: Holder,
    active: BTreeMap<RequestId, ActiveRequest>,
    /// The attempts in flight to each region.
    in_flight_slots: BTreeMap<RegionName, u64>,
    /// The answer bytes of the attempts sent to each other region since `measured_since_us`.
    link_bytes: BTreeMap<RegionName, u64>,
    measured_since_us: TimeUs,
    /// The replica that granted last, taken for the leader until `leader_until_us`.
    leader: Option<ReplicaName>,
    leader_until_us: TimeUs,
}

impl Shares {
    /// An entry in `region` that has neither shares nor requests.
    pub fn new(region: RegionName, now_us: TimeUs) -> Self {
        Self {
            region,
            holder: Holder::new(),
            active: BTreeMap::new(),
            in_flight_slots: BTreeMap::new(),
            link_bytes: BTreeMap::new(),
            measured_since_us: now_us,
            leader: None,
            leader_until_us: now_us,
        }
    }

    /// The number of requests that were taken and are not settled.
    pub fn request_count(&self) -> usize {
        self.active.len()
    }

    /// Adds a request that the entry takes.
    pub fn add(&mut self, request: RequestId, config: &Config, service: &ServiceName) {
        let answer_bytes = config.service(service).map_or(0, |spec| spec.answer_bytes);
        self.active.insert(
            request,
            ActiveRequest {
                answer_bytes,
                region: None,
            },
        );
    }

    /// Records that a request is sent to a region, which ends its earlier attempt.
    pub fn begin_attempt(&mut self, request: RequestId, region: &RegionName) {
        self.end_attempt(request);
        let Some(active) = self.active.get_mut(&request) else {
            return;
        };
        active.region = Some(region.clone());
        *self.in_flight_slots.entry(region.clone()).or_default() += 1;
        if *region != self.region {
            *self.link_bytes.entry(region.clone()).or_default() += active.answer_bytes;
        }
    }

    /// Whether an attempt of the request is in flight.
    pub fn has_attempt(&self, request: RequestId) -> bool {
        self.active
            .get(&request)
            .is_some_and(|active| active.region.is_some())
    }

    /// Records the end of an attempt; the request may be sent again.
    pub fn end_attempt(&mut self, request: RequestId) {
        let region = self
            .active
            .get_mut(&request)
            .and_then(|active| active.region.take());
        if let Some(slots) = region.and_then(|region| self.in_flight_slots.get_mut(&region)) {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Removes a settled request.
    pub fn remove(&mut self, request: RequestId) {
        self.end_attempt(request);
        self.active.remove(&request);
    }

    /// The amounts that may be used now, for the process dump.
    pub fn rows(&self, now_us: TimeUs) -> Vec<HeldRow<'_>> {
        self.holder.rows(now_us).collect()
    }

    /// Whether wants are sent to this replica: only to the leader if it is known, otherwise to all.
    pub fn may_grant(&self, replica: &ReplicaName, now_us: TimeUs) -> bool {
        let leader = self
            .leader
            .as_ref()
            .filter(|_| !self.leader_until_us.reached(now_us));
        leader.is_none_or(|leader| leader == replica)
    }

    /// The wants for every declared region and for every link into this entry's region.
    pub fn wants(&mut self, now_us: TimeUs, config: &Config, router: &mut Router) -> Vec<Want> {
        let elapsed_ms = (now_us.since_us(self.measured_since_us) / 1_000).max(1);
        let mut wants = Vec::new();
        for pool in pools(config, &self.region) {
            let (in_use, demand) = match &pool {
                Pool::Region { region } => {
                    let in_flight = self.in_flight_slots.get(region).copied().unwrap_or(0);
                    (in_flight, u64::from(router.wanted_slots(region)))
                }
                Pool::Link { from, .. } => {
                    let bytes = self.link_bytes.get(from).copied().unwrap_or(0);
                    let used_kbps = bytes * 8 / elapsed_ms;
                    (0, LINK_MIN_KBPS.max(used_kbps * LINK_DEMAND_PERCENT / 100))
                }
            };
            wants.push(self.holder.want(now_us, &pool, in_use, demand));
        }
        wants
    }

    /// Starts a new measurement of the use of links.
    pub fn reset_link_usage(&mut self, now_us: TimeUs) {
        self.link_bytes.clear();
        self.measured_since_us = now_us;
    }

    /// Applies the grants in an answer to a poll sent at `sent_us`, and passes the amounts that may
    /// be used to the router.
    pub fn apply_grants(
        &mut self,
        now_us: TimeUs,
        sent_us: TimeUs,
        replica: &ReplicaName,
        grants: &[Grant],
        mut to_router: impl FnMut(route::Input<'_>),
    ) {
        for grant in grants {
            if !self.holder.apply(now_us, sent_us, grant) {
                continue;
            }
            self.leader = Some(replica.clone());
            self.leader_until_us = now_us.after_ms(LEADER_SILENT_MS);
            let (amount, expires_us) = self.holder.usable(&grant.pool);
            match &grant.pool {
                Pool::Region { region } => {
                    let slots = u32::try_from(amount).unwrap_or(u32::MAX);
                    to_router(route::Input::Share {
                        region,
                        slots,
                        expires_us,
                    });
                }
                Pool::Link { from, to } => {
                    to_router(route::Input::LinkShare {
                        from,
                        to,
                        kbps: amount,
                        expires_us,
                    });
                }
            }
        }
    }
}

/// Every declared region, and for every link of `own_region` the direction towards it.
fn pools(config: &Config, own_region: &RegionName) -> Vec<Pool> {
    let mut pools = Vec::new();
    for resource in config.resources() {
        match &resource.spec {
            Spec::Region(_) => {
                if let Ok(region) = resource.name.as_str().parse() {
                    pools.push(Pool::Region { region });
                }
            }
            Spec::Link(link) if link.a == *own_region => {
                pools.push(Pool::Link {
                    from: link.b.clone(),
                    to: own_region.clone(),
                });
            }
            Spec::Link(link) if link.b == *own_region => {
                pools.push(Pool::Link {
                    from: link.a.clone(),
                    to: own_region.clone(),
                });
            }
            Spec::Link(_) | Spec::Service(_) | Spec::Entry(_) | Spec::Shift(_) | Spec::Drain(_) => {
            }
        }
    }
    pools
}
