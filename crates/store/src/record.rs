//! Protobuf messages in which the types of `raft` are stored on disk.
//!
//! They are separate from the messages between processes, so that either can change without the
//! other.

use prost::{Message, Oneof};
use raft::{Entry, HardState, Membership, Payload, ReplicaId, Snapshot};

/// A replica's identity, written when its data folder is created and never changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Identity {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// The names of the replicas in the group's initial membership; empty in a replica that was
    /// added to the group later.
    #[prost(string, repeated, tag = "3")]
    pub(crate) initial_members: Vec<String>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct IdRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct MembershipRecord {
    #[prost(message, repeated, tag = "1")]
    voters: Vec<IdRecord>,
    #[prost(message, repeated, tag = "2")]
    learners: Vec<IdRecord>,
}

/// The current term and the vote given in it.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct HardStateRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(message, optional, tag = "2")]
    voted_for: Option<IdRecord>,
}

/// A snapshot, and which entries it removes from a log file that is older than it.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct SnapshotRecord {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    membership: Option<MembershipRecord>,
    #[prost(bytes = "vec", tag = "4")]
    data: Vec<u8>,
    /// Entries from this index on are removed from the log.
    #[prost(uint64, optional, tag = "5")]
    pub(crate) truncate_from: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum PayloadRecord {
    #[prost(bytes, tag = "3")]
    Command(Vec<u8>),
    #[prost(message, tag = "4")]
    Membership(MembershipRecord),
}

/// A log entry; one without a payload is a no-op.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct EntryRecord {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(oneof = "PayloadRecord", tags = "3, 4")]
    payload: Option<PayloadRecord>,
}

impl From<&ReplicaId> for IdRecord {
    fn from(id: &ReplicaId) -> Self {
        Self {
            name: id.name.clone(),
            incarnation: id.incarnation,
        }
    }
}

impl From<IdRecord> for ReplicaId {
    fn from(record: IdRecord) -> Self {
        Self {
            name: record.name,
            incarnation: record.incarnation,
        }
    }
}

impl From<&Membership> for MembershipRecord {
    fn from(membership: &Membership) -> Self {
        Self {
            voters: membership.voters.iter().map(Into::into).collect(),
            learners: membership.learners.iter().map(Into::into).collect(),
        }
    }
}

impl From<MembershipRecord> for Membership {
    fn from(record: MembershipRecord) -> Self {
        Self {
            voters: record.voters.into_iter().map(Into::into).collect(),
            learners: record.learners.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&HardState> for HardStateRecord {
    fn from(hard_state: &HardState) -> Self {
        Self {
            term: hard_state.term,
            voted_for: hard_state.voted_for.as_ref().map(Into::into),
        }
    }
}

impl From<HardStateRecord> for HardState {
    fn from(record: HardStateRecord) -> Self {
        Self {
            term: record.term,
            voted_for: record.voted_for.map(Into::into),
        }
    }
}

impl SnapshotRecord {
    pub(crate) fn new(snapshot: &Snapshot, truncate_from: Option<u64>) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: Some((&snapshot.membership).into()),
            data: snapshot.data.clone(),
            truncate_from,
        }
    }
}

impl From<SnapshotRecord> for Snapshot {
    fn from(record: SnapshotRecord) -> Self {
        Self {
            index: record.index,
            term: record.term,
            membership: record.membership.unwrap_or_default().into(),
            data: record.data,
        }
    }
}

impl From<&Entry> for EntryRecord {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => None,
            Payload::Command(data) => Some(PayloadRecord::Command(data.clone())),
            Payload::Membership(membership) => Some(PayloadRecord::Membership(membership.into())),
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload,
        }
    }
}

impl From<EntryRecord> for Entry {
    fn from(record: EntryRecord) -> Self {
        let payload = match record.payload {
            None => Payload::Noop,
            Some(PayloadRecord::Command(data)) => Payload::Command(data),
            Some(PayloadRecord::Membership(membership)) => Payload::Membership(membership.into()),
        };
        Self {
            index: record.index,
            term: record.term,
            payload,
        }
    }
}
