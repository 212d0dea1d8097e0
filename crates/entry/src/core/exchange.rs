//! Polls control replicas, requests the upstreams of other entries, and applies their answers.

use super::EntryCore;
use crate::{
    api::{Output, PeerAddress, ReplicaAnswer},
    config::ConfigDelta,
    peers::Outstanding,
    progress::ProgressView,
};
use member::{Event, PeerAnswer};
use share::Want;
use types::{EntryName, ReplicaName, ResourceProgress, TimeUs, poll_interval_ms};

/// How often each of the other entries is asked for its upstreams, in milliseconds.
const SYNC_PERIOD_MS: u64 = 250;

impl EntryCore {
    /// Polls the replicas that are due.
    pub(super) fn poll(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let period_ms = poll_interval_ms(self.config.entries().count());
        let due = self.polls.take_due(now_us, period_ms);
        if due.is_empty() {
            return;
        }
        let progress = self.progress(now_us);
        for replica in due {
            let serial = self.next_serial;
            self.next_serial += 1;
            self.polls.record_sent(&replica, serial, now_us);
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

    /// The wants to send to a replica; none if another one grants.
    pub(super) fn wants(&mut self, now_us: TimeUs, replica: &ReplicaName) -> Vec<Want> {
        if !self.shares.may_grant(replica, now_us) {
            return Vec::new();
        }
        let wants = self.shares.wants(now_us, &self.config, &mut self.router);
        self.shares.reset_link_usage(now_us);
        wants
    }

    pub(super) fn progress(&self, now_us: TimeUs) -> Vec<ResourceProgress> {
        let view = ProgressView {
            own_name: &self.settings.name,
            own_region: &self.settings.region,
            own_domain: &self.settings.failure_domain,
            config: &self.config,
            members: &self.members,
            router: &self.router,
            shares: &self.shares,
        };
        view.report(now_us)
    }

    /// Requests the upstreams of every other entry.
    pub(super) fn sync(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        self.next_sync_us = now_us.after_ms(SYNC_PERIOD_MS);
        for (name, peer) in self.peers.iter_mut() {
            let serial = self.next_serial;
            self.next_serial += 1;
            peer.outstanding.record_sent(serial, now_us);
            let since_version = peer.since_version;
            outputs.push(Output::Sync {
                peer: name.clone(),
                serial,
                since_version,
            });
        }
    }

    pub(super) fn handle_poll_answer(
        &mut self,
        now_us: TimeUs,
        replica: &ReplicaName,
        serial: u64,
        mut answer: ReplicaAnswer,
        outputs: &mut Vec<Output>,
    ) {
        let Some(sent_us) = self.polls.match_answer(replica, serial) else {
            return;
        };
        self.lease.record(replica, sent_us, &answer);
        let grants = std::mem::take(&mut answer.grants);
        let layout = answer
            .layout
            .take()
            .filter(|_| answer.applied_index >= self.config.applied_index());
        let delta = self.config.apply(answer);
        if delta.advanced {
            self.apply_config_changes(now_us, &delta, outputs);
        }
        if layout.is_some() {
            self.unconfirmed_layout = layout;
        }
        self.lease.renew(self.config.applied_index());
        self.claims.update_lease(now_us, self.lease.until_us());
        self.apply_confirmed_layout(now_us);
        let (router, router_outputs) = (&mut self.router, &mut self.router_outputs);
        self.shares
            .apply_grants(now_us, sent_us, replica, &grants, |input| {
                router.step(now_us, input, router_outputs);
            });
    }

    /// Applies the latest claim layout once a majority confirmed the configuration it came with.
    pub(super) fn apply_confirmed_layout(&mut self, now_us: TimeUs) {
        if !self.lease.is_held(now_us) {
            return;
        }
        if let Some(layout) = self.unconfirmed_layout.take() {
            self.claims.apply_layout(now_us, layout);
        }
    }

    /// Reports to the router which other entries take requests: they share the upstreams' slots.
    pub(super) fn apply_peer_health(&mut self, now_us: TimeUs) {
        for (name, active) in self.peers.take_health_changes(now_us) {
            self.step_router(
                now_us,
                route::Input::EntryActive {
                    name: &name,
                    active,
                },
            );
        }
    }

    /// Passes changed resources to the router and updates the list of other entries. Then makes the
    /// polls of all replicas due, so that the replicas learn at once what the entry runs.
    pub(super) fn apply_config_changes(
        &mut self,
        now_us: TimeUs,
        delta: &ConfigDelta,
        outputs: &mut Vec<Output>,
    ) {
        for resource in &delta.withdrawn {
            self.step_router(now_us, route::Input::Withdrawn(resource));
        }
        for resource in &delta.declared {
            self.step_router(now_us, route::Input::Declared(resource));
        }
        let others = self
            .config
            .entries()
            .filter(|(name, _)| *name != self.settings.name);
        let others = others.map(|(name, spec)| PeerAddress {
            name,
            address: spec.peer_address,
        });
        if let Some(peers) = self.peers.update(others) {
            outputs.push(Output::Peers(peers));
        }
        outputs.push(Output::ConfigChanged {
            applied_index: self.config.applied_index(),
        });
        self.polls.make_all_due(now_us);
    }

    pub(super) fn handle_sync_answer(
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
        let Some(sent_us) = peer.outstanding.match_answer(serial) else {
            return;
        };
        peer.record_answer(sent_us, answer.version, stopping);
        self.members
            .merge(now_us, sent_us, answer, &mut self.member_events);
        self.apply_member_events(now_us);
    }

    pub(super) fn handle_peer_down(&mut self, name: &EntryName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.since_version = 0;
            peer.outstanding = Outstanding::default();
        }
    }

    /// Passes the changes in the table of upstreams to the router.
    pub(super) fn apply_member_events(&mut self, now_us: TimeUs) {
        for event in std::mem::take(&mut self.member_events) {
            let (Event::Changed(name) | Event::Expired(name)) = &event;
            let input = match self.members.get(name) {
                Some(announcement) => route::Input::Upstream { name, announcement },
                None => route::Input::UpstreamExpired { name },
            };
            self.router.step(now_us, input, &mut self.router_outputs);
        }
    }
}
