//! The gateways that follow this replica, and which of them a client is told to use.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use types::{DomainName, EntryName, RegionName, TimeUs};

/// The shortest period in which a gateway asks one replica, in milliseconds.
const FOLLOW_MIN_MS: u64 = 400;

/// The longest period in which a gateway asks one replica, in milliseconds.
const FOLLOW_MAX_MS: u64 = 1_000;

/// By how much each gateway lengthens the period, in milliseconds.
const FOLLOW_STEP_MS: u64 = 4;

/// How many periods a gateway may miss before it is taken for lost.
const MISSED_PERIODS: u64 = 3;

/// The most gateways that one answer names.
const NAMED_MAX: usize = 16;

/// The period in which each gateway asks each replica, so that all of them together cost a replica
/// about the same at any size.
#[must_use]
pub fn follow_interval_ms(gateways: usize) -> u64 {
    let step_ms = FOLLOW_STEP_MS.saturating_mul(gateways as u64);
    (FOLLOW_MIN_MS + step_ms).min(FOLLOW_MAX_MS)
}

/// What a gateway says of itself when it asks for changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewayReport {
    /// Where clients reach it.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain it stands in.
    pub failure_domain: DomainName,
    /// Whether clients should use it.
    pub takes_clients: bool,
}

#[derive(Clone, Debug)]
struct Heard {
    report: GatewayReport,
    lost_us: TimeUs,
}

/// The gateways that asked for changes lately.
#[derive(Debug, Default)]
pub(crate) struct Gateways {
    heard: BTreeMap<EntryName, Heard>,
    /// How many answers named gateways so far; each begins after the one before.
    answers: usize,
}

impl Gateways {
    /// Notes what a gateway says of itself.
    pub(crate) fn note(&mut self, name: &EntryName, report: &GatewayReport, now_us: TimeUs) {
        let patience_ms = MISSED_PERIODS * follow_interval_ms(self.heard.len());
        let heard = Heard {
            report: report.clone(),
            lost_us: now_us.after_ms(patience_ms),
        };
        self.heard.insert(name.clone(), heard);
    }

    /// Drops the gateways that were not heard for too long.
    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        self.heard.retain(|_, heard| !heard.lost_us.reached(now_us));
    }

    pub(crate) fn len(&self) -> usize {
        self.heard.len()
    }

    /// The gateways for a client: those of its failure domain first, then those of its region;
    /// any, where its region has none. Where an answer can't name them all, answers take turns.
    pub(crate) fn locate(&mut self, region: &str, domain: &str) -> Vec<SocketAddr> {
        let usable = self.heard.values().map(|heard| &heard.report);
        let usable = usable.filter(|report| report.takes_clients);
        let mut named: Vec<(u8, SocketAddr)> = usable
            .map(|report| {
                let rank = match report {
                    _ if report.failure_domain.as_str() == domain => 0,
                    _ if report.region.as_str() == region => 1,
                    _ => 2,
                };
                (rank, report.address)
            })
            .collect();
        named.sort_unstable();
        let nearest = named.first().map_or(0, |(rank, _)| *rank).max(1);
        let first = self.answers.wrapping_mul(NAMED_MAX);
        self.answers = self.answers.wrapping_add(1);
        let same_rank = named.chunk_by(|(one, _), (other, _)| one == other);
        let near = same_rank.filter(|group| group[0].0 <= nearest);
        let in_turn = near.flat_map(|group| {
            let (before, after) = group.split_at(first % group.len());
            after.iter().chain(before)
        });
        in_turn
            .take(NAMED_MAX)
            .map(|(_, address)| *address)
            .collect()
    }
}
