//! What goes into an entry's core and what comes out of it.

use claim::{ClaimKey, Layout, Message, Peer};
use locate::ClientBlocks;
use member::PeerAnswer;
use route::{Ending, RequestId};
use share::{Grant, Want};
use std::{net::SocketAddr, sync::Arc};
use types::{
    DomainName, EntryName, Key, RegionName, ReplicaName, Resource, ResourceProgress, ServiceName,
};

/// The fixed parameters of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Its name among the declared entries.
    pub name: EntryName,
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain it stands in.
    pub failure_domain: DomainName,
    /// The control replicas.
    pub replicas: Vec<ReplicaName>,
    /// How long callers may use a look-up answer.
    pub lookup_lifetime_ms: u64,
    /// The declared blocks of clients; without them every client is near this entry.
    pub client_blocks: Option<Arc<ClientBlocks>>,
    /// Differs in each run; greater than that of every earlier run.
    pub incarnation: u64,
}

/// A request that a caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Names it in what follows.
    pub request: RequestId,
    /// The service that it is for.
    pub service: &'a ServiceName,
    /// How long the caller waits; the service's default when it names none.
    pub patience_ms: Option<u64>,
    /// Its idempotency key, if any.
    pub key: Option<&'a ClaimKey>,
}

/// A control replica's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaAnswer {
    /// The end of the replica's log.
    pub last_index: u64,
    /// What `changes` lead to.
    pub applied_index: u64,
    /// The index of the membership that the replica knows.
    pub membership_index: u64,
    /// How many replicas vote by that membership.
    pub voters: u32,
    /// Whether this replica votes by that membership.
    pub votes: bool,
    /// Whether `changes` lists every resource rather than what changed.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<ConfigChange>,
    /// The entries that hold claims, when they changed since the poll.
    pub layout: Option<Layout>,
    /// Shares, from the leader.
    pub grants: Vec<Grant>,
}

/// A change of one declared resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The revision that made it.
    pub revision: u64,
    /// The resource's identity.
    pub key: Key,
    /// The resource, or none when it was withdrawn.
    pub resource: Option<Resource>,
}

/// An event for the entry.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Time has passed.
    Tick,
    /// A control replica answered a poll.
    PollAnswer {
        /// The replica.
        replica: &'a ReplicaName,
        /// The serial of the poll.
        serial: u64,
        /// The answer.
        answer: ReplicaAnswer,
    },
    /// Another entry answered a question for its upstreams.
    SyncAnswer {
        /// The entry.
        peer: &'a EntryName,
        /// The serial of the question.
        serial: u64,
        /// The answer.
        answer: PeerAnswer,
        /// Whether the entry is stopping.
        stopping: bool,
    },
    /// The connection to another entry broke: what it knew of earlier questions is void.
    PeerDown {
        /// The entry.
        peer: &'a EntryName,
    },
    /// A caller's request has come.
    Arrive(Arrival<'a>),
    /// The upstream's answer to a request has begun.
    Answering {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        ending: Ending,
        /// The whole answer, where it is to be kept for resends.
        answer: Option<Vec<u8>>,
    },
    /// Another entry sent a message about claims.
    Claim {
        /// The entry's run.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// Stop without cutting anything off.
    Stop,
}

/// Where another entry takes questions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The entry.
    pub name: EntryName,
    /// Its address for the system's own processes.
    pub address: SocketAddr,
}

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a control replica for changes.
    Poll {
        /// The replica.
        replica: ReplicaName,
        /// Pairs the answer with this poll.
        serial: u64,
        /// What this entry runs.
        applied_index: u64,
        /// The epoch of the layout that it has, if any.
        layout_epoch: Option<u64>,
        /// How far it has come with drains and shifts.
        progress: Vec<ResourceProgress>,
        /// What it wants of capacities and links.
        wants: Vec<Want>,
    },
    /// Ask another entry for its upstreams.
    Sync {
        /// The entry.
        peer: EntryName,
        /// Pairs the answer with this question.
        serial: u64,
        /// The version of its last answer.
        since_version: u64,
    },
    /// The other declared entries are now these.
    Peers(Vec<PeerAddress>),
    /// Send another entry a message about claims.
    Claim {
        /// The entry.
        to: EntryName,
        /// The message.
        message: Message,
    },
    /// Answer a request with the answer that an earlier one with its key got.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer's status.
        status: u16,
        /// The answer, as the shell encoded it.
        answer: Vec<u8>,
    },
    /// Carry out a decision of the router.
    Route(route::Output),
    /// The configuration lease was gained or lost.
    LeaseChanged {
        /// Whether it is held.
        held: bool,
    },
    /// The configuration moved on.
    ConfigChanged {
        /// To this index.
        applied_index: u64,
    },
    /// Nothing is in flight and look-up answers that name this entry have run out.
    Stopped,
}
