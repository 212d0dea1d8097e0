//! What this entry may use of regions and links, and what it uses.

use crate::config::Config;
use route::{RequestId, Router};
use share::{Grant, HeldRow, Holder, Pool, Want};
use std::collections::BTreeMap;
use types::{RegionName, ReplicaName, ServiceName, Spec, TimeUs};

/// A replica that granted nothing for this long is no longer taken for the leader.
const GRANTER_SILENT_MS: u64 = 1_000;

/// The rate that an entry asks of a link without any use, so that it may begin.
const LINK_FLOOR_KBPS: u64 = 1_000;

/// What is asked of a link, in percent of the rate used since the last question.
const LINK_DEMAND_PERCENT: u64 = 200;

/// A request in the router's hands.
#[derive(Debug, Default)]
struct Live {
    answer_bytes: u64,
    region: Option<RegionName>,
}

/// The shares of one entry.
#[derive(Debug)]
pub struct Shares {
    region: RegionName,
    holder: Holder,
    live: BTreeMap<RequestId, Live>,
    in_flight_slots: BTreeMap<RegionName, u64>,
    carried_bytes: BTreeMap<RegionName, u64>,
    carried_since_us: TimeUs,
    granter: Option<ReplicaName>,
    granter_until_us: TimeUs,
}

impl Shares {
    /// The shares of an entry in `region`, which holds nothing yet.
    pub fn new(region: RegionName, now_us: TimeUs) -> Self {
        Self {
            region,
            holder: Holder::new(),
            live: BTreeMap::new(),
            in_flight_slots: BTreeMap::new(),
            carried_bytes: BTreeMap::new(),
            carried_since_us: now_us,
            granter: None,
            granter_until_us: now_us,
        }
    }

    /// How many requests are in the router's hands.
    pub fn live_requests(&self) -> usize {
        self.live.len()
    }

    /// The router took a request.
    pub fn arrive(&mut self, request: RequestId, config: &Config, service: &ServiceName) {
        let answer_bytes = config.service(service).map_or(0, |spec| spec.answer_bytes);
        self.live.insert(
            request,
            Live {
                answer_bytes,
                region: None,
            },
        );
    }

    /// The router sent a request to a region.
    pub fn begin(&mut self, request: RequestId, region: &RegionName) {
        self.attempt_ended(request);
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.region = Some(region.clone());
        *self.in_flight_slots.entry(region.clone()).or_default() += 1;
        if *region != self.region {
            *self.carried_bytes.entry(region.clone()).or_default() += live.answer_bytes;
        }
    }

    /// Whether an attempt of the request is under way.
    pub fn is_sent(&self, request: RequestId) -> bool {
        self.live
            .get(&request)
            .is_some_and(|live| live.region.is_some())
    }

    /// An attempt ended; the request may be tried again.
    pub fn attempt_ended(&mut self, request: RequestId) {
        let region = self
            .live
            .get_mut(&request)
            .and_then(|live| live.region.take());
        if let Some(slots) = region.and_then(|region| self.in_flight_slots.get_mut(&region)) {
            *slots = slots.saturating_sub(1);
        }
    }

    /// The request is settled.
    pub fn settle(&mut self, request: RequestId) {
        self.attempt_ended(request);
        self.live.remove(&request);
    }

    /// What may be used now, for the process dump.
    pub fn rows(&self, now_us: TimeUs) -> Vec<HeldRow<'_>> {
        self.holder.rows(now_us).collect()
    }

    /// Whether wants go to this replica: to the one that grants, or to all while none does.
    pub fn asks(&self, replica: &ReplicaName, now_us: TimeUs) -> bool {
        let granter = self
            .granter
            .as_ref()
            .filter(|_| !self.granter_until_us.reached(now_us));
        granter.is_none_or(|granter| granter == replica)
    }

    /// What to ask of every declared region and of every link into this entry's region.
    pub fn wants(&mut self, now_us: TimeUs, config: &Config, router: &mut Router) -> Vec<Want> {
        let elapsed_ms = (now_us.since_us(self.carried_since_us) / 1_000).max(1);
        let mut wants = Vec::new();
        for pool in pools(config, &self.region) {
            let (in_use, demand) = match &pool {
                Pool::Region { region } => {
                    let in_flight = self.in_flight_slots.get(region).copied().unwrap_or(0);
                    (in_flight, u64::from(router.wanted_slots(region)))
                }
                Pool::Link { from, .. } => {
                    let bytes = self.carried_bytes.get(from).copied().unwrap_or(0);
                    let used_kbps = bytes * 8 / elapsed_ms;
                    (
                        0,
                        LINK_FLOOR_KBPS.max(used_kbps * LINK_DEMAND_PERCENT / 100),
                    )
                }
            };
            wants.push(self.holder.want(now_us, &pool, in_use, demand));
        }
        wants
    }

    /// Begins a new measurement of what the links carry.
    pub fn measure_anew(&mut self, now_us: TimeUs) {
        self.carried_bytes.clear();
        self.carried_since_us = now_us;
    }

    /// Takes what a replica granted in its answer to a poll, and tells the router.
    pub fn take(
        &mut self,
        now_us: TimeUs,
        asked_us: TimeUs,
        replica: &ReplicaName,
        grants: &[Grant],
        mut tell: impl FnMut(route::Input<'_>),
    ) {
        for grant in grants {
            if !self.holder.apply(now_us, asked_us, grant) {
                continue;
            }
            self.granter = Some(replica.clone());
            self.granter_until_us = now_us.after_ms(GRANTER_SILENT_MS);
            let (amount, expires_us) = self.holder.usable(&grant.pool);
            match &grant.pool {
                Pool::Region { region } => {
                    let slots = u32::try_from(amount).unwrap_or(u32::MAX);
                    tell(route::Input::Share {
                        region,
                        slots,
                        expires_us,
                    });
                }
                Pool::Link { from, to } => {
                    tell(route::Input::LinkShare {
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

/// Every declared region, and every link into `own`.
fn pools(config: &Config, own: &RegionName) -> Vec<Pool> {
    let mut pools = Vec::new();
    for resource in config.resources() {
        match &resource.spec {
            Spec::Region(_) => {
                if let Ok(region) = resource.name.as_str().parse() {
                    pools.push(Pool::Region { region });
                }
            }
            Spec::Link(link) if link.a == *own => {
                pools.push(Pool::Link {
                    from: link.b.clone(),
                    to: own.clone(),
                });
            }
            Spec::Link(link) if link.b == *own => {
                pools.push(Pool::Link {
                    from: link.a.clone(),
                    to: own.clone(),
                });
            }
            Spec::Link(_) | Spec::Service(_) | Spec::Entry(_) | Spec::Shift(_) | Spec::Drain(_) => {
            }
        }
    }
    pools
}
