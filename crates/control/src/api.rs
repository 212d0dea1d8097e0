//! The configuration, inputs, outputs, requests and answers of a control replica.

use crate::gateways::GatewayReport;
use claim::Layout;
use plan::{Change, Document, Plan, Registration, SteeringChanges};
use raft::{Membership, Message, Persist, RaftConfig, ReplicaId, Role, Status};
use serde::{Deserialize, Serialize};
use share::{Grant, QuotaTerms, TokenAnswer, TokenReport, Want};
use state::{
    Applied, Changes, CommandError, Operation, ResourceItem, ResourceList, SnapshotError,
    WatchAnswer,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use thiserror::Error;
use types::{ApiError, DomainName, EntryName, Key, Kind, ResourceProgress, TimeUs};

/// The fixed parameters of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The parameters of the replicated log.
    pub raft: RaftConfig,
    /// The HTTP address of each replica, `HOST:PORT`, by the replica's name. Followers name the
    /// leader's to callers.
    pub http_addresses: BTreeMap<String, String>,
    /// A snapshot is taken after this many log entries were applied since the last one.
    pub snapshot_entries: u64,
    /// A snapshot is also taken once the entries applied since the last one take this many bytes,
    /// and as many as that snapshot.
    pub snapshot_log_bytes: usize,
    /// A request that still waits for the log after this time is answered `unavailable`.
    pub request_timeout_us: u64,
    /// The HTTP port of every replica that has no entry in `http_addresses`, where replicas are
    /// named by their IP addresses.
    pub http_port: Option<u16>,
    /// Whether replicas that the settings don't list may join, and silent voters are replaced or
    /// removed.
    pub open_membership: bool,
    /// How many replicas may lose their disks at the same time.
    pub replica_losses: usize,
    /// An instance that sends no heartbeat for this long expires.
    pub instance_timeout_us: u64,
    /// The bound that tenants' quotas keep.
    pub quota_terms: QuotaTerms,
}

impl ControlConfig {
    /// How many voters tolerate the loss of `replica_losses` disks.
    #[must_use]
    pub const fn voters_needed(&self) -> usize {
        2 * self.replica_losses + 1
    }
}

/// A request to a control replica, from an operator, a client or an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Every resource, or those of one kind.
    List {
        /// The kind, or `None` for every resource.
        kind: Option<Kind>,
    },
    /// One resource.
    Get {
        /// The kind and name of the resource.
        key: Key,
    },
    /// A change of the declared resources.
    Change {
        /// Chosen by the operator; a resend with the same id gets the first answer again.
        request_id: String,
        /// The resources to declare or delete.
        operation: Operation,
    },
    /// What a change would do; nothing is changed.
    Preview {
        /// The change to preview.
        operation: Operation,
    },
    /// A change of the plan, the evacuated failure domains or the instances, which gateways poll
    /// for.
    Steer {
        /// The change to propose.
        change: Change,
    },
    /// An instance's heartbeat.
    Register {
        /// The instance's report on itself.
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
        /// The last revision that the caller knows.
        from: u64,
        /// How long to wait for a later revision, in milliseconds; then the answer is empty.
        wait_ms: u64,
    },
    /// This replica's view of the group.
    Replicas,
    /// Admits a replica as a learner that becomes a voter once it has caught up.
    Admit {
        /// The replica to admit.
        id: ReplicaId,
        /// The replica that it replaces, if any.
        replaces: Option<ReplicaId>,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", untagged)]
pub enum Answer {
    /// Answers [`Request::List`].
    List(ResourceList),
    /// Answers [`Request::Get`], and a [`Request::Change`] of one resource.
    Item(Box<ResourceItem>),
    /// Answers a [`Request::Change`] that deleted a resource.
    Deleted {
        /// The revision of the deletion.
        revision: u64,
    },
    /// Answers a [`Request::Change`] of several resources and [`Request::Preview`].
    Applied(Applied),
    /// Answers [`Request::Watch`].
    Watched(WatchAnswer),
    /// Answers [`Request::Steer`] and [`Request::Register`].
    Steered(plan::ChangeResult),
    /// Answers [`Request::ReadPlan`].
    Plan(Box<PlanInForce>),
    /// Answers [`Request::Locate`].
    Gateways(Vec<SocketAddr>),
    /// Answers [`Request::Replicas`] and [`Request::Admit`].
    Replicas(Box<Replicas>),
}

/// The plan in force and the evacuated failure domains, as operators declared them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanInForce {
    /// The plan; `None` before the first.
    pub plan: Option<Plan>,
    /// The evacuated failure domains.
    pub evacuated: BTreeSet<DomainName>,
    /// The document that declared the plan.
    #[serde(skip)]
    pub document: Option<Document>,
}

/// A replica's view of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Replicas {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// Its role in the replicated log.
    pub role: Role,
    /// The latest term that it knows.
    pub term: u64,
    /// The leader of that term; `None` while this replica knows none.
    pub leader: Option<ReplicaId>,
    /// The last index of its log.
    pub last_index: u64,
    /// The index of the last log entry that it applied.
    pub applied_index: u64,
    /// The voters, and the learners, which receive the log but don't vote.
    pub membership: Membership,
    /// The index of the log entry that set the membership.
    pub membership_index: u64,
}

/// An entry's poll for changes of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The polling entry's declared name; a poll of an undeclared entry is answered but not
    /// recorded.
    pub entry: EntryName,
    /// The log index up to which the entry has applied the configuration.
    pub applied_index: u64,
    /// The entry's incarnation; a restarted entry has another one.
    pub incarnation: u64,
    /// The epoch of the layout of claims that the entry knows, if any.
    pub layout_epoch: Option<u64>,
    /// The entry's progress with each drain and shift.
    pub progress: Vec<ResourceProgress>,
    /// The shares of capacities and links that the entry asks for.
    pub wants: Vec<Want>,
    /// The revision that the entry can't run, if any.
    pub rejected: Option<PollRejection>,
}

/// A revision that an entry can't run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRejection {
    /// The revision of the resource that the entry rejected.
    pub revision: u64,
    /// The entry's error, shown to operators in the resource's status.
    pub reason: String,
}

/// The answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// The last index of this replica's log, applied or not.
    pub last_index: u64,
    /// The index that `changes` lead to.
    pub applied_index: u64,
    /// The index of the log entry that set the membership.
    pub membership_index: u64,
    /// The number of voters.
    pub voters: u32,
    /// Whether this replica is a voter.
    pub is_voter: bool,
    /// The changes from the entry's `applied_index` to the replica's.
    pub changes: Changes,
    /// The layout of claims, unless the entry has the current one.
    pub layout: Option<Layout>,
    /// The shares granted; empty unless this replica is a leader that may grant them.
    pub grants: Vec<Grant>,
}

/// A gateway's poll for changes of the plan, the evacuations and the instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewayPoll {
    /// The gateway's name, under which its latest report is kept.
    pub gateway: EntryName,
    /// The gateway's report on itself.
    pub report: GatewayReport,
    /// The log index up to which it knows the changes.
    pub revision: u64,
    /// Whether to send large changes too; a gateway asks only one replica for them.
    pub wants_large: bool,
    /// The number of the poll, which the answer repeats; 0 from builds that don't number them.
    #[serde(default)]
    pub number: u64,
    /// For the replica that the gateway takes for the leader: its tokens, and the ones that it wants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<TokenReport>,
}

const fn always() -> bool {
    true
}

/// The answer to a [`GatewayPoll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewayPollAnswer {
    /// The log index of the latest change that the replica has applied.
    pub newest: u64,
    /// The index that `changes` lead to; the gateway's own while large changes are held back.
    pub revision: u64,
    /// How many routes and instances the changes hold that are held back, roughly.
    #[serde(default)]
    pub held_back: usize,
    /// The log's clock at the time of the answer, in milliseconds.
    pub clock_ms: u64,
    /// Whether the replica knows a leader.
    #[serde(rename = "confirmed")]
    pub knows_leader: bool,
    /// Whether the changes hold all that was committed when a leader last told this replica; false
    /// after its start until it has caught up. Builds that don't say so count as current.
    #[serde(default = "always")]
    pub is_current: bool,
    /// Whether the replica certainly led when it made the answer, so that `newest` covers every change that
    /// was confirmed before. False from builds that don't say so.
    #[serde(default)]
    pub is_certain: bool,
    /// The number of the poll that it answers, so that a gateway knows when it sent that poll also after
    /// answers were lost; 0 when gateways share the answer, and from builds that don't repeat it.
    #[serde(default)]
    pub number: u64,
    /// The names of all voters and learners.
    pub members: Vec<String>,
    /// The number of gateways that poll this replica.
    pub gateways: usize,
    /// The interval at which to poll each replica, in milliseconds.
    pub interval_ms: u64,
    /// The changes from the gateway's `revision` to the one in this answer.
    pub changes: SteeringChanges,
    /// The tokens that a leader that is certain grants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<TokenAnswer>,
}

/// An event for the control replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of the replicated log was received.
    Receive {
        /// The sender, as the connection authenticated it.
        from: ReplicaId,
        /// A request or an answer of the log's protocol.
        message: Message,
    },
    /// Every [`Persist`] up to this ticket is synced.
    Persisted {
        /// The [`Persist::ticket`] of the latest one synced.
        ticket: u64,
    },
    /// The disk failed: the replica takes no further part until it is restarted.
    StorageFailed,
    /// A request was received from an operator, a client or an instance.
    Request {
        /// Identifies the request in the answer; used only once while the process runs.
        request: u64,
        /// What the caller asks for.
        body: Request,
    },
    /// The caller has disconnected: the request needs no answer.
    Cancel {
        /// The number from [`Input::Request`].
        request: u64,
    },
    /// An entry's poll; answered at once.
    Poll {
        /// Identifies the poll in [`Output::PollAnswer`].
        poll: u64,
        /// The entry's state, and what it asks for.
        body: Poll,
    },
    /// A gateway's poll; answered at once, or not at all if it has waited for long.
    GatewayPoll {
        /// Identifies the poll in [`Output::GatewayPollAnswer`].
        poll: u64,
        /// The gateway's report, and the changes that it knows.
        body: GatewayPoll,
        /// When it was received. It may have waited for its turn since then.
        received_us: TimeUs,
    },
    /// Another replica asks to join; answered at once.
    Join {
        /// Identifies the request to join in [`Output::JoinAnswer`].
        join: u64,
        /// The joining replica, as the connection authenticated it.
        from: ReplicaId,
    },
    /// The answer of another replica that this one asked to join.
    Members {
        /// The names of the members that it knows.
        names: Vec<String>,
    },
}

/// An action for the caller of [`Control::step`](crate::Control::step); outputs must be carried out
/// in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another replica.
    Send {
        /// The replica to send it to; the message may be lost.
        to: ReplicaId,
        /// A request or an answer of the log's protocol.
        message: Message,
    },
    /// Write and sync, then pass in [`Input::Persisted`].
    Persist(Persist),
    /// The answer to a request. Each request gets exactly one unless it was cancelled.
    Answer {
        /// The number from [`Input::Request`].
        request: u64,
        /// The answer, or the error to report to the caller.
        answer: Result<Answer, ApiError>,
    },
    /// The answer to an entry's poll.
    PollAnswer {
        /// The number from [`Input::Poll`].
        poll: u64,
        /// The changes, the layout and the grants for the entry.
        answer: PollAnswer,
    },
    /// The answer to a replica that asks to join.
    JoinAnswer {
        /// The number from [`Input::Join`].
        join: u64,
        /// The names of the replicas that it may ask for admission.
        members: Vec<String>,
    },
    /// The answer to a gateway's poll.
    GatewayPollAnswer {
        /// The number from [`Input::GatewayPoll`].
        poll: u64,
        /// The changes for the gateway, and when to poll again.
        answer: Arc<GatewayPollAnswer>,
        /// Whether other gateways may get the same answer, so that its encoding is worth keeping.
        is_shared: bool,
    },
    /// The role, term, leader or membership changed.
    Changed(Status),
    /// The replica couldn't decode a log entry or a snapshot, or couldn't encode a snapshot, and
    /// has stopped: it ignores every later input.
    Failed(ControlError),
}

/// Why a replica stopped: a log entry or a snapshot that it couldn't decode, or a snapshot that it
/// couldn't encode.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// A snapshot can't be encoded or decoded.
    #[error("can't encode or decode the snapshot at index {index}: {reason}")]
    Snapshot {
        /// The index of the last log entry in the snapshot.
        index: u64,
        /// The error of the encoder or decoder.
        reason: String,
    },
    /// The data of a log entry can't be decoded as a command.
    #[error("can't decode the command in the log entry at index {index}: {reason}")]
    Command {
        /// The index of the log entry.
        index: u64,
        /// The decoder's error.
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
