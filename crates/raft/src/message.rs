//! What replicas store and send one another.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};

/// A replica's identity: its declared name and the incarnation of its data folder.
///
/// A replica that lost its disk comes back with another incarnation and is another replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaId {
    /// The name from the settings.
    pub name: String,
    /// Drawn when the data folder was made; 1 for founding replicas.
    pub incarnation: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// Who votes and who only receives the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Membership {
    /// Replicas that count towards a majority.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but don't count.
    pub learners: BTreeSet<ReplicaId>,
}

/// What an entry of the log carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Written by a new leader to commit the entries before it.
    Noop,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// A change of membership, in force once appended.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Its position, from 1.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

/// What a replica must remember over restarts besides its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine's contents up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// The last index that it holds.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The membership at that index.
    pub membership: Membership,
    /// The state machine's own encoding.
    pub data: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a vote; with `pre` it only asks whether one would be given.
    RequestVote {
        /// The candidate's term (the next one for a pre-vote).
        term: u64,
        /// Whether this is a pre-vote.
        pre: bool,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers [`Message::RequestVote`].
    Vote {
        /// The voter's term, or the asked term when granted.
        term: u64,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries from the leader; empty as a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The index before the first entry.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Numbers the leader's rounds; echoed, so that the leader knows which round was heard.
        round: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answers [`Message::Append`].
    Appended {
        /// The follower's term.
        term: u64,
        /// Whether the entries fitted.
        success: bool,
        /// The last index known to match when `success`, else the index to go on from.
        match_index: u64,
        /// The echoed round.
        round: u64,
    },
    /// A part of a snapshot.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The snapshot's last index.
        index: u64,
        /// The snapshot's last term.
        snapshot_term: u64,
        /// The membership at that index.
        membership: Membership,
        /// Where this part starts, in bytes.
        offset_bytes: u64,
        /// This part.
        data: Vec<u8>,
        /// Whether this is the last part.
        done: bool,
        /// The leader's round.
        round: u64,
    },
    /// Asks the leader for an index that a read must see.
    ReadIndex {
        /// The follower's term.
        term: u64,
        /// Names the read in the answer; never used by an earlier run of the follower.
        serial: u64,
    },
    /// Answers [`Message::ReadIndex`] once a majority has confirmed the leader.
    ReadIndexed {
        /// The leader's term.
        term: u64,
        /// The echoed serial.
        serial: u64,
        /// The read may be answered once this index is applied.
        index: u64,
    },
    /// Answers [`Message::InstallSnapshot`].
    SnapshotReceived {
        /// The follower's term.
        term: u64,
        /// The snapshot's last index.
        index: u64,
        /// Where the next part should start, in bytes.
        next_offset_bytes: u64,
        /// Whether the snapshot is stored whole.
        done: bool,
        /// The echoed round.
        round: u64,
    },
}

impl Message {
    /// The term that the message carries.
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
