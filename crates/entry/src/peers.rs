//! The other declared entries: their addresses, their health and the requests in flight to them.

use crate::api::PeerAddress;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};
use types::{EntryName, TimeUs};

/// The most unanswered requests to one receiver that are kept; then the oldest is dropped.
const OUTSTANDING_MAX: usize = 8;

/// An entry counts as healthy for this long after a request that it answered was sent. Look-up
/// answers leave out unhealthy entries.
const HEALTHY_WITHIN_MS: u64 = 1_500;

/// The requests in flight to one receiver.
#[derive(Debug, Default)]
pub struct Outstanding {
    /// The serial of each request and when it was sent, oldest first.
    sent: VecDeque<(u64, TimeUs)>,
}

impl Outstanding {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, serial: u64, now_us: TimeUs) {
        if self.sent.len() == OUTSTANDING_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((serial, now_us));
    }

    /// Matches an answer to its request and returns when that was sent; `None` if it is not in
    /// flight. Older requests are dropped.
    pub fn match_answer(&mut self, serial: u64) -> Option<TimeUs> {
        while let Some((sent_serial, sent_us)) = self.sent.pop_front() {
            if sent_serial == serial {
                return Some(sent_us);
            }
            if sent_serial > serial {
                self.sent.push_front((sent_serial, sent_us));
                return None;
            }
        }
        None
    }
}

/// The state kept for another entry.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    /// The version of its last answer; 0 to receive all its upstreams with the next one.
    pub since_version: u64,
    /// The requests in flight to it.
    pub outstanding: Outstanding,
    healthy_until_us: TimeUs,
    /// Its health as last returned by [`Peers::take_health_changes`].
    reported_healthy: bool,
}

impl Peer {
    /// Records its answer to a request sent at `sent_us`. An entry that is stopping counts as
    /// unhealthy at once.
    pub fn record_answer(&mut self, sent_us: TimeUs, version: u64, stopping: bool) {
        self.since_version = version;
        self.healthy_until_us = if stopping {
            TimeUs::default()
        } else {
            sent_us.after_ms(HEALTHY_WITHIN_MS)
        };
    }
}

/// The other declared entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<EntryName, Peer>,
}

impl Peers {
    /// Takes over the declared entries; returns them if their list or an address changed. An entry
    /// whose address stayed the same keeps its state.
    pub fn update(
        &mut self,
        declared: impl Iterator<Item = PeerAddress>,
    ) -> Option<Vec<PeerAddress>> {
        let declared: Vec<PeerAddress> = declared.collect();
        let known = self.peers.iter();
        let known: Vec<PeerAddress> = known
            .map(|(name, peer)| PeerAddress {
                name: name.clone(),
                address: peer.address,
            })
            .collect();
        if known == declared {
            return None;
        }
        let mut previous = std::mem::take(&mut self.peers);
        for peer in &declared {
            let kept = previous
                .remove(&peer.name)
                .filter(|kept| kept.address == peer.address);
            let peer_state = kept.unwrap_or_else(|| Peer {
                address: peer.address,
                since_version: 0,
                outstanding: Outstanding::default(),
                healthy_until_us: TimeUs::default(),
                reported_healthy: true,
            });
            self.peers.insert(peer.name.clone(), peer_state);
        }
        Some(declared)
    }

    /// The state of another entry; `None` if it isn't declared.
    pub fn get_mut(&mut self, name: &EntryName) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    /// The state of every entry, by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&EntryName, &mut Peer)> {
        self.peers.iter_mut()
    }

    /// The entries whose health changed since the last call, each with whether it is healthy. A new
    /// entry starts as reported healthy.
    pub fn take_health_changes(&mut self, now_us: TimeUs) -> Vec<(EntryName, bool)> {
        let mut changed = Vec::new();
        for (name, peer) in &mut self.peers {
            let healthy = !peer.healthy_until_us.reached(now_us);
            if healthy != peer.reported_healthy {
                peer.reported_healthy = healthy;
                changed.push((name.clone(), healthy));
            }
        }
        changed
    }

    /// Whether an entry answered a request sent within [`HEALTHY_WITHIN_MS`] and is not stopping.
    pub fn is_healthy(&self, name: &EntryName, now_us: TimeUs) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| !peer.healthy_until_us.reached(now_us))
    }
}
