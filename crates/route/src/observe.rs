//! Passive health checks: records how attempts ended for the upstream, its group, its service and
//! the shift, and starts and ends backoffs and ejections.

use crate::{Ending, Policy, evidence::Health, router::Router, table::OWN_REGION};
use types::TimeUs;

/// An answer counts in a service's averages as at most this many times the mean latency, so that
/// one outlier can't dominate.
pub(crate) const OUTLIER_FACTOR: u64 = 3;
/// The first status code that counts as a failure of the upstream.
const FAILURE_STATUS: u16 = 500;
/// Length of the first pause in borrowing from a group after a borrowed slot was refused. The pause
/// starts from at least a quarter of the round trip, and each further refusal doubles it.
const GROUP_BACKOFF_US: u64 = 2_000;
/// The most doublings of a group's backoff.
const GROUP_BACKOFF_DOUBLINGS: u32 = 3;

impl Router {
    /// Records how an attempt ended, and starts a backoff or an ejection if it calls for one.
    /// Ignored when the upstream is in no group any more.
    pub(crate) fn record_ending(
        &mut self,
        now_us: TimeUs,
        upstream_id: usize,
        since_us: TimeUs,
        borrowed: bool,
        ending: Ending,
    ) {
        let Some(listing) = self.table.upstreams[upstream_id].listing else {
            return;
        };
        let upstream = &mut self.table.upstreams[upstream_id];
        let trusted = upstream.is_trusted();
        let service = &mut self.table.services[listing.service];
        let round_trip_us = match upstream.region {
            OWN_REGION => 0,
            region => 2 * self.table.regions[region].delay_us.unwrap_or(0),
        };
        let raw_us = now_us.since_us(since_us);
        // An answer that came sooner than the declared round trip shows that the declared delay is
        // too long, so nothing is subtracted.
        let latency_us = if raw_us > round_trip_us {
            raw_us - round_trip_us
        } else {
            raw_us
        };
        let remote = Some(upstream.region) != service.home_region();
        let group = &mut service.groups[listing.group];
        match ending {
            Ending::Finished { status } if status < FAILURE_STATUS => {
                let service_us = service.latency_us.get();
                if borrowed {
                    group.recent_refusals = group.recent_refusals.saturating_sub(1);
                }
                let bound_us = service_us.map_or(u64::MAX, |us| us * OUTLIER_FACTOR);
                service.latency_us.add(latency_us.min(bound_us));
                service.record_region_latency(upstream.region, latency_us);
                service.shift.record_answer(remote, Some(latency_us));
                upstream.evidence.record_answer(latency_us, upstream.slots);
            }
            Ending::Finished { .. } | Ending::Broken | Ending::CutShort => {
                service.shift.record_answer(remote, None);
                upstream.evidence.record_failure();
            }
            Ending::NotSent => {
                service.shift.record_answer(remote, None);
                upstream.evidence.record_failure();
                self.start_backoff(now_us, upstream_id, round_trip_us);
            }
            Ending::Refused => {
                if borrowed {
                    let doublings = group.recent_refusals.min(GROUP_BACKOFF_DOUBLINGS);
                    group.recent_refusals += 1;
                    group.backoff_until_us =
                        now_us.after_us(GROUP_BACKOFF_US.max(round_trip_us / 4) << doublings);
                }
                self.start_backoff(now_us, upstream_id, round_trip_us);
            }
            Ending::Cancelled => return,
        }
        self.eject_if_unhealthy(now_us, upstream_id, listing.service);
        self.table.refresh_open_list(upstream_id);
        if self.table.upstreams[upstream_id].is_trusted() != trusted {
            self.assign_service_home_slots(listing.service);
        }
    }

    /// Makes upstreams available again whose backoff or ejection has ended.
    pub(crate) fn end_suspensions(&mut self, now_us: TimeUs) {
        while let Some(&(until_us, id)) = self.suspension_ends.first() {
            if !until_us.reached(now_us) {
                return;
            }
            self.suspension_ends.remove(&(until_us, id));
            let evidence = &mut self.table.upstreams[id].evidence;
            evidence.backoff_until_us = evidence.backoff_until_us.filter(|&t| !t.reached(now_us));
            evidence.ejected_until_us = evidence.ejected_until_us.filter(|&t| !t.reached(now_us));
            self.table.refresh_open_list(id);
        }
    }

    fn start_backoff(&mut self, now_us: TimeUs, id: usize, round_trip_us: u64) {
        if self.config.policy == Policy::Adaptive {
            let until_us = self.table.upstreams[id]
                .evidence
                .start_backoff(now_us, round_trip_us);
            self.suspension_ends.insert((until_us, id));
        }
    }

    /// Ejects an upstream that fails too often or is too slow, unless too many of the service are
    /// ejected already.
    fn eject_if_unhealthy(&mut self, now_us: TimeUs, id: usize, service_id: usize) {
        let service = &self.table.services[service_id];
        let upstream = &self.table.upstreams[id];
        let (evidence, region) = (&upstream.evidence, upstream.region);
        if self.config.policy != Policy::Adaptive
            || evidence.ejected_until_us.is_some()
            || evidence.health(service.region_latency_us(region)) == Health::Healthy
        {
            return;
        }
        if self.ejected_upstreams(service_id).len() >= self.max_ejected(service_id) {
            self.counters.ejections_held += 1;
            return;
        }
        let until_us = self.table.upstreams[id].evidence.eject(now_us);
        self.suspension_ends.insert((until_us, id));
        self.counters.ejections += 1;
    }

    /// Ends ejections, those that would end first before others, until the limit on ejected
    /// upstreams holds.
    pub(crate) fn enforce_ejection_limit(&mut self, service_id: usize) {
        let max_ejected = self.max_ejected(service_id);
        let mut ejected = self.ejected_upstreams(service_id);
        ejected.sort_by_key(|&id| self.table.upstreams[id].evidence.ejected_until_us);
        let surplus = ejected.len().saturating_sub(max_ejected);
        for id in ejected.into_iter().take(surplus) {
            self.table.upstreams[id].evidence.ejected_until_us = None;
            self.table.refresh_open_list(id);
        }
    }

    fn ejected_upstreams(&self, service_id: usize) -> Vec<usize> {
        let groups = self.table.services[service_id].groups.iter();
        let members = groups.flat_map(|group| &group.members).copied();
        members
            .filter(|&id| self.table.upstreams[id].is_ejected())
            .collect()
    }

    /// The most upstreams of a service that may be ejected at once.
    fn max_ejected(&self, service_id: usize) -> usize {
        let usable = self.table.services[service_id].usable_count();
        usable * self.config.limits.eject_percent as usize / 100
    }
}
