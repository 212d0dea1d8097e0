//! The core that joins lease, configuration, upstreams and router.

use crate::{
    api::{Arrival, EntryConfig, Input, Output, PeerAddress, ReplicaAnswer},
    claims::{Claimed, Claims},
    config::{Applied, Config},
    lease::Lease,
    lookup::LookupView,
    peers::{Outstanding, Peers},
    progress::ProgressView,
    shares::Shares,
};
use claim::{Ending as ClaimEnding, HolderStatus, Layout, Limits, Message, Peer, Timing};
use member::{Announced, Event, MemberRow, Members, PeerAnswer};
use route::{Ending, RequestId, Router, RouterConfig, Settled};
use serde::Serialize;
use share::HeldRow;
use std::{collections::BTreeMap, net::IpAddr};
use types::{
    Announcement, CONFIG_LEASE_MS, EntryName, LookupAnswer, Outcome, Refusal, ReplicaName,
    Resource, ResourceProgress, ServiceName, ServiceSpec, TimeUs, UpstreamName, poll_interval_ms,
};

/// The period of questions to each other entry.
const SYNC_PERIOD_MS: u64 = 250;

/// Other entries may name this one for so long after it began to stop.
const STOP_NOTICE_MS: u64 = 1_500;

/// Where an entry stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Out of the look-up answers; serves callers that hold an older answer until then.
    Leaving {
        closes_us: TimeUs,
    },
    /// Finishes what is in flight.
    Closing,
}

/// A request that waits for the claim on its key.
#[derive(Debug)]
struct Unclaimed {
    service: ServiceName,
    deadline_us: TimeUs,
}

/// The decisions of an entry.
#[derive(Debug)]
pub struct EntryCore {
    own: EntryConfig,
    config: Config,
    lease: Lease,
    lease_held: bool,
    members: Members,
    router: Router,
    peers: Peers,
    polls: BTreeMap<ReplicaName, Outstanding>,
    shares: Shares,
    claims: Claims,
    unclaimed: BTreeMap<RequestId, Unclaimed>,
    unconfirmed_layout: Option<Layout>,
    phase: Phase,
    next_serial: u64,
    next_poll_us: TimeUs,
    next_sync_us: TimeUs,
    events: Vec<Event>,
    routed: Vec<route::Output>,
}

/// An entry's whole state, for the process dump.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryDump<'a> {
    name: &'a EntryName,
    applied_index: u64,
    lease_left_ms: u64,
    stopping: bool,
    in_flight: usize,
    shares: Vec<HeldRow<'a>>,
    router: route::Snapshot,
    claims: HolderStatus,
    waiting_for_claims: usize,
    upstreams: Vec<MemberRow<'a>>,
    resources: Vec<&'a Resource>,
}

impl EntryCore {
    /// An entry that knows nothing yet and takes no work.
    #[must_use]
    pub fn new(own: EntryConfig, router: RouterConfig, now_us: TimeUs) -> Self {
        let polls = own
            .replicas
            .iter()
            .map(|name| (name.clone(), Outstanding::default()));
        Self {
            polls: polls.collect(),
            shares: Shares::new(own.region.clone(), now_us),
            claims: Claims::new(own_peer(&own), now_us, timing(), Limits::default()),
            unclaimed: BTreeMap::new(),
            unconfirmed_layout: None,
            own,
            config: Config::default(),
            lease: Lease::new(),
            lease_held: false,
            members: Members::new(),
            router: Router::new(router),
            peers: Peers::default(),
            phase: Phase::Running,
            next_serial: 1,
            next_poll_us: now_us,
            next_sync_us: now_us,
            events: Vec::new(),
            routed: Vec::new(),
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn step(&mut self, now_us: TimeUs, input: Input<'_>, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now_us, outputs),
            Input::PollAnswer {
                replica,
                serial,
                answer,
            } => {
                self.poll_answered(now_us, replica, serial, answer, outputs);
            }
            Input::SyncAnswer {
                peer,
                serial,
                answer,
                stopping,
            } => {
                self.sync_answered(now_us, peer, serial, &answer, stopping);
            }
            Input::PeerDown { peer } => self.peer_down(peer),
            Input::Arrive(arrival) => self.arrive(now_us, arrival, outputs),
            Input::Answering { request } => {
                self.route(now_us, route::Input::Answering { request });
            }
            Input::Ended {
                request,
                ending,
                answer,
            } => {
                self.ended(now_us, request, ending, answer);
            }
            Input::Claim { from, message } => self.claims.receive(now_us, from, message),
            Input::Stop => self.stop(now_us),
        }
        self.drain_routed(now_us, outputs);
        self.drain_claims(now_us, outputs);
        self.note_lease(now_us, outputs);
    }

    /// Takes an announcement that an upstream made here.
    pub fn announce(
        &mut self,
        now_us: TimeUs,
        name: &UpstreamName,
        announcement: &Announcement,
        outputs: &mut Vec<Output>,
    ) -> Announced {
        let announced = self
            .members
            .announce(now_us, name, announcement, &mut self.events);
        self.follow_members(now_us);
        self.drain_routed(now_us, outputs);
        announced
    }

    /// Answers another entry's question for the upstreams that were heard here.
    #[must_use]
    pub fn sync_answer(&self, now_us: TimeUs, since_version: u64) -> PeerAnswer {
        self.members.answer(now_us, since_version)
    }

    /// Which entries a client should use for a declared service.
    #[must_use]
    pub fn lookup(
        &self,
        now_us: TimeUs,
        service: &ServiceName,
        client: IpAddr,
    ) -> Option<LookupAnswer> {
        let blocks = self.own.client_blocks.as_ref();
        let declared = blocks.and_then(|blocks| blocks.region(client));
        let view = LookupView {
            own_name: &self.own.name,
            own_open: !self.is_stopping() && self.lease.is_held(now_us),
            near: declared.unwrap_or(&self.own.region),
            client,
            config: &self.config,
            peers: &self.peers,
            lifetime_ms: self.own.lookup_lifetime_ms,
        };
        view.answer(now_us, service)
    }

    /// Whether the entry takes work.
    #[must_use]
    pub fn is_ready(&self, now_us: TimeUs) -> bool {
        self.phase == Phase::Running && self.lease.is_held(now_us)
    }

    /// Whether the entry was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase != Phase::Running
    }

    /// The index of the configuration that it runs.
    #[must_use]
    pub const fn applied_index(&self) -> u64 {
        self.config.applied_index()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self, now_us: TimeUs) -> EntryDump<'_> {
        EntryDump {
            name: &self.own.name,
            applied_index: self.config.applied_index(),
            lease_left_ms: self.lease.until_us().since_us(now_us) / 1_000,
            stopping: self.is_stopping(),
            in_flight: self.shares.live_requests(),
            shares: self.shares.rows(now_us),
            router: self.router.snapshot(now_us),
            claims: self.claims.status(),
            waiting_for_claims: self.claims.waiting(),
            upstreams: self.members.rows(now_us).collect(),
            resources: self.config.resources().collect(),
        }
    }

    fn tick(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        self.members.expire(now_us, &mut self.events);
        self.follow_members(now_us);
        self.follow_peers(now_us);
        self.route(now_us, route::Input::Tick);
        if self.next_poll_us.reached(now_us) {
            self.poll(now_us, outputs);
        }
        if self.next_sync_us.reached(now_us) {
            self.sync(now_us, outputs);
        }
        self.claims.tick(now_us);
        self.tick_phase(now_us, outputs);
    }

    fn tick_phase(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        if let Phase::Leaving { closes_us } = self.phase
            && closes_us.reached(now_us)
        {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Closing && self.shares.live_requests() == 0 {
            outputs.push(Output::Stopped);
        }
    }

    fn poll(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let entries = self.config.entries().count();
        self.next_poll_us = now_us.after_ms(poll_interval_ms(entries));
        let applied_index = self.config.applied_index();
        let progress = self.progress(now_us);
        let wants = self.shares.wants(now_us, &self.config, &mut self.router);
        for (replica, outstanding) in &mut self.polls {
            let serial = self.next_serial;
            self.next_serial += 1;
            outstanding.ask(serial, now_us);
            let asks = self.shares.asks(replica, now_us);
            let wants = if asks { wants.clone() } else { Vec::new() };
            let layout_epoch = self.claims.layout_epoch();
            outputs.push(Output::Poll {
                replica: replica.clone(),
                serial,
                applied_index,
                layout_epoch,
                progress: progress.clone(),
                wants,
            });
        }
        self.shares.measure_anew(now_us);
    }

    fn progress(&self, now_us: TimeUs) -> Vec<ResourceProgress> {
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

    fn sync(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
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

    fn poll_answered(
        &mut self,
        now_us: TimeUs,
        replica: &ReplicaName,
        serial: u64,
        mut answer: ReplicaAnswer,
        outputs: &mut Vec<Output>,
    ) {
        let outstanding = self.polls.get_mut(replica);
        let Some(asked_us) = outstanding.and_then(|asked| asked.answered(serial)) else {
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
    fn adopt_layout(&mut self, now_us: TimeUs) {
        if !self.lease.is_held(now_us) {
            return;
        }
        if let Some(layout) = self.unconfirmed_layout.take() {
            self.claims.adopt(now_us, layout);
        }
    }

    /// Tells the router which other entries take requests, since they share the upstreams' slots.
    fn follow_peers(&mut self, now_us: TimeUs) {
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

    fn follow_config(&mut self, now_us: TimeUs, applied: &Applied, outputs: &mut Vec<Output>) {
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
        self.next_poll_us = now_us;
    }

    fn sync_answered(
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

    fn peer_down(&mut self, name: &EntryName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.since_version = 0;
            peer.outstanding = Outstanding::default();
        }
    }

    fn arrive(&mut self, now_us: TimeUs, arrival: Arrival<'_>, outputs: &mut Vec<Output>) {
        let Arrival {
            request,
            service,
            patience_ms,
            key,
        } = arrival;
        let spec = match self.admit(now_us, service) {
            Ok(spec) => spec,
            Err(refusal) => {
                // An earlier sending of a request with a key may have run.
                let outcome = key.map_or(Outcome::DidNotRun, |_| Outcome::Unknown);
                settle(request, outcome, refusal, outputs);
                return;
            }
        };
        let patience_ms = patience_ms
            .unwrap_or(spec.deadline_ms)
            .min(spec.deadline_ms);
        let deadline_us = now_us.after_ms(patience_ms);
        let claims_key = key.filter(|_| !spec.idempotent);
        self.shares.arrive(request, &self.config, service);
        match claims_key {
            Some(key) => {
                let unclaimed = Unclaimed {
                    service: service.clone(),
                    deadline_us,
                };
                self.unclaimed.insert(request, unclaimed);
                self.claims
                    .request(now_us, request, key.clone(), deadline_us);
            }
            None => self.run(now_us, request, service, deadline_us),
        }
    }

    /// The service, if a request of it may be taken now.
    fn admit(&self, now_us: TimeUs, service: &ServiceName) -> Result<&ServiceSpec, Refusal> {
        if self.phase == Phase::Closing {
            return Err(Refusal::Stopping);
        }
        if !self.lease.is_held(now_us) {
            return Err(Refusal::ConfigurationLease);
        }
        self.config.service(service).ok_or(Refusal::UnknownService)
    }

    /// Hands a request to the router.
    fn run(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        service: &ServiceName,
        deadline_us: TimeUs,
    ) {
        let idempotent = self
            .config
            .service(service)
            .is_some_and(|spec| spec.idempotent);
        self.route(
            now_us,
            route::Input::Arrive {
                request,
                service,
                deadline_us,
                idempotent,
            },
        );
    }

    fn ended(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        ending: Ending,
        answer: Option<Vec<u8>>,
    ) {
        let claim_ending = match ending {
            Ending::Finished { status } => Some(ClaimEnding::Finished { status, answer }),
            Ending::CutShort => Some(ClaimEnding::Unknown),
            Ending::Cancelled if self.shares.is_sent(request) => Some(ClaimEnding::Unknown),
            Ending::Cancelled => Some(ClaimEnding::DidNotRun),
            Ending::NotSent | Ending::Refused | Ending::Broken => None,
        };
        let was_unclaimed = self.unclaimed.remove(&request).is_some();
        match claim_ending {
            Some(claim_ending) => {
                self.shares.settle(request);
                self.claims.ended(now_us, request, claim_ending);
            }
            None => self.shares.attempt_ended(request),
        }
        if !was_unclaimed {
            self.route(now_us, route::Input::Ended { request, ending });
        }
    }

    /// Carries out what the claims decided and sends their messages.
    fn drain_claims(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let (mut send, mut decided) = (Vec::new(), Vec::new());
        self.claims.drain(now_us, &mut send, &mut decided);
        let messages = send.into_iter();
        outputs.extend(
            messages.map(|(to, message): (EntryName, Message)| Output::Claim { to, message }),
        );
        for claimed in decided {
            self.claimed(now_us, claimed, outputs);
        }
        self.drain_routed(now_us, outputs);
    }

    fn claimed(&mut self, now_us: TimeUs, claimed: Claimed, outputs: &mut Vec<Output>) {
        match claimed {
            Claimed::Run { request, before_us } => {
                if let Some(unclaimed) = self.unclaimed.remove(&request) {
                    let deadline_us = unclaimed.deadline_us.min(before_us);
                    self.run(now_us, request, &unclaimed.service, deadline_us);
                }
            }
            Claimed::Replay {
                request,
                status,
                answer,
            } => {
                self.give_up(request);
                outputs.push(Output::Replay {
                    request,
                    status,
                    answer,
                });
            }
            Claimed::Duplicate { request, finished } => {
                self.give_up(request);
                let outcome = if finished {
                    Outcome::Finished
                } else {
                    Outcome::Unknown
                };
                settle(request, outcome, Refusal::Duplicate, outputs);
            }
            Claimed::Unavailable { request } => {
                self.give_up(request);
                settle(
                    request,
                    Outcome::Unknown,
                    Refusal::ClaimUnavailable,
                    outputs,
                );
            }
        }
    }

    fn give_up(&mut self, request: RequestId) {
        self.unclaimed.remove(&request);
        self.shares.settle(request);
    }

    fn stop(&mut self, now_us: TimeUs) {
        if self.phase == Phase::Running {
            let notice_ms = STOP_NOTICE_MS + self.own.lookup_lifetime_ms;
            self.phase = Phase::Leaving {
                closes_us: now_us.after_ms(notice_ms),
            };
        }
    }

    /// Hands the router what changed in the table of upstreams.
    fn follow_members(&mut self, now_us: TimeUs) {
        for event in std::mem::take(&mut self.events) {
            let (Event::Changed(name) | Event::Gone(name)) = &event;
            let input = match self.members.get(name) {
                Some(announcement) => route::Input::Upstream { name, announcement },
                None => route::Input::UpstreamGone { name },
            };
            self.router.step(now_us, input, &mut self.routed);
        }
    }

    fn route(&mut self, now_us: TimeUs, input: route::Input<'_>) {
        self.router.step(now_us, input, &mut self.routed);
    }

    fn drain_routed(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        for output in self.routed.drain(..) {
            match &output {
                route::Output::Settle { request, settled } => {
                    self.shares.settle(*request);
                    let ending = match settled.outcome {
                        Outcome::DidNotRun => ClaimEnding::DidNotRun,
                        Outcome::Finished | Outcome::Unknown => ClaimEnding::Unknown,
                    };
                    self.claims.ended(now_us, *request, ending);
                }
                route::Output::Forward {
                    request, region, ..
                } => {
                    self.shares.begin(*request, region);
                }
                route::Output::Cancel { .. } => {}
            }
            outputs.push(Output::Route(output));
        }
    }

    fn note_lease(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let held = self.lease.is_held(now_us);
        if held != self.lease_held {
            self.lease_held = held;
            outputs.push(Output::LeaseChanged { held });
        }
    }
}

fn own_peer(own: &EntryConfig) -> Peer {
    Peer {
        entry: own.name.clone(),
        incarnation: own.incarnation,
    }
}

/// The times of claims, the same at every entry.
fn timing() -> Timing {
    Timing {
        lease_us: CONFIG_LEASE_MS * 1_000,
        ..Timing::default()
    }
}

fn settle(request: RequestId, outcome: Outcome, refusal: Refusal, outputs: &mut Vec<Output>) {
    let settled = Settled {
        outcome,
        refusal: Some(refusal),
    };
    outputs.push(Output::Route(route::Output::Settle { request, settled }));
}
