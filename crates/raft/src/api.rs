//! The interface of the crate: configuration, inputs, outputs, errors and status of a replica.

use crate::message::{Entry, HardState, Membership, Message, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The parameters of a replica, fixed for one run of the process.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This replica's identity.
    pub id: ReplicaId,
    /// The time between two heartbeats of a leader, in microseconds.
    pub heartbeat_interval_us: u64,
    /// The minimum election timeout, in microseconds; each timeout is drawn at random from this to
    /// twice this. A peer that did not answer the leader for this long counts as unreachable.
    pub election_timeout_min_us: u64,
    /// The largest sum of entries in one append, in bytes; a single larger entry is sent alone.
    pub append_max_bytes: usize,
    /// The largest chunk of a snapshot in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seeds the generator of election timeouts and of the serials of forwarded reads.
    pub seed: u64,
}

/// The persisted state that the shell read from the data folder at start-up.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The latest term and the vote granted in it.
    pub hard_state: HardState,
    /// The latest snapshot, if one was ever stored.
    pub snapshot: Option<Snapshot>,
    /// The log entries in index order; those that leave a gap after the entry or snapshot before
    /// them are ignored.
    pub entries: Vec<Entry>,
    /// The initial membership of the group, in force until a snapshot or an entry of the log sets
    /// another. Without it, the replica is in no group until a leader sends it one of those.
    pub initial_membership: Option<Membership>,
}

/// An event that the shell passes to the replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Only the time has changed; runs the timers that are due.
    Tick,
    /// A message arrived from another replica.
    Receive {
        /// The sender, as authenticated by the link.
        from: ReplicaId,
        /// The message, addressed to this very identity.
        message: Message,
    },
    /// Appends a command to the log. Only the leader accepts it.
    Propose {
        /// Identifies the proposal in the answer.
        request: u64,
        /// The command, in the state machine's own encoding.
        data: Vec<u8>,
    },
    /// A linearizable read: it must see every command that was accepted before it. A follower asks
    /// the leader.
    Read {
        /// Identifies the read in the answer.
        request: u64,
    },
    /// Adds a replica as a learner; the leader promotes it to a voter once it has caught up.
    ///
    /// A voter of the same name but another incarnation is replaced even if `replaces` is `None`.
    /// Repeating the input is harmless: for a replica that is a member already, the leader only
    /// records `replaces`, and the answer gives the index of the membership in force.
    Admit {
        /// Identifies the change in the answer.
        request: u64,
        /// The replica to add.
        id: ReplicaId,
        /// The voter to remove before `id` is promoted, if any.
        replaces: Option<ReplicaId>,
    },
    /// Removes a voter or a learner; for a replica that is neither, the membership stays as it is.
    Remove {
        /// Identifies the change in the answer.
        request: u64,
        /// The replica to remove.
        id: ReplicaId,
    },
    /// Every write up to and including `ticket` is synced to disk.
    Persisted {
        /// The [`Persist::ticket`] of the last of these writes.
        ticket: u64,
    },
    /// The shell took a snapshot of the state machine, so that the log before it can be dropped.
    ///
    /// Ignored unless `index` is committed and above that of the latest snapshot.
    SnapshotTaken {
        /// The index of the last entry applied to the state machine.
        index: u64,
        /// The contents of the state machine, in its own encoding.
        data: Vec<u8>,
    },
    /// A write to the disk failed. Until its restart, the replica sends no messages, ignores those
    /// that arrive and rejects every request.
    StorageFailed,
}

/// One write to the disk. Its fields must be written in this order: snapshot, truncation, entries,
/// term and vote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// The number of the write, from 1 in each run of the process; the shell returns it in
    /// [`Input::Persisted`].
    pub ticket: u64,
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Delete the stored entries from this index on.
    pub truncate_from: Option<u64>,
    /// Entries to append to the stored log.
    pub entries: Vec<Entry>,
    /// A snapshot that replaces the stored log up to its index.
    pub snapshot: Option<Snapshot>,
}

impl Persist {
    /// Merges the write that follows this one into it, so that both need only one sync.
    ///
    /// # Errors
    ///
    /// Returns `next` unchanged when it holds a snapshot or a truncation, because those would then
    /// be written before this write's entries instead of after them.
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

/// An action for the shell, or an answer to one of its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The replica to send it to.
        to: ReplicaId,
        /// The message; the network may lose, repeat or reorder it.
        message: Message,
    },
    /// Write to disk and sync, then answer with [`Input::Persisted`].
    Persist(Persist),
    /// Apply a committed entry to the state machine. Entries come in index order, each at most once
    /// in a run of the process.
    Apply(Entry),
    /// Replace the state machine's contents by those of a snapshot.
    Restore(Snapshot),
    /// A proposal or a change of membership was appended to the leader's log. It is accepted once
    /// the entry applied at `index` has the term `term`. For a change that is in place already, the
    /// entry is the one that set the membership in force.
    Proposed {
        /// The `request` of the input.
        request: u64,
        /// The index of its entry.
        index: u64,
        /// The term of its entry.
        term: u64,
    },
    /// A proposal, a read or a change of membership was rejected; nothing of it is in the log.
    Rejected {
        /// The `request` of the input.
        request: u64,
        /// Why it was rejected.
        error: ProposeError,
    },
    /// A read may be answered once the entry at `index` is applied.
    ReadReady {
        /// The `request` of the input.
        request: u64,
        /// The leader's commit index when it started to confirm the read with a majority.
        index: u64,
    },
    /// The replica's role, term, known leader or membership changed.
    StatusChanged(Status),
}

/// Why a proposal, a read or a change of membership was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica is not the leader, or stopped being it before the request was answered.
    #[error("not the leader")]
    NotLeader {
        /// The leader of the current term, when known.
        leader: Option<ReplicaId>,
    },
    /// A change of membership can't start: the one before it is not committed yet, or the leader
    /// has not yet committed an entry of its term.
    #[error("another membership change is in progress, or the leader's term just began")]
    MembershipChangePending,
    /// An earlier write to the disk failed; see [`Input::StorageFailed`].
    #[error("the disk of this replica failed")]
    StorageFailed,
    /// Removing the only voter would leave the group without one.
    #[error("the only voter can't be removed")]
    LastVoter,
    /// Too many bytes of entries wait for a majority, or too many forwarded reads for the leader.
    #[error("too many requests wait for a majority or for the leader")]
    Busy,
}

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log, doesn't count towards a majority and starts no election.
    Learner,
    /// A voter that follows a leader or waits for one.
    Follower,
    /// Asks the other voters for pre-votes or votes.
    Candidate,
    /// Takes proposals and replicates the log to the other members.
    Leader,
    /// Stopped until a restart because a write to its disk failed.
    Failed,
}

/// A replica's state, as far as the replica itself knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// The replica's identity.
    pub id: ReplicaId,
    /// Its current role.
    pub role: Role,
    /// The latest term that it knows of.
    pub term: u64,
    /// The leader of that term, when known.
    pub leader: Option<ReplicaId>,
    /// The index of the last entry in its log, committed or not.
    pub last_index: u64,
    /// The index of the last entry that it knows to be committed.
    pub commit_index: u64,
    /// The membership in force: the latest in its log, committed or not.
    pub membership: Membership,
    /// The index of the entry or snapshot that set that membership; 0 for the initial one.
    pub membership_index: u64,
}
