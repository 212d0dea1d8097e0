//! A simulated cluster of control replicas: an in-memory network with a fixed delay, a clock that
//! only the test advances, and disks that keep only what was synced.

#![allow(dead_code)]

use control::{
    Answer, Control, ControlConfig, GatewayPoll, GatewayPollAnswer, GatewayReport, Input, Output,
    Poll, PollAnswer, PollRejection, Request,
};
use plan::{Limits, Plan, RetrySafety, Route, ServiceTerms, WeightedService};
use raft::{
    Entry, HardState, Membership, Message, Persist, RaftConfig, ReplicaId, Restored, Role, Snapshot,
};
use share::{QuotaTerms, TokenAnswer, TokenReport, Want};
use state::{Command, Declaration, Operation, ResourceItem};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};
use types::{ApiError, Key, ResourceName, Spec, TimeUs};

const TICK_US: u64 = 10_000;
const MESSAGE_DELAY_US: u64 = 1_000;
pub const SNAPSHOT_ENTRIES: u64 = 100;

/// Replicas take a snapshot after this many bytes of applied entries.
pub const SNAPSHOT_LOG_BYTES: usize = 1024 * 1024;
pub const REQUEST_TIMEOUT_US: u64 = 2_000_000;

/// A replica's disk: what was synced survives [`Cluster::kill`].
#[derive(Clone, Debug, Default)]
pub struct Disk {
    hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Disk {
    fn write(&mut self, persist: &Persist) {
        if let Some(snapshot) = &persist.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = persist.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(persist.entries.iter().cloned());
        if let Some(hard_state) = &persist.hard_state {
            self.hard_state = hard_state.clone();
        }
    }

    /// The bytes of the snapshot and of the log after it that a restart reads back.
    pub fn restart_bytes(&self) -> (usize, usize) {
        let tail = self.entries.iter().map(|entry| match &entry.payload {
            raft::Payload::Command(data) => data.len(),
            raft::Payload::Noop | raft::Payload::Membership(_) => 0,
        });
        let snapshot = self.snapshot.as_ref().map_or(0, |it| it.data.len());
        (snapshot, tail.sum())
    }
}

struct InFlight {
    at_us: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

pub type RequestResult = Result<Answer, ApiError>;

/// The replicas, their disks and the messages in flight between them.
pub struct Cluster {
    pub now_us: u64,
    pub replicas: BTreeMap<ReplicaId, Control>,
    pub disks: BTreeMap<ReplicaId, Disk>,
    pub answers: BTreeMap<u64, RequestResult>,
    pub poll_answers: BTreeMap<u64, PollAnswer>,
    pub sent: Vec<(ReplicaId, Message)>,
    /// Replicas whose messages are dropped in both directions.
    pub isolated: BTreeSet<ReplicaId>,
    /// Replicas whose disk takes no more bytes: a write fails, and with it the replica.
    pub full_disks: BTreeSet<ReplicaId>,
    /// How many bytes a second the connection from one replica to another carries; none for no limit.
    pub link_bytes_per_s: Option<u64>,
    /// When the connection from one replica to another has carried what was sent on it so far.
    carried_us: BTreeMap<(ReplicaId, ReplicaId), u64>,
    pub gateway_poll_answers: BTreeMap<u64, Arc<GatewayPollAnswer>>,
    pub join_answers: BTreeMap<u64, Vec<String>>,
    heartbeat_interval_us: u64,
    open_membership: bool,
    initial_membership: Membership,
    in_flight: VecDeque<InFlight>,
    next_request: u64,
    /// Sent with the next poll of a gateway.
    pub next_token_report: Option<TokenReport>,
}

pub fn id(name: &str, incarnation: u64) -> ReplicaId {
    ReplicaId {
        name: name.to_owned(),
        incarnation,
    }
}

impl Cluster {
    pub fn new(size: u32) -> Self {
        Self::with_heartbeat_interval_us(size, 50_000)
    }

    pub fn with_heartbeat_interval_us(size: u32, heartbeat_interval_us: u64) -> Self {
        Self::with(size, heartbeat_interval_us, false)
    }

    /// A cluster that admits replicas which its settings don't list, and replaces or removes silent
    /// voters.
    pub fn with_open_membership(size: u32) -> Self {
        Self::with(size, 50_000, true)
    }

    fn with(size: u32, heartbeat_interval_us: u64, open_membership: bool) -> Self {
        let voters = (1..=size).map(|n| id(&format!("control-{n}"), 1)).collect();
        let mut cluster = Self {
            now_us: 0,
            heartbeat_interval_us,
            open_membership,
            gateway_poll_answers: BTreeMap::new(),
            join_answers: BTreeMap::new(),
            replicas: BTreeMap::new(),
            disks: BTreeMap::new(),
            answers: BTreeMap::new(),
            poll_answers: BTreeMap::new(),
            sent: Vec::new(),
            isolated: BTreeSet::new(),
            full_disks: BTreeSet::new(),
            link_bytes_per_s: None,
            carried_us: BTreeMap::new(),
            initial_membership: Membership {
                voters,
                learners: BTreeSet::new(),
            },
            in_flight: VecDeque::new(),
            next_request: 0,
            next_token_report: None,
        };
        for replica in cluster.initial_membership.voters.clone() {
            cluster.start(&replica);
        }
        cluster
    }

    /// Starts a replica with what its disk holds.
    pub fn start(&mut self, replica: &ReplicaId) {
        let disk = self.disks.entry(replica.clone()).or_default().clone();
        let is_initial = self.initial_membership.voters.contains(replica);
        let restored = Restored {
            hard_state: disk.hard_state,
            snapshot: disk.snapshot,
            entries: disk.entries,
            initial_membership: is_initial.then(|| self.initial_membership.clone()),
        };
        // Differs per replica and start, so that their election timeouts differ.
        let seed = self.disks.len() as u64 + self.now_us + 7 * replica.name.len() as u64;
        let config = ControlConfig {
            raft: RaftConfig {
                id: replica.clone(),
                heartbeat_interval_us: self.heartbeat_interval_us,
                election_timeout_min_us: 6 * self.heartbeat_interval_us,
                append_max_bytes: 64 * 1024,
                snapshot_chunk_bytes: 64 * 1024,
                seed: seed * 31 + replica.name.bytes().map(u64::from).sum::<u64>(),
            },
            http_addresses: self
                .initial_membership
                .voters
                .iter()
                .map(|it| (it.name.clone(), format!("http-of-{}", it.name)))
                .collect(),
            snapshot_entries: SNAPSHOT_ENTRIES,
            snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
            request_timeout_us: REQUEST_TIMEOUT_US,
            http_port: None,
            open_membership: self.open_membership,
            replica_losses: 2,
            instance_timeout_us: 10_000_000,
            quota_terms: QuotaTerms::default(),
        };
        let control = Control::new(config, restored, TimeUs(self.now_us));
        self.replicas.insert(replica.clone(), control);
    }

    pub fn kill(&mut self, replica: &ReplicaId) {
        self.replicas.remove(replica);
    }

    pub fn step(&mut self, replica: &ReplicaId, input: Input) {
        let Some(control) = self.replicas.get_mut(replica) else {
            return;
        };
        let mut outputs = Vec::new();
        control.step(TimeUs(self.now_us), input, &mut outputs);
        for output in outputs {
            self.handle_output(replica, output);
        }
    }

    fn handle_output(&mut self, replica: &ReplicaId, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.sent.push((to.clone(), message.clone()));
                let carried_us = self.carry(replica, &to, &message);
                self.in_flight.push_back(InFlight {
                    at_us: carried_us + MESSAGE_DELAY_US,
                    from: replica.clone(),
                    to,
                    message,
                });
            }
            Output::Persist(_) if self.full_disks.contains(replica) => {
                self.step(replica, Input::StorageFailed);
            }
            Output::Persist(persist) => {
                self.disks
                    .entry(replica.clone())
                    .or_default()
                    .write(&persist);
                let ticket = persist.ticket;
                self.step(replica, Input::Persisted { ticket });
            }
            Output::Answer { request, answer } => {
                let earlier = self.answers.insert(request, answer);
                assert!(earlier.is_none(), "request {request} was answered twice");
            }
            Output::PollAnswer { poll, answer } => {
                self.poll_answers.insert(poll, answer);
            }
            Output::GatewayPollAnswer { poll, answer, .. } => {
                self.gateway_poll_answers.insert(poll, answer);
            }
            Output::JoinAnswer { join, members } => {
                self.join_answers.insert(join, members);
            }
            Output::Changed(_) => {}
            Output::Failed(error) => panic!("{replica} stopped: {error}"),
        }
    }

    /// When the last byte of a message leaves, behind what was sent on the same connection before.
    fn carry(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) -> u64 {
        let Some(bytes_per_s) = self.link_bytes_per_s else {
            return self.now_us;
        };
        let taken_us = message_bytes(message) * 1_000_000 / bytes_per_s;
        let connection = (from.clone(), to.clone());
        let carried_us = self.carried_us.entry(connection).or_default();
        *carried_us = (*carried_us).max(self.now_us) + taken_us;
        *carried_us
    }

    /// Advances the clock by one tick, delivers the messages due and ticks every replica.
    pub fn tick(&mut self) {
        self.now_us += TICK_US;
        while let Some(at) = self
            .in_flight
            .iter()
            .position(|message| message.at_us <= self.now_us)
        {
            let Some(message) = self.in_flight.remove(at) else {
                break;
            };
            if !self.isolated.contains(&message.from) && !self.isolated.contains(&message.to) {
                let InFlight {
                    from, to, message, ..
                } = message;
                self.step(&to, Input::Receive { from, message });
            }
        }
        let replicas: Vec<ReplicaId> = self.replicas.keys().cloned().collect();
        for replica in replicas {
            self.step(&replica, Input::Tick);
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms * 1_000 / TICK_US {
            self.tick();
        }
    }

    /// Ticks until the condition holds, at most for ten seconds of the cluster's clock.
    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        for _ in 0..1_000 {
            if condition(self) {
                return;
            }
            self.tick();
        }
        panic!("timed out after 10 s waiting for {what}");
    }

    /// The leader of the highest term among the replicas that are not isolated.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(replica, _)| !self.isolated.contains(replica))
            .filter(|(_, control)| control.status().role == Role::Leader)
            .max_by_key(|(_, control)| control.status().term)
            .map(|(replica, _)| replica.clone())
    }

    pub fn wait_for_leader(&mut self) -> ReplicaId {
        self.run_until("a leader", |cluster| cluster.leader().is_some());
        self.leader().expect("run_until found a leader")
    }

    /// A replica that does not lead.
    pub fn follower(&mut self) -> ReplicaId {
        let leader = self.wait_for_leader();
        let mut replicas = self.replicas.keys();
        let other = replicas.find(|it| **it != leader);
        other.cloned().expect("at least two replicas run")
    }

    /// Sends a request to a replica and returns its number, the key in `answers`.
    pub fn submit(&mut self, replica: &ReplicaId, body: Request) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        self.step(replica, Input::Request { request, body });
        request
    }

    /// Sends a request to a replica and waits for the answer.
    pub fn request(&mut self, replica: &ReplicaId, body: Request) -> RequestResult {
        let request = self.submit(replica, body);
        self.run_until("an answer", |cluster| {
            cluster.answers.contains_key(&request)
        });
        self.answers
            .remove(&request)
            .expect("run_until found the answer")
    }

    /// Sends a request to the leader and resends it while the answer is `not_leader` or
    /// `unavailable`.
    pub fn request_leader(&mut self, body: &Request) -> RequestResult {
        for _ in 0..20 {
            let leader = self.wait_for_leader();
            match self.request(&leader, body.clone()) {
                Err(ApiError::NotLeader { .. } | ApiError::Unavailable) => self.run_ms(50),
                answer => return answer,
            }
        }
        panic!("no leader answered {body:?}");
    }

    /// Polls a replica as a gateway for changes after a revision.
    pub fn poll_as_gateway(
        &mut self,
        replica: &ReplicaId,
        gateway: &str,
        revision: u64,
    ) -> Arc<GatewayPollAnswer> {
        self.poll_as_gateway_for(replica, gateway, revision, true)
    }

    /// Polls as a gateway that asks for large changes or doesn't.
    pub fn poll_as_gateway_for(
        &mut self,
        replica: &ReplicaId,
        gateway: &str,
        revision: u64,
        wants_large: bool,
    ) -> Arc<GatewayPollAnswer> {
        self.next_request += 1;
        let poll = self.next_request;
        let number = gateway.rsplit('-').next().and_then(|it| it.parse().ok());
        let number: u8 = number.expect("a gateway's name ends with its number");
        let body = GatewayPoll {
            gateway: gateway.parse().expect("a valid name"),
            report: GatewayReport {
                address: SocketAddr::from(([10, 1, 0, 14 + number], 8_080)),
                region: "east".parse().expect("a valid name"),
                failure_domain: "east-a".parse().expect("a valid name"),
                takes_clients: true,
            },
            revision,
            wants_large,
            number: poll,
            tokens: self.next_token_report.take(),
        };
        let received_us = TimeUs(self.now_us);
        let input = Input::GatewayPoll {
            poll,
            body,
            received_us,
        };
        self.step(replica, input);
        let answer = self.gateway_poll_answers.remove(&poll);
        answer.expect("polls of gateways are answered at once")
    }

    /// Polls as a gateway that has everything and reports its tokens.
    pub fn report_tokens(
        &mut self,
        replica: &ReplicaId,
        gateway: &str,
        report: TokenReport,
    ) -> Option<TokenAnswer> {
        self.next_token_report = Some(report);
        let answer = self.poll_as_gateway_for(replica, gateway, u64::MAX, false);
        answer.tokens.clone()
    }

    pub fn poll(&mut self, replica: &ReplicaId, entry: &str, applied_index: u64) -> PollAnswer {
        self.poll_with_rejection(replica, entry, applied_index, None)
    }

    /// Polls as an entry that has no configuration yet and asks for one share.
    pub fn poll_with_want(&mut self, replica: &ReplicaId, entry: &str, want: Want) -> PollAnswer {
        self.next_request += 1;
        let poll = self.next_request;
        let body = Poll {
            entry: entry.parse().expect("a valid name"),
            applied_index: 0,
            incarnation: 1,
            layout_epoch: None,
            progress: Vec::new(),
            wants: vec![want],
            rejected: None,
        };
        self.step(replica, Input::Poll { poll, body });
        self.poll_answers
            .remove(&poll)
            .expect("polls are answered at once")
    }

    pub fn poll_with_rejection(
        &mut self,
        replica: &ReplicaId,
        entry: &str,
        applied_index: u64,
        rejected: Option<PollRejection>,
    ) -> PollAnswer {
        self.next_request += 1;
        let poll = self.next_request;
        let body = Poll {
            entry: entry.parse().expect("a valid name"),
            applied_index,
            incarnation: 1,
            layout_epoch: Some(0),
            progress: Vec::new(),
            wants: Vec::new(),
            rejected,
        };
        self.step(replica, Input::Poll { poll, body });
        self.poll_answers
            .remove(&poll)
            .expect("polls are answered at once")
    }
}

/// The bytes of the commands and snapshots in a message; all else is small.
pub fn message_bytes(message: &Message) -> u64 {
    let bytes = match message {
        Message::Append { entries, .. } => entries
            .iter()
            .map(|entry| match &entry.payload {
                raft::Payload::Command(data) => data.len(),
                raft::Payload::Noop | raft::Payload::Membership(_) => 0,
            })
            .sum(),
        Message::InstallSnapshot { data, .. } => data.len(),
        _ => 0,
    };
    bytes as u64
}

/// A plan with this many routes of one service.
pub fn plan_of(version: u64, routes: usize) -> Plan {
    let route = |n: usize| Route {
        name: format!("route-{n}"),
        host: "shop.example".to_owned(),
        prefix: format!("/{n}/"),
        repeat: RetrySafety::Idempotent,
        timeout_ms: 2_000 + version,
        target_ms: 250,
        priority: 1,
        parts: vec![WeightedService {
            service: "catalogue".parse().expect("a valid name"),
            weight_milli: 1_000,
        }],
        attempts_max: 2,
        sticky: false,
        home_regions: Vec::new(),
        allow_anonymous: false,
    };
    Plan {
        version,
        routes: (0..routes).map(route).collect(),
        services: vec![ServiceTerms {
            name: "catalogue".parse().expect("a valid name"),
            connections_max: 360,
            cold_milli_per_s: 2_600,
        }],
        limits: Limits {
            header_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: Vec::new(),
        keys: plan::KeyUse::Unused,
    }
}

pub fn name(text: &str) -> ResourceName {
    text.parse().expect("a valid name")
}

pub fn key(text: &str) -> Key {
    text.parse().expect("a valid key")
}

pub fn spec(kind: &str, spec: serde_json::Value) -> Spec {
    serde_json::from_value(serde_json::json!({"kind": kind, "spec": spec})).expect("a valid spec")
}

pub fn region(capacity_slots: u32, domain: &str) -> Spec {
    let domains = serde_json::json!([domain]);
    spec(
        "region",
        serde_json::json!({"capacity_slots": capacity_slots, "failure_domains": domains}),
    )
}

pub fn entry_spec(number: u32) -> Spec {
    spec(
        "entry",
        serde_json::json!({
            "region": "gauteng", "failure_domain": "gauteng-a",
            "address": format!("127.0.1.{number}:8080"),
            "peer_address": format!("127.0.1.{number}:8081"),
        }),
    )
}

pub fn put(request_id: &str, resource: &str, spec: Spec, based_on: u64) -> Request {
    Request::Change {
        request_id: request_id.to_owned(),
        operation: Operation::Put(Declaration {
            name: name(resource),
            spec,
            based_on: Some(based_on),
        }),
    }
}

pub fn item(answer: RequestResult) -> ResourceItem {
    match answer {
        Ok(Answer::Item(item)) => *item,
        other => panic!("expected one resource, got {other:?}"),
    }
}

pub fn command_of(entry: &Entry) -> Option<Command> {
    match &entry.payload {
        raft::Payload::Command(data) => Command::decode(data).ok(),
        raft::Payload::Noop | raft::Payload::Membership(_) => None,
    }
}
