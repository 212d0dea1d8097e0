//! The other declared entries and the questions that are under way to them.

use crate::api::PeerAddress;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};
use types::{EntryName, TimeUs};

/// How many unanswered questions to one receiver are remembered.
const OUTSTANDING_MAX: usize = 8;

/// An entry that has not answered for this long is left out of look-up answers.
const HEALTHY_WITHIN_MS: u64 = 1_500;

/// The questions under way to one receiver, oldest first.
#[derive(Debug, Default)]
pub struct Outstanding {
    asked: VecDeque<(u64, TimeUs)>,
}

impl Outstanding {
    /// Notes a question.
    pub fn ask(&mut self, serial: u64, now_us: TimeUs) {
        if self.asked.len() == OUTSTANDING_MAX {
            self.asked.pop_front();
        }
        self.asked.push_back((serial, now_us));
    }

    /// When the question was asked that this answers; older ones are forgotten.
    pub fn answered(&mut self, serial: u64) -> Option<TimeUs> {
        while let Some((asked, asked_us)) = self.asked.pop_front() {
            if asked == serial {
                return Some(asked_us);
            }
            if asked > serial {
                self.asked.push_front((asked, asked_us));
                return None;
            }
        }
        None
    }
}

/// Another entry.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    /// The version of its last answer.
    pub since_version: u64,
    /// The questions under way to it.
    pub outstanding: Outstanding,
    healthy_until_us: TimeUs,
    /// What was last told of its health.
    told_healthy: bool,
}

impl Peer {
    /// Notes that it answered a question asked at `asked_us`.
    pub fn heard(&mut self, asked_us: TimeUs, version: u64, stopping: bool) {
        self.since_version = version;
        self.healthy_until_us = if stopping {
            TimeUs::default()
        } else {
            asked_us.after_ms(HEALTHY_WITHIN_MS)
        };
    }
}

/// The other declared entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<EntryName, Peer>,
}

impl Peers {
    /// Takes the declared entries; returns the addresses when they changed.
    pub fn declare(
        &mut self,
        declared: impl Iterator<Item = PeerAddress>,
    ) -> Option<Vec<PeerAddress>> {
        let declared: Vec<PeerAddress> = declared.collect();
        let known = self.peers.iter();
        let known: Vec<PeerAddress> = known
            .map(|(name, p)| PeerAddress {
                name: name.clone(),
                address: p.address,
            })
            .collect();
        if known == declared {
            return None;
        }
        let mut former = std::mem::take(&mut self.peers);
        for peer in &declared {
            let kept = former
                .remove(&peer.name)
                .filter(|kept| kept.address == peer.address);
            let peer_state = kept.unwrap_or_else(|| Peer {
                address: peer.address,
                since_version: 0,
                outstanding: Outstanding::default(),
                healthy_until_us: TimeUs::default(),
                told_healthy: true,
            });
            self.peers.insert(peer.name.clone(), peer_state);
        }
        Some(declared)
    }

    /// One entry.
    pub fn get_mut(&mut self, name: &EntryName) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    /// Every entry.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&EntryName, &mut Peer)> {
        self.peers.iter_mut()
    }

    /// Entries whose health changed since the last call.
    pub fn changed_health(&mut self, now_us: TimeUs) -> Vec<(EntryName, bool)> {
        let mut changed = Vec::new();
        for (name, peer) in &mut self.peers {
            let healthy = !peer.healthy_until_us.reached(now_us);
            if healthy != peer.told_healthy {
                peer.told_healthy = healthy;
                changed.push((name.clone(), healthy));
            }
        }
        changed
    }

    /// Whether an entry answered lately and is not stopping.
    pub fn is_healthy(&self, name: &EntryName, now_us: TimeUs) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| !peer.healthy_until_us.reached(now_us))
    }
}
