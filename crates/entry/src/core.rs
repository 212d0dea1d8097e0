//! The core of an entry, which combines configuration, lease, upstreams, claims, shares and router.

mod exchange;
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
use member::{AnnounceResult, Event, MemberRow, Members, PeerAnswer};
use route::{RequestId, Router, RouterConfig};
use serde::Serialize;
use share::HeldRow;
use std::{collections::BTreeMap, net::IpAddr};
use types::{
    Announcement, CONFIG_LEASE_MS, EntryName, LookupAnswer, Resource, ServiceName, TimeUs,
    UpstreamName,
};

/// How long other entries may still name this one in look-up answers after it began to stop: an
/// entry that missed the notice counts it as healthy for that long (`peers::HEALTHY_WITHIN_MS`).
const STOP_NOTICE_MS: u64 = 1_500;

/// The phases of an entry from its start to its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Left out of look-up answers; serves callers that hold an older answer until `closes_us`.
    Leaving {
        closes_us: TimeUs,
    },
    /// Takes no new requests and finishes those in flight.
    Closing,
}

/// A request that waits for the claim of its idempotency key.
#[derive(Debug)]
struct PendingClaim {
    service: ServiceName,
    deadline_us: TimeUs,
}

/// The state of an entry and the decisions that it takes.
#[derive(Debug)]
pub struct EntryCore {
    settings: EntryConfig,
    config: Config,
    lease: Lease,
    /// Whether the lease was held as of the last [`Output::LeaseChanged`]; false before the first.
    reported_lease_held: bool,
    members: Members,
    router: Router,
    peers: Peers,
    polls: Polls,
    shares: Shares,
    claims: Claims,
    pending_claims: BTreeMap<RequestId, PendingClaim>,
    /// The latest claim layout, until a majority confirmed the configuration it came with.
    unconfirmed_layout: Option<Layout>,
    phase: Phase,
    next_serial: u64,
    next_sync_us: TimeUs,
    member_events: Vec<Event>,
    router_outputs: Vec<route::Output>,
}

/// The state of an entry in the process dump.
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
    /// An entry that has no configuration and no lease yet, and so accepts no requests.
    #[must_use]
    pub fn new(settings: EntryConfig, router: RouterConfig, now_us: TimeUs) -> Self {
        Self {
            polls: Polls::new(&settings.replicas, now_us),
            shares: Shares::new(settings.region.clone(), now_us),
            claims: Claims::new(
                own_peer(&settings),
                now_us,
                claim_timing(),
                Limits::default(),
            ),
            pending_claims: BTreeMap::new(),
            unconfirmed_layout: None,
            settings,
            config: Config::default(),
            lease: Lease::new(),
            reported_lease_held: false,
            members: Members::new(),
            router: Router::new(router),
            peers: Peers::default(),
            phase: Phase::Running,
            next_serial: 1,
            next_sync_us: now_us,
            member_events: Vec::new(),
            router_outputs: Vec::new(),
        }
    }

    /// Handles an event and appends the actions that the shell has to carry out.
    pub fn step(&mut self, now_us: TimeUs, input: Input<'_>, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now_us, outputs),
            Input::PollAnswer {
                replica,
                serial,
                answer,
            } => {
                self.handle_poll_answer(now_us, replica, serial, answer, outputs);
            }
            Input::SyncAnswer {
                peer,
                serial,
                answer,
                stopping,
            } => {
                self.handle_sync_answer(now_us, peer, serial, &answer, stopping);
            }
            Input::PeerDown { peer } => self.handle_peer_down(peer),
            Input::Arrive(arrival) => self.handle_arrival(now_us, arrival, outputs),
            Input::Answering { request } => {
                self.step_router(now_us, route::Input::Answering { request });
            }
            Input::Ended {
                request,
                ending,
                answer,
            } => {
                self.handle_ended(now_us, request, ending, answer);
            }
            Input::Claim { from, message } => self.claims.receive(now_us, from, message),
            Input::Stop => self.begin_stop(now_us),
        }
        self.process_router_outputs(now_us, outputs);
        self.process_claim_outputs(now_us, outputs);
        self.report_lease_change(now_us, outputs);
    }

    /// Records an announcement that an upstream sent to this entry.
    pub fn announce(
        &mut self,
        now_us: TimeUs,
        name: &UpstreamName,
        announcement: &Announcement,
        outputs: &mut Vec<Output>,
    ) -> AnnounceResult {
        let result = self
            .members
            .announce(now_us, name, announcement, &mut self.member_events);
        self.apply_member_events(now_us);
        self.process_router_outputs(now_us, outputs);
        result
    }

    /// Answers another entry's request for the upstreams that announced themselves to this one.
    #[must_use]
    pub fn sync_answer(&self, now_us: TimeUs, since_version: u64) -> PeerAnswer {
        self.members.answer(now_us, since_version)
    }

    /// The entries that a client should use for a service; `None` if it is not declared.
    #[must_use]
    pub fn lookup(
        &self,
        now_us: TimeUs,
        service: &ServiceName,
        client: IpAddr,
    ) -> Option<LookupAnswer> {
        let blocks = self.settings.client_blocks.as_ref();
        let block_region = blocks.and_then(|blocks| blocks.region(client));
        let view = LookupView {
            own_name: &self.settings.name,
            own_takes_callers: !self.is_stopping() && self.lease.is_held(now_us),
            client_region: block_region.unwrap_or(&self.settings.region),
            client,
            config: &self.config,
            peers: &self.peers,
            lifetime_ms: self.settings.lookup_lifetime_ms,
        };
        view.answer(now_us, service)
    }

    /// Whether the entry holds the configuration lease and is not stopping.
    #[must_use]
    pub fn is_ready(&self, now_us: TimeUs) -> bool {
        self.phase == Phase::Running && self.lease.is_held(now_us)
    }

    /// Whether the entry has begun to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase != Phase::Running
    }

    /// The index of the configuration that the entry runs; 0 before the first one.
    #[must_use]
    pub const fn applied_index(&self) -> u64 {
        self.config.applied_index()
    }

    /// The state for the process dump.
    #[must_use]
    pub fn dump(&self, now_us: TimeUs) -> EntryDump<'_> {
        EntryDump {
            name: &self.settings.name,
            applied_index: self.config.applied_index(),
            lease_left_ms: self.lease.until_us().since_us(now_us) / 1_000,
            stopping: self.is_stopping(),
            in_flight: self.shares.request_count(),
            shares: self.shares.rows(now_us),
            router: self.router.snapshot(now_us),
            claims: self.claims.status(),
            waiting_for_claims: self.claims.waiting_count(),
            upstreams: self.members.rows(now_us).collect(),
            resources: self.config.resources().collect(),
        }
    }

    fn tick(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        self.members.expire(now_us, &mut self.member_events);
        self.apply_member_events(now_us);
        self.apply_peer_health(now_us);
        self.step_router(now_us, route::Input::Tick);
        self.poll(now_us, outputs);
        if self.next_sync_us.reached(now_us) {
            self.sync(now_us, outputs);
        }
        self.claims.tick(now_us);
        self.advance_phase(now_us, outputs);
    }

    fn advance_phase(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        if let Phase::Leaving { closes_us } = self.phase
            && closes_us.reached(now_us)
        {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Closing && self.shares.request_count() == 0 {
            outputs.push(Output::Stopped);
        }
    }

    fn begin_stop(&mut self, now_us: TimeUs) {
        if self.phase == Phase::Running {
            let notice_ms = STOP_NOTICE_MS + self.settings.lookup_lifetime_ms;
            self.phase = Phase::Leaving {
                closes_us: now_us.after_ms(notice_ms),
            };
        }
    }

    fn step_router(&mut self, now_us: TimeUs, input: route::Input<'_>) {
        self.router.step(now_us, input, &mut self.router_outputs);
    }

    fn report_lease_change(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let held = self.lease.is_held(now_us);
        if held != self.reported_lease_held {
            self.reported_lease_held = held;
            outputs.push(Output::LeaseChanged { held });
        }
    }
}

fn own_peer(settings: &EntryConfig) -> Peer {
    Peer {
        entry: settings.name.clone(),
        incarnation: settings.incarnation,
    }
}

/// The time limits of claims, which are the same at every entry.
fn claim_timing() -> Timing {
    Timing {
        lease_us: CONFIG_LEASE_MS * 1_000,
        ..Timing::default()
    }
}
