//! Conversion between the replicated log's messages and their wire form.

use crate::{
    error::WireError,
    peer::{self, log_entry, raft_message},
};
use raft::{Entry, Membership, Message, Payload, ReplicaId};

/// The wire form of a message for the replica `to`.
#[must_use]
pub fn raft_to_wire(to: &ReplicaId, message: Message) -> peer::RaftMessage {
    peer::RaftMessage {
        to: Some(id_to_wire(to)),
        body: Some(body_to_wire(message)),
    }
}

/// The replica that a message is for, and the message, from its wire form.
///
/// # Errors
///
/// [`WireError::Missing`] when a required field is missing.
pub fn raft_from_wire(message: peer::RaftMessage) -> Result<(ReplicaId, Message), WireError> {
    let to = message
        .to
        .map(id_from_wire)
        .ok_or(WireError::Missing { field: "to" })?;
    let body = message.body.ok_or(WireError::Missing { field: "body" })?;
    Ok((to, body_from_wire(body)?))
}

fn id_to_wire(id: &ReplicaId) -> peer::ReplicaId {
    peer::ReplicaId {
        name: id.name.clone(),
        incarnation: id.incarnation,
    }
}

fn id_from_wire(id: peer::ReplicaId) -> ReplicaId {
    ReplicaId {
        name: id.name,
        incarnation: id.incarnation,
    }
}

fn membership_to_wire(membership: &Membership) -> peer::Membership {
    peer::Membership {
        voters: membership.voters.iter().map(id_to_wire).collect(),
        learners: membership.learners.iter().map(id_to_wire).collect(),
    }
}

fn membership_from_wire(membership: peer::Membership) -> Membership {
    Membership {
        voters: membership.voters.into_iter().map(id_from_wire).collect(),
        learners: membership.learners.into_iter().map(id_from_wire).collect(),
    }
}

fn entry_to_wire(entry: Entry) -> peer::LogEntry {
    let payload = match entry.payload {
        Payload::Noop => log_entry::Payload::Noop(peer::Noop {}),
        Payload::Command(data) => log_entry::Payload::Command(data),
        Payload::Membership(membership) => {
            log_entry::Payload::Membership(membership_to_wire(&membership))
        }
    };
    peer::LogEntry {
        index: entry.index,
        term: entry.term,
        payload: Some(payload),
    }
}

fn entry_from_wire(entry: peer::LogEntry) -> Result<Entry, WireError> {
    let payload = match entry
        .payload
        .ok_or(WireError::Missing { field: "payload" })?
    {
        log_entry::Payload::Noop(peer::Noop {}) => Payload::Noop,
        log_entry::Payload::Command(data) => Payload::Command(data),
        log_entry::Payload::Membership(membership) => {
            Payload::Membership(membership_from_wire(membership))
        }
    };
    Ok(Entry {
        index: entry.index,
        term: entry.term,
        payload,
    })
}

fn body_to_wire(message: Message) -> raft_message::Body {
    match message {
        Message::RequestVote {
            term,
            pre,
            last_index,
            last_term,
        } => raft_message::Body::RequestVote(peer::RequestVote {
            term,
            pre,
            last_index,
            last_term,
        }),
        Message::Vote { term, pre, granted } => {
            raft_message::Body::Vote(peer::Vote { term, pre, granted })
        }
        Message::Append {
            term,
            prev_index,
            prev_term,
            commit,
            round,
            entries,
        } => {
            let entries = entries.into_iter().map(entry_to_wire).collect();
            let append = peer::Append {
                term,
                prev_index,
                prev_term,
                commit,
                round,
                entries,
            };
            raft_message::Body::Append(append)
        }
        Message::Appended {
            term,
            success,
            match_index,
            round,
        } => raft_message::Body::Appended(peer::Appended {
            term,
            success,
            match_index,
            round,
        }),
        Message::InstallSnapshot {
            term,
            index,
            snapshot_term,
            membership,
            offset_bytes,
            data,
            done,
            round,
        } => raft_message::Body::InstallSnapshot(peer::InstallSnapshot {
            term,
            index,
            snapshot_term,
            membership: Some(membership_to_wire(&membership)),
            offset_bytes,
            data,
            done,
            round,
        }),
        Message::ReadIndex { term, serial } => {
            raft_message::Body::ReadIndex(peer::ReadIndex { term, serial })
        }
        Message::ReadIndexed {
            term,
            serial,
            index,
        } => raft_message::Body::ReadIndexed(peer::ReadIndexed {
            term,
            serial,
            index,
        }),
        Message::SnapshotReceived {
            term,
            index,
            next_offset_bytes,
            done,
            round,
        } => raft_message::Body::SnapshotReceived(peer::SnapshotReceived {
            term,
            index,
            next_offset_bytes,
            done,
            round,
        }),
    }
}

fn body_from_wire(body: raft_message::Body) -> Result<Message, WireError> {
    Ok(match body {
        raft_message::Body::RequestVote(vote) => Message::RequestVote {
            term: vote.term,
            pre: vote.pre,
            last_index: vote.last_index,
            last_term: vote.last_term,
        },
        raft_message::Body::Vote(vote) => Message::Vote {
            term: vote.term,
            pre: vote.pre,
            granted: vote.granted,
        },
        raft_message::Body::Append(append) => Message::Append {
            term: append.term,
            prev_index: append.prev_index,
            prev_term: append.prev_term,
            commit: append.commit,
            round: append.round,
            entries: append
                .entries
                .into_iter()
                .map(entry_from_wire)
                .collect::<Result<_, _>>()?,
        },
        raft_message::Body::Appended(answer) => Message::Appended {
            term: answer.term,
            success: answer.success,
            match_index: answer.match_index,
            round: answer.round,
        },
        raft_message::Body::InstallSnapshot(chunk) => {
            let membership = chunk.membership.ok_or(WireError::Missing {
                field: "membership",
            })?;
            Message::InstallSnapshot {
                term: chunk.term,
                index: chunk.index,
                snapshot_term: chunk.snapshot_term,
                membership: membership_from_wire(membership),
                offset_bytes: chunk.offset_bytes,
                data: chunk.data,
                done: chunk.done,
                round: chunk.round,
            }
        }
        raft_message::Body::ReadIndex(read) => Message::ReadIndex {
            term: read.term,
            serial: read.serial,
        },
        raft_message::Body::ReadIndexed(answer) => Message::ReadIndexed {
            term: answer.term,
            serial: answer.serial,
            index: answer.index,
        },
        raft_message::Body::SnapshotReceived(answer) => Message::SnapshotReceived {
            term: answer.term,
            index: answer.index,
            next_offset_bytes: answer.next_offset_bytes,
            done: answer.done,
            round: answer.round,
        },
    })
}
