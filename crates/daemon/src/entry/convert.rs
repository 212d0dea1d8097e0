//! Conversion between the types of an entry's core and protobuf messages.

use entry::{ConfigChange, ReplicaAnswer};
use share::Want;
use thiserror::Error;
use types::{InvalidName, Key, ResourceName, ResourceProgress};
use wire::{
    WireError, grant_from_wire,
    peer::{Change, Poll, PollAnswer},
    want_to_wire,
};

/// Why a control replica's answer can't be decoded.
#[derive(Debug, Error)]
pub enum ConvertError {
    /// The name of a changed resource is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// The kind of a changed resource is unknown.
    #[error("unknown kind of resource: {0}")]
    Kind(#[from] strum::ParseError),
    /// A grant is invalid.
    #[error(transparent)]
    Grant(#[from] WireError),
    /// The JSON of a resource or of the layout is invalid.
    #[error("invalid JSON of a resource or of the layout: {0}")]
    Resource(#[from] serde_json::Error),
}

/// Encodes a poll for the changes after `applied_index`, without progress reports.
pub fn poll(applied_index: u64, layout_epoch: Option<u64>, wants: &[Want]) -> Poll {
    Poll {
        applied_index,
        layout_epoch,
        wants: wants.iter().map(want_to_wire).collect(),
        ..Poll::default()
    }
}

/// Decodes the answer to a poll.
pub fn replica_answer(answer: PollAnswer) -> Result<ReplicaAnswer, ConvertError> {
    Ok(ReplicaAnswer {
        last_index: answer.last_index,
        applied_index: answer.applied_index,
        membership_index: answer.membership_index,
        voters: answer.voters,
        is_voter: answer.votes,
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

/// Encodes the reports of the progress of drains and shifts; one that can't be encoded is left out.
pub fn progress(progress: &[ResourceProgress]) -> Vec<Vec<u8>> {
    progress
        .iter()
        .filter_map(|progress| serde_json::to_vec(progress).ok())
        .collect()
}
