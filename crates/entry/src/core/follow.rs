//! What the entry asks control replicas and other entries, and what follows from their answers.

use super::EntryCore;
use crate::{
    api::{Output, PeerAddress, ReplicaAnswer},
    config::Applied,
    peers::Outstanding,
    progress::ProgressView,
};
use member::{Event, PeerAnswer};
use share::Want;
use types::{EntryName, ReplicaName, ResourceProgress, TimeUs, poll_interval_ms};

/// The period of questions to each other entry.
const SYNC_PERIOD_MS: u64 = 250;

impl EntryCore {
    /// Asks the replicas that are due.
    pub(super) fn poll(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let period_ms = poll_interval_ms(self.config.entries().count());
        let due = self.polls.due(now_us, period_ms);
        if due.is_empty() {
            return;
        }
        let progress = self.progress(now_us);
        for replica in due {
            let serial = self.next_serial;
            self.next_serial += 1;
            self.polls.ask(&replica, serial, now_us);
            let wants = self.wants(now_us, &replica);
            outputs.push(Output::Poll {
                replica,
                serial,
                applied_index: self.config.applied_index(),
                layout_epoch: self.claims.layout_epoch(),
                progress: progress.clone(),
                wants,
            });
        }
    }

    /// What is wanted of capacities and links, for the replica that grants.
    pub(super) fn wants(&mut self, now_us: TimeUs, replica: &ReplicaName) -> Vec<Want> {
        if !self.shares.asks(replica, now_us) {
            return Vec::new();
        }
        let wants = self.shares.wants(now_us, &self.config, &mut self.router);
        self.shares.measure_anew(now_us);
        wants
    }

    pub(super) fn progress(&self, now_us: TimeUs) -> Vec<ResourceProgress> {
        let view = ProgressView {
            own_name: &self.own.name,
            own_region: &self.own.region,
            own_domain: &self.own.failure_domain,
            config: &self.config,
            members: &self.members,
            router: &self.router,
            shares: &self.shares,
        };
        view.report(now_us)
    }

    pub(super) fn sync(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        self.next_sync_us = now_us.after_ms(SYNC_PERIOD_MS);
        for (name, peer) in self.peers.iter_mut() {
            let serial = self.next_serial;
            self.next_serial += 1;
            peer.outstanding.ask(serial, now_us);
            let since_version = peer.since_version;
            outputs.push(Output::Sync {
                peer: name.clone(),
                serial,
                since_version,
            });
        }
    }

    pub(super) fn poll_answered(
        &mut self,
        now_us: TimeUs,
        replica: &ReplicaName,
        serial: u64,
        mut answer: ReplicaAnswer,
        outputs: &mut Vec<Output>,
    ) {
        let Some(asked_us) = self.polls.answered(replica, serial) else {
            return;
        };
        self.lease.record(replica, asked_us, &answer);
        let grants = std::mem::take(&mut answer.grants);
        let layout = answer
            .layout
            .take()
            .filter(|_| answer.applied_index >= self.config.applied_index());
        let applied = self.config.apply(answer);
        if applied.moved {
            self.follow_config(now_us, &applied, outputs);
        }
        if layout.is_some() {
            self.unconfirmed_layout = layout;
        }
        self.lease.renew(self.config.applied_index());
        self.claims.lease(now_us, self.lease.until_us());
        self.adopt_layout(now_us);
        let (router, routed) = (&mut self.router, &mut self.routed);
        self.shares
            .take(now_us, asked_us, replica, &grants, |input| {
                router.step(now_us, input, routed);
            });
    }

    /// Takes the latest layout of claims once a majority confirmed the configuration it came with.
    pub(super) fn adopt_layout(&mut self, now_us: TimeUs) {
        if !self.lease.is_held(now_us) {
            return;
        }
        if let Some(layout) = self.unconfirmed_layout.take() {
            self.claims.adopt(now_us, layout);
        }
    }

    /// Tells the router which other entries take requests, since they share the upstreams' slots.
    pub(super) fn follow_peers(&mut self, now_us: TimeUs) {
        for (name, active) in self.peers.changed_health(now_us) {
            self.route(
                now_us,
                route::Input::EntryActive {
                    name: &name,
                    active,
                },
            );
        }
    }

    pub(super) fn follow_config(
        &mut self,
        now_us: TimeUs,
        applied: &Applied,
        outputs: &mut Vec<Output>,
    ) {
        for resource in &applied.withdrawn {
            self.route(now_us, route::Input::Withdrawn(resource));
        }
        for resource in &applied.declared {
            self.route(now_us, route::Input::Declared(resource));
        }
        let others = self
            .config
            .entries()
            .filter(|(name, _)| *name != self.own.name);
        let others = others.map(|(name, spec)| PeerAddress {
            name,
            address: spec.peer_address,
        });
        if let Some(peers) = self.peers.declare(others) {
            outputs.push(Output::Peers(peers));
        }
        outputs.push(Output::ConfigChanged {
            applied_index: self.config.applied_index(),
        });
        self.polls.ask_all(now_us);
    }

    pub(super) fn sync_answered(
        &mut self,
        now_us: TimeUs,
        name: &EntryName,
        serial: u64,
        answer: &PeerAnswer,
        stopping: bool,
    ) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let Some(asked_us) = peer.outstanding.answered(serial) else {
            return;
        };
        peer.heard(asked_us, answer.version, stopping);
        self.members
            .merge(now_us, asked_us, answer, &mut self.events);
        self.follow_members(now_us);
    }

    pub(super) fn peer_down(&mut self, name: &EntryName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.since_version = 0;
            peer.outstanding = Outstanding::default();
        }
    }

    /// Hands the router what changed in the table of upstreams.
    pub(super) fn follow_members(&mut self, now_us: TimeUs) {
        for event in std::mem::take(&mut self.events) {
            let (Event::Changed(name) | Event::Expired(name)) = &event;
            let input = match self.members.get(name) {
                Some(announcement) => route::Input::Upstream { name, announcement },
                None => route::Input::UpstreamGone { name },
            };
            self.router.step(now_us, input, &mut self.routed);
        }
    }
}
