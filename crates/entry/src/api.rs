//! The inputs and outputs of an entry's core.

use claim::{ClaimKey, Layout, Message, Peer};
use locate::ClientBlocks;
use member::PeerAnswer;
use route::{Ending, RequestId};
use share::{Grant, Want};
use std::{net::SocketAddr, sync::Arc};
use types::{
    DomainName, EntryName, Key, RegionName, ReplicaName, Resource, ResourceProgress, ServiceName,
};

/// The parameters of an entry that stay the same while it runs.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Its name, as in the declared resource.
    pub name: EntryName,
    /// The region in which it runs.
    pub region: RegionName,
    /// The failure domain in which it runs.
    pub failure_domain: DomainName,
    /// The control replicas that it polls.
    pub replicas: Vec<ReplicaName>,
    /// How long callers may use a look-up answer. A stopping entry waits at least this long.
    pub lookup_lifetime_ms: u64,
    /// The client blocks, if any. A client in none of them counts as one of this
    /// entry's region.
    pub client_blocks: Option<Arc<ClientBlocks>>,
    /// Identifies this run of the process; greater than the incarnation of every earlier run.
    pub incarnation: u64,
}

/// A request that a caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Identifies the request in later inputs and outputs.
    pub request: RequestId,
    /// The service that it is for.
    pub service: &'a ServiceName,
    /// How long the caller waits, at most the service's deadline, which is also the default.
    pub timeout_ms: Option<u64>,
    /// The idempotency key, if the caller sent one.
    pub key: Option<&'a ClaimKey>,
}

/// A control replica's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaAnswer {
    /// The last index of the replica's log, committed or not.
    pub last_index: u64,
    /// The index of the configuration that results from `changes`.
    pub applied_index: u64,
    /// The log index of the newest membership that the replica knows.
    pub membership_index: u64,
    /// How many replicas vote in that membership; 0 if the replica knows none.
    pub voters: u32,
    /// Whether this replica votes in that membership.
    pub is_voter: bool,
    /// Whether `changes` lists every declared resource, so that those not listed are withdrawn.
    pub complete: bool,
    /// The changes since the index that the poll named.
    pub changes: Vec<ConfigChange>,
    /// The entries that hold claims, if the poll did not name the current layout.
    pub layout: Option<Layout>,
    /// The shares that the leader grants.
    pub grants: Vec<Grant>,
}

/// A change or withdrawal of one declared resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The revision of the configuration that contains the change.
    pub revision: u64,
    /// The resource's kind and name.
    pub key: Key,
    /// The resource, or `None` if it was withdrawn.
    pub resource: Option<Resource>,
}

/// An event that the shell passes to the core.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Time has passed; timers are checked.
    Tick,
    /// A control replica answered a poll.
    PollAnswer {
        /// The replica that answered.
        replica: &'a ReplicaName,
        /// The serial of the poll.
        serial: u64,
        /// The decoded answer.
        answer: ReplicaAnswer,
    },
    /// Another entry answered a request for its upstreams.
    SyncAnswer {
        /// The entry that answered.
        peer: &'a EntryName,
        /// The serial of the request.
        serial: u64,
        /// The decoded answer.
        answer: PeerAnswer,
        /// Whether that entry is stopping.
        stopping: bool,
    },
    /// The connection to another entry broke. Answers to earlier requests are ignored, and the next
    /// request asks for all its upstreams.
    PeerDown {
        /// The entry at the other end.
        peer: &'a EntryName,
    },
    /// A caller's request arrived.
    Arrive(Arrival<'a>),
    /// The upstream has begun to answer a request.
    Answering {
        /// The id that the request arrived with.
        request: RequestId,
    },
    /// An attempt to run a request at an upstream ended, or the caller disconnected.
    Ended {
        /// The id that the request arrived with.
        request: RequestId,
        /// How it ended.
        ending: Ending,
        /// The whole answer, if it is to be retained for later requests with the same key.
        answer: Option<Vec<u8>>,
    },
    /// Another entry sent a message about claims.
    Claim {
        /// The sending entry and its incarnation.
        from: Peer,
        /// The decoded message.
        message: Message,
    },
    /// Stop without interrupting a request: be left out of look-up answers, then finish the
    /// requests in flight.
    Stop,
}

/// The address at which another entry answers requests of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The entry's name.
    pub name: EntryName,
    /// Its declared peer address, to which other entries connect.
    pub address: SocketAddr,
}

/// An action that the shell carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Poll a control replica for changes of the configuration.
    Poll {
        /// The replica to poll.
        replica: ReplicaName,
        /// Identifies the poll in its answer.
        serial: u64,
        /// The index of the configuration that this entry runs.
        applied_index: u64,
        /// The epoch of the claim layout that it has, if any.
        layout_epoch: Option<u64>,
        /// The progress of the declared drains and shifts at this entry.
        progress: Vec<ResourceProgress>,
        /// The shares of capacities and links that it asks for; empty unless the replica may grant
        /// them.
        wants: Vec<Want>,
    },
    /// Request the upstreams that announced themselves to another entry.
    Sync {
        /// The entry to ask.
        peer: EntryName,
        /// Identifies the request in its answer.
        serial: u64,
        /// The version of its last answer, or 0 for all upstreams.
        since_version: u64,
    },
    /// The other declared entries, whenever their list or an address changed.
    Peers(Vec<PeerAddress>),
    /// Send another entry a message about claims.
    Claim {
        /// The entry to send it to.
        to: EntryName,
        /// The message to send.
        message: Message,
    },
    /// Answer a request with the retained answer to an earlier request with the same key.
    Replay {
        /// The id that the request arrived with.
        request: RequestId,
        /// The HTTP status code of the answer.
        status: u16,
        /// The answer, in the encoding in which the shell passed it in.
        answer: Vec<u8>,
    },
    /// Carry out an output of the router.
    Route(route::Output),
    /// The configuration lease was gained or lost.
    LeaseChanged {
        /// Whether it is held now.
        held: bool,
    },
    /// A later configuration was applied.
    ConfigChanged {
        /// The index of that configuration.
        applied_index: u64,
    },
    /// The entry can exit: nothing is in flight, and look-up answers that name it have expired.
    Stopped,
}
