//! Conversion between an entry's core and the wire.

use entry::{ConfigChange, ReplicaAnswer};
use share::Want;
use thiserror::Error;
use types::{InvalidName, Key, ResourceName, ResourceProgress};
use wire::{
    WireError, grant_from_wire,
    peer::{Change, Poll, PollAnswer},
    want_to_wire,
};

/// A poll answer that breaks its rules.
#[derive(Debug, Error)]
pub enum ConvertError {
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A kind is unknown.
    #[error("unknown kind of resource: {0}")]
    Kind(#[from] strum::ParseError),
    /// A grant breaks its rules.
    #[error(transparent)]
    Grant(#[from] WireError),
    /// A resource is no valid JSON.
    #[error("invalid resource: {0}")]
    Resource(#[from] serde_json::Error),
}

/// A poll for changes after `applied_index`.
pub fn poll(applied_index: u64, layout_epoch: Option<u64>, wants: &[Want]) -> Poll {
    Poll {
        applied_index,
        layout_epoch,
        wants: wants.iter().map(want_to_wire).collect(),
        ..Poll::default()
    }
}

/// The answer to a poll.
pub fn replica_answer(answer: PollAnswer) -> Result<ReplicaAnswer, ConvertError> {
    Ok(ReplicaAnswer {
        last_index: answer.last_index,
        applied_index: answer.applied_index,
        membership_index: answer.membership_index,
        voters: answer.voters,
        votes: answer.votes,
        complete: answer.complete,
        changes: answer
            .changes
            .iter()
            .map(change)
            .collect::<Result<_, _>>()?,
        layout: match answer.layout_json.as_slice() {
            [] => None,
            json => Some(serde_json::from_slice(json)?),
        },
        grants: answer
            .grants
            .iter()
            .map(grant_from_wire)
            .collect::<Result<_, _>>()?,
    })
}

fn change(change: &Change) -> Result<ConfigChange, ConvertError> {
    let key = Key {
        kind: change.kind.parse()?,
        name: ResourceName::new(&change.name)?,
    };
    let resource = match change.resource_json.as_slice() {
        [] => None,
        json => Some(serde_json::from_slice(json)?),
    };
    Ok(ConfigChange {
        revision: change.revision,
        key,
        resource,
    })
}

/// The wire form of what the entry reports of drains and shifts.
pub fn progress(progress: &[ResourceProgress]) -> Vec<Vec<u8>> {
    progress
        .iter()
        .filter_map(|progress| serde_json::to_vec(progress).ok())
        .collect()
}
