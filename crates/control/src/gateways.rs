//! The gateways that poll this replica, and the choice of gateways for a client.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use types::{DomainName, EntryName, RegionName, TimeUs};

/// The shortest interval at which a gateway polls one replica, in milliseconds.
const GATEWAY_POLL_MIN_MS: u64 = 400;

/// The longest interval at which a gateway polls one replica, in milliseconds.
const GATEWAY_POLL_MAX_MS: u64 = 1_000;

/// How much each gateway adds to the interval, in milliseconds.
const GATEWAY_POLL_STEP_MS: u64 = 4;

/// A gateway is dropped after this many intervals without a poll.
const MISSED_PERIODS: u64 = 3;

/// How long a gateway that polls no longer may have a static part of quotas, in milliseconds.
const SEEN_MS: u64 = share::STATIC_LIFE_MS;

/// How often expired gateways are dropped, in milliseconds. Each time walks all of them, and thousands of
/// polls may come in a second.
const EXPIRY_INTERVAL_MS: u64 = 50;

/// The most gateways in one answer.
const LOCATED_MAX: usize = 16;

/// The interval at which each gateway polls each replica, in milliseconds. It grows with the number
/// of gateways up to `GATEWAY_POLL_MAX_MS`, so that their combined load on a replica grows more
/// slowly than their number.
#[must_use]
pub fn gateway_poll_interval_ms(gateways: usize) -> u64 {
    let step_ms = GATEWAY_POLL_STEP_MS.saturating_mul(gateways as u64);
    (GATEWAY_POLL_MIN_MS + step_ms).min(GATEWAY_POLL_MAX_MS)
}

/// A gateway's report on itself, sent with every poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewayReport {
    /// The address at which clients reach it.
    pub address: SocketAddr,
    /// The region that it runs in.
    pub region: RegionName,
    /// The failure domain that it runs in.
    pub failure_domain: DomainName,
    /// Whether it is ready for clients; otherwise it is not named to them.
    pub takes_clients: bool,
}

#[derive(Clone, Debug)]
struct LastReport {
    report: GatewayReport,
    expiry_us: TimeUs,
}

/// The gateways that polled this replica within the timeout.
#[derive(Debug, Default)]
pub(crate) struct Gateways {
    last_reports: BTreeMap<EntryName, LastReport>,
    next_expiry_us: TimeUs,
    /// Until when each gateway that ever polled counts as one that may have a static part of quotas.
    seen_until_us: BTreeMap<EntryName, TimeUs>,
    /// The number of answers given to clients; rotates which gateways the next one starts with.
    located_count: usize,
    /// Polls that were not answered because they had waited for too long.
    expired_polls: u64,
}

impl Gateways {
    /// Records a gateway's poll.
    pub(crate) fn record(&mut self, name: &EntryName, report: &GatewayReport, now_us: TimeUs) {
        let timeout_ms = MISSED_PERIODS * gateway_poll_interval_ms(self.last_reports.len());
        let last_report = LastReport {
            report: report.clone(),
            expiry_us: now_us.after_ms(timeout_ms),
        };
        self.last_reports.insert(name.clone(), last_report);
        let seen_until_us = now_us.after_ms(SEEN_MS);
        self.seen_until_us.insert(name.clone(), seen_until_us);
    }

    /// Counts a poll that is not answered because it has waited for too long.
    pub(crate) const fn count_expired_poll(&mut self) {
        self.expired_polls += 1;
    }

    /// The number of such polls.
    pub(crate) const fn expired_polls(&self) -> u64 {
        self.expired_polls
    }

    /// Drops the gateways whose last poll is too old.
    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        if !self.next_expiry_us.reached(now_us) {
            return;
        }
        self.next_expiry_us = now_us.after_ms(EXPIRY_INTERVAL_MS);
        self.last_reports
            .retain(|_, last_report| !last_report.expiry_us.reached(now_us));
        self.seen_until_us
            .retain(|_, until_us| !until_us.reached(now_us));
    }

    pub(crate) fn len(&self) -> usize {
        self.last_reports.len()
    }

    /// The number of gateways that polled within the time for which they may have a static part of
    /// quotas.
    pub(crate) fn seen_count(&self) -> usize {
        self.seen_until_us.len()
    }

    /// The gateways for a client: those of its failure domain first, then those of its region.
    /// Where neither has one, any gateway. Successive answers start at different gateways, so that
    /// each is named where one answer can't hold them all.
    pub(crate) fn locate(&mut self, region: &str, domain: &str) -> Vec<SocketAddr> {
        let usable = self
            .last_reports
            .values()
            .map(|last_report| &last_report.report);
        let usable = usable.filter(|report| report.takes_clients);
        let mut ranked: Vec<(u8, SocketAddr)> = usable
            .map(|report| {
                let rank = match report {
                    _ if report.failure_domain.as_str() == domain => 0,
                    _ if report.region.as_str() == region => 1,
                    _ => 2,
                };
                (rank, report.address)
            })
            .collect();
        ranked.sort_unstable();
        let rank_max = ranked.first().map_or(0, |(rank, _)| *rank).max(1);
        let offset = self.located_count.wrapping_mul(LOCATED_MAX);
        self.located_count = self.located_count.wrapping_add(1);
        let same_rank = ranked.chunk_by(|(one, _), (other, _)| one == other);
        let candidates = same_rank.filter(|group| group[0].0 <= rank_max);
        let rotated = candidates.flat_map(|group| {
            let (before, after) = group.split_at(offset % group.len());
            after.iter().chain(before)
        });
        rotated
            .take(LOCATED_MAX)
            .map(|(_, address)| *address)
            .collect()
    }
}
