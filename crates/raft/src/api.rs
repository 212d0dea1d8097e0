//! What goes into the replicated log and what comes out of it.

use crate::message::{Entry, HardState, Membership, Message, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The fixed parameters of a replica.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Its identity.
    pub id: ReplicaId,
    /// The period of a leader's heartbeats.
    pub heartbeat_us: u64,
    /// The shortest wait for a leader before an election; the longest is twice as long.
    pub election_us: u64,
    /// The largest sum of entries in one message, in bytes.
    pub append_max_bytes: usize,
    /// The size of a part of a snapshot, in bytes.
    pub snapshot_part_bytes: usize,
    /// The seed of the election timeouts.
    pub seed: u64,
}

/// What the shell read back from the data folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// The founding membership, for a data folder that holds neither snapshot nor entries.
    pub founders: Option<Membership>,
}

/// An event for the replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has come.
    Receive {
        /// The sender, as the link authenticated it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// A command for the log.
    Propose {
        /// Names the proposal in the answer.
        request: u64,
        /// The command.
        data: Vec<u8>,
    },
    /// A read that must see every command accepted before it.
    Read {
        /// Names the read in the answer.
        request: u64,
    },
    /// Adds a replica as a learner; promotion follows by itself once it caught up.
    ///
    /// A voter of the same name but another incarnation is replaced in any case. May be sent again:
    /// for a member already in place only `replaces` is noted, and the answer names the index of
    /// the membership in force.
    Admit {
        /// Names the change in the answer.
        request: u64,
        /// The replica to admit.
        id: ReplicaId,
        /// The identity that it replaces, if any.
        replaces: Option<ReplicaId>,
    },
    /// Drops a voter or a learner.
    Remove {
        /// Names the change in the answer.
        request: u64,
        /// The replica to drop.
        id: ReplicaId,
    },
    /// Everything up to this [`Persist::ticket`] is synced.
    Persisted {
        /// The ticket.
        ticket: u64,
    },
    /// The state machine's contents at `index`, so that the log before it can go.
    SnapshotTaken {
        /// The last index that it holds.
        index: u64,
        /// The state machine's own encoding.
        data: Vec<u8>,
    },
    /// The disk failed: the replica takes no further part until it is restarted.
    StorageFailed,
}

/// What must reach the disk, in this order: snapshot, truncation, entries, term and vote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// Answered by [`Input::Persisted`].
    pub ticket: u64,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are void.
    pub truncate_from: Option<u64>,
    /// Entries to add.
    pub entries: Vec<Entry>,
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
}

impl Persist {
    /// Takes in the write that follows this one, so that both need only one sync.
    ///
    /// # Errors
    ///
    /// Gives `next` back when the order of its parts would be lost.
    pub fn merge(&mut self, next: Self) -> Result<(), Box<Self>> {
        if next.snapshot.is_some() || next.truncate_from.is_some() {
            return Err(Box::new(next));
        }
        self.ticket = next.ticket;
        self.entries.extend(next.entries);
        if next.hard_state.is_some() {
            self.hard_state = next.hard_state;
        }
        Ok(())
    }
}

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then answer [`Input::Persisted`].
    Persist(Persist),
    /// A committed entry, in order, each once a run.
    Apply(Entry),
    /// Replace the state machine's contents.
    Restore(Snapshot),
    /// The answer to a proposal or an admission that was taken into the log.
    Proposed {
        /// The request.
        request: u64,
        /// Its index and term: accepted once that index is applied with that term.
        index: u64,
        /// The term.
        term: u64,
    },
    /// A proposal, read or admission that was not taken; nothing of it is in the log.
    Rejected {
        /// The request.
        request: u64,
        /// Why.
        error: ProposeError,
    },
    /// A read may be answered once `index` is applied.
    ReadReady {
        /// The request.
        request: u64,
        /// The index.
        index: u64,
    },
    /// The role, term, leader or membership changed.
    Changed(Status),
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("not the leader")]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// A change of membership is under way.
    #[error("a change of membership is under way")]
    ChangeUnderWay,
    /// The disk failed.
    #[error("the disk of this replica failed")]
    StorageFailed,
    /// The only voter can't be dropped.
    #[error("the only voter can't be dropped")]
    LastVoter,
    /// Too many proposals wait for a majority.
    #[error("too many proposals wait for a majority")]
    Busy,
}

/// What a replica does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log and doesn't vote.
    Learner,
    /// Follows a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Its disk failed.
    Failed,
}

/// A replica's view of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Its identity.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, when known.
    pub leader: Option<ReplicaId>,
    /// The last index of its log.
    pub last_index: u64,
    /// The last index known to be committed.
    pub commit_index: u64,
    /// The membership in force.
    pub membership: Membership,
    /// The index of the entry that set it.
    pub membership_index: u64,
}
