//! Conversion between the types of a control replica's core and protobuf messages.

use control::{GatewayPollAnswer, Poll, PollAnswer, PollRejection};
use link::Peer;
use state::Change;
use thiserror::Error;
use types::{EntryName, InvalidName};
use wire::{WireError, follow_answer_to_wire, grant_to_wire, peer, want_from_wire};

/// A poll that can't be decoded or an answer to a gateway that can't be encoded.
#[derive(Debug, Error)]
pub enum ConvertError {
    /// The name of the polling entry is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A progress report can't be decoded from JSON, or an answer can't be encoded.
    #[error("JSON conversion failed: {0}")]
    Json(#[from] serde_json::Error),
    /// A want is invalid, or an answer can't be compressed.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Encodes the answer to a gateway's poll (`Follow`).
///
/// # Errors
///
/// When the answer can't be encoded.
pub fn gateway_poll_answer(answer: &GatewayPollAnswer) -> Result<peer::FollowAnswer, ConvertError> {
    Ok(follow_answer_to_wire(serde_json::to_vec(answer)?)?)
}

/// Decodes the poll of an entry. Its name and incarnation come from the link's handshake.
///
/// # Errors
///
/// When a field or the entry's name is invalid.
pub fn poll(from: &Peer, poll: &peer::Poll) -> Result<Poll, ConvertError> {
    let rejected = (poll.rejected_revision > 0).then(|| PollRejection {
        revision: poll.rejected_revision,
        reason: poll.rejected_reason.clone(),
    });
    let entry = EntryName::new(&from.node)?;
    Ok(Poll {
        entry,
        applied_index: poll.applied_index,
        incarnation: from.incarnation,
        layout_epoch: poll.layout_epoch,
        progress: poll
            .progress_json
            .iter()
            .map(|json| serde_json::from_slice(json))
            .collect::<Result<_, _>>()?,
        wants: poll
            .wants
            .iter()
            .map(want_from_wire)
            .collect::<Result<_, _>>()?,
        rejected,
    })
}

/// Encodes the answer to an entry's poll.
///
/// # Errors
///
/// When the layout or a resource can't be encoded.
pub fn poll_answer(answer: &PollAnswer) -> Result<peer::PollAnswer, serde_json::Error> {
    let changes = answer
        .changes
        .changes
        .iter()
        .map(change)
        .collect::<Result<_, _>>()?;
    Ok(peer::PollAnswer {
        last_index: answer.last_index,
        applied_index: answer.applied_index,
        membership_index: answer.membership_index,
        voters: answer.voters,
        votes: answer.is_voter,
        complete: answer.changes.complete,
        changes,
        layout_json: match &answer.layout {
            Some(layout) => serde_json::to_vec(layout)?,
            None => Vec::new(),
        },
        grants: answer.grants.iter().map(grant_to_wire).collect(),
    })
}

fn change(change: &Change) -> Result<peer::Change, serde_json::Error> {
    let resource_json = match &change.resource {
        Some(resource) => serde_json::to_vec(resource)?,
        None => Vec::new(),
    };
    Ok(peer::Change {
        revision: change.revision,
        kind: change.key.kind.to_string(),
        name: change.key.name.to_string(),
        resource_json,
    })
}
