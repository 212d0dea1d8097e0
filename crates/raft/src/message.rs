//! The data that replicas store, and the messages that they exchange.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};

/// A replica's identity: its declared name and the incarnation of its data folder.
///
/// After it lost its disk, a replica returns under another incarnation and counts as another
/// replica: it no longer remembers the votes and entries that it confirmed before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaId {
    /// The replica's name in the settings.
    pub name: String,
    /// Drawn when the data folder is created; 1 for the initial replicas of a group.
    pub incarnation: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Membership {
    /// Replicas that count towards a majority.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but don't count towards a majority.
    pub learners: BTreeSet<ReplicaId>,
}

/// The contents of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Empty. A new leader appends one to commit the entries of earlier terms before it.
    Noop,
    /// A command for the state machine, in the state machine's own encoding.
    Command(Vec<u8>),
    /// A new membership. A replica uses it as soon as the entry is in its log, committed or not.
    Membership(Membership),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The position in the log; the first entry has index 1.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The contents of the entry.
    pub payload: Payload,
}

/// What a replica must keep across restarts besides its log and snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HardState {
    /// The latest term that the replica has seen; it never decreases.
    pub term: u64,
    /// The candidate that it voted for in that term, if any.
    pub voted_for: Option<ReplicaId>,
}

/// The contents of the state machine after all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// The index of the last entry included.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership at that index.
    pub membership: Membership,
    /// The contents, in the state machine's own encoding.
    pub data: Vec<u8>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a vote; with `pre`, only asks whether a vote would be granted.
    RequestVote {
        /// The candidate's term; for a pre-vote, the term after it.
        term: u64,
        /// Whether this asks for a pre-vote, which leaves every term unchanged.
        pre: bool,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers [`Message::RequestVote`].
    Vote {
        /// The requested term when the vote is granted, else the voter's term.
        term: u64,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat or a probe.
    Append {
        /// The leader's term.
        term: u64,
        /// The index of the entry before the first one sent.
        prev_index: u64,
        /// The term of the entry at `prev_index`.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// The leader's current round for confirming reads; the answer echoes it, so that the
        /// leader knows which rounds a majority has answered.
        round: u64,
        /// Consecutive entries, the first at `prev_index + 1`.
        entries: Vec<Entry>,
    },
    /// Answers [`Message::Append`].
    Appended {
        /// The follower's term.
        term: u64,
        /// Whether the follower has the entry at `prev_index` with the term `prev_term`.
        success: bool,
        /// If `success`, the last index that matches the leader's log and is synced; else the index
        /// of the entry that the leader should send next.
        match_index: u64,
        /// The round of the message that this answers.
        round: u64,
    },
    /// A chunk of a snapshot, for a peer that needs entries which the leader has dropped.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The index of the last entry in the snapshot.
        index: u64,
        /// The term of the last entry in the snapshot.
        snapshot_term: u64,
        /// The membership at that index.
        membership: Membership,
        /// Where this chunk starts in [`Snapshot::data`], in bytes.
        offset_bytes: u64,
        /// The bytes of this chunk.
        data: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
        /// The leader's current round for confirming reads; the answer echoes it.
        round: u64,
    },
    /// Asks the leader for the index that a follower must have applied to answer a read.
    ReadIndex {
        /// The follower's term.
        term: u64,
        /// Identifies the read in the answer; drawn at random, so that an answer to an earlier run
        /// of the follower matches no read of this one.
        serial: u64,
    },
    /// Answers [`Message::ReadIndex`] once a majority has confirmed that the sender still leads.
    ReadIndexed {
        /// The leader's term.
        term: u64,
        /// The serial of the request that this answers.
        serial: u64,
        /// The read may be answered once this index is applied.
        index: u64,
    },
    /// Answers [`Message::InstallSnapshot`].
    SnapshotReceived {
        /// The follower's term.
        term: u64,
        /// The index of the last entry in the snapshot.
        index: u64,
        /// Where the next chunk should start in [`Snapshot::data`], in bytes.
        next_offset_bytes: u64,
        /// Whether the follower has synced the whole snapshot, or needs none up to `index`.
        done: bool,
        /// The round of the message that this answers.
        round: u64,
    },
}

impl Message {
    /// The `term` field, which every kind of message has.
    #[must_use]
    pub fn term(&self) -> u64 {
        match self {
            Self::RequestVote { term, .. }
            | Self::Vote { term, .. }
            | Self::Append { term, .. }
            | Self::Appended { term, .. }
            | Self::InstallSnapshot { term, .. }
            | Self::ReadIndex { term, .. }
            | Self::ReadIndexed { term, .. }
            | Self::SnapshotReceived { term, .. } => *term,
        }
    }
}
