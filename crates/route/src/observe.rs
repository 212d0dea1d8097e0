//! What the router learns from the end of an attempt.

use crate::{Ending, Policy, evidence::Verdict, router::Router, table::OWN_REGION};
use types::TimeUs;

/// Times the service's latency at which an answer counts as no more than that.
pub(crate) const OUTLIER_FACTOR: u64 = 3;
/// The first status code that counts as a failure of the upstream.
const FAILURE_STATUS: u16 = 500;
/// How long a refusal closes a group's borrowed slots at first; doubled by each further one.
const GROUP_CLOSED_US: u64 = 2_000;
/// Doublings of a group's closure at most.
const GROUP_DOUBLINGS: u32 = 3;

impl Router {
    /// Learns from the end of an attempt.
    pub(crate) fn observe(
        &mut self,
        now_us: TimeUs,
        upstream_id: usize,
        since_us: TimeUs,
        borrowed: bool,
        ending: Ending,
    ) {
        let Some(place) = self.table.upstreams[upstream_id].place else {
            return;
        };
        let upstream = &mut self.table.upstreams[upstream_id];
        let trusted = upstream.is_trusted();
        let service = &mut self.table.services[place.service];
        let way_us = match upstream.region {
            OWN_REGION => 0,
            region => 2 * self.table.regions[region].delay_us.unwrap_or(0),
        };
        let raw_us = now_us.since_us(since_us);
        // An answer that came sooner than the declared way takes disproves the declaration.
        let latency_us = if raw_us > way_us {
            raw_us - way_us
        } else {
            raw_us
        };
        let elsewhere = Some(upstream.region) != service.home_region();
        let group = &mut service.groups[place.group];
        match ending {
            Ending::Finished { status } if status < FAILURE_STATUS => {
                let service_us = service.latency_us.get();
                if borrowed {
                    group.refusals_in_row = group.refusals_in_row.saturating_sub(1);
                }
                let bound_us = service_us.map_or(u64::MAX, |us| us * OUTLIER_FACTOR);
                service.latency_us.add(latency_us.min(bound_us));
                service.note_region_latency(upstream.region, latency_us);
                service.mover.answered(elsewhere, Some(latency_us));
                upstream.evidence.answered(latency_us, upstream.slots);
            }
            Ending::Finished { .. } | Ending::Broken | Ending::CutShort => {
                service.mover.answered(elsewhere, None);
                upstream.evidence.failed();
            }
            Ending::NotSent => {
                service.mover.answered(elsewhere, None);
                upstream.evidence.failed();
                self.close_for_a_while(now_us, upstream_id, way_us);
            }
            Ending::Refused => {
                if borrowed {
                    let doublings = group.refusals_in_row.min(GROUP_DOUBLINGS);
                    group.refusals_in_row += 1;
                    group.closed_until_us =
                        now_us.after_us(GROUP_CLOSED_US.max(way_us / 4) << doublings);
                }
                self.close_for_a_while(now_us, upstream_id, way_us);
            }
            Ending::Cancelled => return,
        }
        self.judge(now_us, upstream_id, place.service);
        self.table.refresh(upstream_id);
        if self.table.upstreams[upstream_id].is_trusted() != trusted {
            self.deal_service(place.service);
        }
    }

    /// Opens upstreams whose closure or ejection has ended.
    pub(crate) fn wake(&mut self, now_us: TimeUs) {
        while let Some(&(until_us, id)) = self.wakeups.first() {
            if !until_us.reached(now_us) {
                return;
            }
            self.wakeups.remove(&(until_us, id));
            let evidence = &mut self.table.upstreams[id].evidence;
            evidence.cooling_until_us = evidence.cooling_until_us.filter(|&t| !t.reached(now_us));
            evidence.ejected_until_us = evidence.ejected_until_us.filter(|&t| !t.reached(now_us));
            self.table.refresh(id);
        }
    }

    fn close_for_a_while(&mut self, now_us: TimeUs, id: usize, way_us: u64) {
        if self.config.policy == Policy::Adaptive {
            let until_us = self.table.upstreams[id].evidence.refused(now_us, way_us);
            self.wakeups.insert((until_us, id));
        }
    }

    /// Ejects an upstream that stands out, while enough others remain.
    fn judge(&mut self, now_us: TimeUs, id: usize, service_id: usize) {
        let service = &self.table.services[service_id];
        let upstream = &self.table.upstreams[id];
        let (evidence, region) = (&upstream.evidence, upstream.region);
        if self.config.policy != Policy::Adaptive
            || evidence.ejected_until_us.is_some()
            || evidence.verdict(service.region_latency_us(region)) == Verdict::Good
        {
            return;
        }
        if self.ejected(service_id).len() >= self.most_ejected(service_id) {
            self.counters.ejections_held += 1;
            return;
        }
        let until_us = self.table.upstreams[id].evidence.eject(now_us);
        self.wakeups.insert((until_us, id));
        self.counters.ejections += 1;
    }

    /// Ends ejections, the oldest first, until no more are ejected than the floor lets.
    pub(crate) fn keep_floor(&mut self, service_id: usize) {
        let most = self.most_ejected(service_id);
        let mut ejected = self.ejected(service_id);
        ejected.sort_by_key(|&id| self.table.upstreams[id].evidence.ejected_until_us);
        let surplus = ejected.len().saturating_sub(most);
        for id in ejected.into_iter().take(surplus) {
            self.table.upstreams[id].evidence.ejected_until_us = None;
            self.table.refresh(id);
        }
    }

    fn ejected(&self, service_id: usize) -> Vec<usize> {
        let groups = self.table.services[service_id].groups.iter();
        let members = groups.flat_map(|group| &group.members).copied();
        members
            .filter(|&id| self.table.upstreams[id].is_ejected())
            .collect()
    }

    /// How many upstreams of a service may be ejected at once.
    fn most_ejected(&self, service_id: usize) -> usize {
        let usable = self.table.services[service_id].usable();
        usable * self.config.limits.eject_percent as usize / 100
    }
}
