//! The core that joins lease, configuration, upstreams and router.

mod follow;
mod requests;

use crate::{
    api::{EntryConfig, Input, Output},
    claims::Claims,
    config::Config,
    lease::Lease,
    lookup::LookupView,
    peers::Peers,
    polls::Polls,
    shares::Shares,
};
use claim::{HolderStatus, Layout, Limits, Peer, Timing};
use member::{Announced, Event, MemberRow, Members, PeerAnswer};
use route::{RequestId, Router, RouterConfig};
use serde::Serialize;
use share::HeldRow;
use std::{collections::BTreeMap, net::IpAddr};
use types::{
    Announcement, CONFIG_LEASE_MS, EntryName, LookupAnswer, Resource, ServiceName, TimeUs,
    UpstreamName,
};

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
    polls: Polls,
    shares: Shares,
    claims: Claims,
    unclaimed: BTreeMap<RequestId, Unclaimed>,
    unconfirmed_layout: Option<Layout>,
    phase: Phase,
    next_serial: u64,
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
        Self {
            polls: Polls::new(&own.replicas, now_us),
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
        self.poll(now_us, outputs);
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

    fn stop(&mut self, now_us: TimeUs) {
        if self.phase == Phase::Running {
            let notice_ms = STOP_NOTICE_MS + self.own.lookup_lifetime_ms;
            self.phase = Phase::Leaving {
                closes_us: now_us.after_ms(notice_ms),
            };
        }
    }

    fn route(&mut self, now_us: TimeUs, input: route::Input<'_>) {
        self.router.step(now_us, input, &mut self.routed);
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
