//! What goes into a control replica and what comes out of it.

use crate::gateways::GatewayReport;
use claim::Layout;
use plan::{Change, Document, Plan, Registration, SteeringChanges};
use raft::{Membership, Message, Persist, RaftConfig, ReplicaId, Role, Status};
use serde::{Deserialize, Serialize};
use share::{Grant, Want};
use state::{Applied, Changes, CommandError, Item, List, Operation, SnapshotError, Watched};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use thiserror::Error;
use types::{ApiError, DomainName, EntryName, Key, Kind, ResourceProgress};

/// The fixed parameters of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The parameters of the replicated log.
    pub raft: RaftConfig,
    /// Where operators reach each replica, by the replica's name.
    pub http_addresses: BTreeMap<String, String>,
    /// A snapshot is taken after so many applied entries of the log.
    pub snapshot_entries: u64,
    /// A request that is not answered after this time is answered `unavailable`.
    pub request_timeout_us: u64,
    /// Where replicas are named by their IP addresses: the port at which operators reach each.
    pub http_port: Option<u16>,
    /// Whether replicas that nobody declared may join, and silent ones give way.
    pub learns_members: bool,
    /// An instance that sends no heartbeat for so long expires.
    pub instance_silence_us: u64,
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Every resource, or those of one kind.
    List {
        /// The kind.
        kind: Option<Kind>,
    },
    /// One resource.
    Get {
        /// The resource.
        key: Key,
    },
    /// A change.
    Change {
        /// Chosen by the operator; a resend gets the first answer again.
        request_id: String,
        /// What to change.
        operation: Operation,
    },
    /// What a change would do.
    Preview {
        /// What would change.
        operation: Operation,
    },
    /// A change of what gateways follow.
    Steer {
        /// The change.
        change: Change,
    },
    /// An instance's heartbeat.
    Register {
        /// What the instance says of itself.
        registration: Registration,
    },
    /// The plan in force and the evacuated failure domains.
    ReadPlan,
    /// The gateways that a client should use.
    Locate {
        /// The client's region.
        region: String,
        /// The client's failure domain.
        failure_domain: String,
    },
    /// Changes after a revision.
    Watch {
        /// The revision.
        from: u64,
        /// How long to wait for one.
        wait_ms: u64,
    },
    /// This replica's view of the replicas.
    Replicas,
    /// Admits a replica as a learner that becomes a voter once it has caught up.
    Admit {
        /// The replica to admit.
        id: ReplicaId,
        /// The replica that it replaces.
        replaces: Option<ReplicaId>,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", untagged)]
pub enum Answer {
    /// Answers [`Request::List`].
    List(List),
    /// Answers [`Request::Get`], and a [`Request::Change`] of one resource.
    Item(Box<Item>),
    /// Answers a [`Request::Change`] that withdrew a resource.
    Deleted {
        /// The revision that withdrew it.
        revision: u64,
    },
    /// Answers a [`Request::Change`] of several resources and [`Request::Preview`].
    Applied(Applied),
    /// Answers [`Request::Watch`].
    Watched(Watched),
    /// Answers [`Request::Steer`] and [`Request::Register`].
    Steered(plan::Applied),
    /// Answers [`Request::ReadPlan`].
    Plan(Box<PlanInForce>),
    /// Answers [`Request::Locate`].
    Gateways(Vec<SocketAddr>),
    /// Answers [`Request::Replicas`] and [`Request::Admit`].
    Replicas(Box<Replicas>),
}

/// What gateways follow, as operators declared it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanInForce {
    /// The plan; none before the first.
    pub plan: Option<Plan>,
    /// The evacuated failure domains.
    pub evacuated: BTreeSet<DomainName>,
    /// The document that declared the plan.
    #[serde(skip)]
    pub document: Option<Document>,
}

/// A replica's view of all replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Replicas {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, when known.
    pub leader: Option<ReplicaId>,
    /// The last index of its log.
    pub last_index: u64,
    /// The last index that it applied.
    pub applied_index: u64,
    /// Who votes and who only receives the log.
    pub membership: Membership,
    /// The index of the entry that set the membership.
    pub membership_index: u64,
}

/// An entry's question for what changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The entry.
    pub entry: EntryName,
    /// The index up to which the entry runs the configuration.
    pub applied_index: u64,
    /// Differs in each run of the entry.
    pub incarnation: u64,
    /// The epoch of the layout of claims that the entry has, if any.
    pub layout_epoch: Option<u64>,
    /// How far the entry has come with drains and shifts.
    pub progress: Vec<ResourceProgress>,
    /// What the entry wants of capacities and links.
    pub wants: Vec<Want>,
    /// The revision that the entry can't run, when there is one.
    pub rejected: Option<PollRejection>,
}

/// A revision that an entry can't run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRejection {
    /// The revision.
    pub revision: u64,
    /// Why.
    pub reason: String,
}

/// The answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// The end of this replica's log.
    pub last_index: u64,
    /// The index that `changes` lead to.
    pub applied_index: u64,
    /// The index of the entry that set the membership.
    pub membership_index: u64,
    /// How many replicas vote.
    pub voters: u32,
    /// Whether this replica votes.
    pub votes: bool,
    /// What leads from the entry's index to `applied_index`.
    pub changes: Changes,
    /// The layout of claims, when the entry has another one.
    pub layout: Option<Layout>,
    /// Shares, from a leader.
    pub grants: Vec<Grant>,
}

/// A gateway's question for what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Follow {
    /// The gateway.
    pub gateway: EntryName,
    /// What it says of itself.
    pub report: GatewayReport,
    /// The index up to which it knows the changes.
    pub revision: u64,
    /// Whether it wants large changes too; it asks one replica for them.
    pub wants_large: bool,
}

/// The answer to a [`Follow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FollowAnswer {
    /// The index of the latest change that the replica knows.
    pub newest: u64,
    /// The index that `changes` lead to; the gateway's own while large changes are held back.
    pub revision: u64,
    /// The log's clock.
    pub clock_ms: u64,
    /// Whether the replica heard a leader lately.
    pub confirmed: bool,
    /// The names of all replicas.
    pub members: Vec<String>,
    /// How many gateways follow this replica.
    pub gateways: usize,
    /// How often each replica should be asked.
    pub interval_ms: u64,
    /// What changed.
    pub changes: SteeringChanges,
}

/// An event for the control replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of the replicated log has come.
    Receive {
        /// The sender, as the link authenticated it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Everything up to this [`Persist::ticket`] is synced.
    Persisted {
        /// The ticket.
        ticket: u64,
    },
    /// The disk failed: the replica takes no further part until it is restarted.
    StorageFailed,
    /// An operator's request.
    Request {
        /// Names the request in the answer; never used again in this run.
        request: u64,
        /// What is asked.
        body: Request,
    },
    /// The operator has left: the request needs no answer.
    Cancel {
        /// The request.
        request: u64,
    },
    /// An entry's poll; answered at once.
    Poll {
        /// Names the poll in the answer.
        poll: u64,
        /// What is asked.
        body: Poll,
    },
    /// A gateway asks for changes; answered at once.
    Follow {
        /// Names the question in the answer.
        follow: u64,
        /// What is asked.
        body: Follow,
    },
    /// Another replica asks to join; answered at once.
    Join {
        /// Names the question in the answer.
        join: u64,
        /// The replica, as the link authenticated it.
        from: ReplicaId,
    },
    /// A replica that was asked for admission names the members that it knows.
    Members {
        /// Their names.
        names: Vec<String>,
    },
}

/// Something for the shell to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another replica.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then answer [`Input::Persisted`].
    Persist(Persist),
    /// The answer to a request; each request has exactly one unless it was cancelled.
    Answer {
        /// The request.
        request: u64,
        /// The answer.
        answer: Result<Answer, ApiError>,
    },
    /// The answer to a poll.
    PollAnswer {
        /// The poll.
        poll: u64,
        /// The answer.
        answer: PollAnswer,
    },
    /// The answer to a replica that asks to join: whom else it may ask.
    JoinAnswer {
        /// The question.
        join: u64,
        /// The names of the members.
        members: Vec<String>,
    },
    /// The answer to a gateway.
    FollowAnswer {
        /// The question.
        follow: u64,
        /// The answer.
        answer: FollowAnswer,
    },
    /// The role, term or leader changed.
    Changed(Status),
    /// The state machine can't go on: the log or a snapshot is not readable by this program.
    Broken(ControlError),
}

/// A log or snapshot that this program can't read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The snapshot is not readable.
    #[error("the snapshot at index {index} is not readable: {reason}")]
    Snapshot {
        /// Its index.
        index: u64,
        /// What the decoder said.
        reason: String,
    },
    /// A log entry holds no command.
    #[error("the log entry at index {index} holds no command: {reason}")]
    Command {
        /// Its index.
        index: u64,
        /// What the decoder said.
        reason: String,
    },
}

impl ControlError {
    pub(crate) fn snapshot(index: u64, error: &SnapshotError) -> Self {
        Self::Snapshot {
            index,
            reason: error.to_string(),
        }
    }

    pub(crate) fn command(index: u64, error: &CommandError) -> Self {
        Self::Command {
            index,
            reason: error.to_string(),
        }
    }
}
