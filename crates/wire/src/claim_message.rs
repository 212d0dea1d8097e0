//! Conversion between the messages about claims and their wire form.

use crate::{
    error::WireError,
    peer::{self, claim_answer, claim_progress, frame::Body},
};
use claim::{Attempt, ClaimKey, Ending, HeldClaim, HeldRecord, Message, Peer, Progress, Verdict};
use types::{EntryName, ServiceName};

/// The wire form of a message.
#[must_use]
pub fn claim_to_wire(message: Message) -> Body {
    match message {
        Message::Claim {
            epoch,
            key,
            attempt,
        } => Body::Claim(peer::Claim {
            epoch,
            key: Some(key_to_wire(&key)),
            attempt: Some(attempt_to_wire(attempt)),
        }),
        Message::Answer { attempt, verdict } => Body::ClaimAnswer(peer::ClaimAnswer {
            attempt: Some(attempt_to_wire(attempt)),
            verdict: Some(verdict_to_wire(verdict)),
        }),
        Message::End {
            key,
            attempt,
            ending,
        } => Body::ClaimEnd(peer::ClaimEnd {
            key: Some(key_to_wire(&key)),
            attempt: Some(attempt_to_wire(attempt)),
            ending: Some(ending_to_wire(ending)),
        }),
        Message::EndConfirmed { attempt } => Body::ClaimEndNoted(peer::ClaimEndNoted {
            attempt: Some(attempt_to_wire(attempt)),
        }),
        Message::Recover { epoch, after } => Body::ClaimRecover(peer::ClaimRecover {
            epoch,
            after: after.as_ref().map(key_to_wire),
        }),
        Message::Recovered {
            asker_incarnation,
            after,
            missing,
            records,
            next,
        } => Body::ClaimRecovered(peer::ClaimRecovered {
            asker_incarnation,
            after: after.as_ref().map(key_to_wire),
            missing: missing.into_iter().map(String::from).collect(),
            records: records.into_iter().map(record_to_wire).collect(),
            next: next.as_ref().map(key_to_wire),
        }),
    }
}

/// The message from its wire form; `None` when `body` is not about claims.
///
/// # Errors
///
/// [`WireError`] when a required field is missing or a value is invalid.
pub fn claim_from_wire(body: Body) -> Result<Option<Message>, WireError> {
    Ok(Some(match body {
        Body::Claim(claim) => Message::Claim {
            epoch: claim.epoch,
            key: key_from_wire(claim.key)?,
            attempt: attempt_from_wire(claim.attempt)?,
        },
        Body::ClaimAnswer(answer) => Message::Answer {
            attempt: attempt_from_wire(answer.attempt)?,
            verdict: verdict_from_wire(answer.verdict)?,
        },
        Body::ClaimEnd(end) => Message::End {
            key: key_from_wire(end.key)?,
            attempt: attempt_from_wire(end.attempt)?,
            ending: ending_from_wire(end.ending)?,
        },
        Body::ClaimEndNoted(confirmation) => Message::EndConfirmed {
            attempt: attempt_from_wire(confirmation.attempt)?,
        },
        Body::ClaimRecover(recover) => Message::Recover {
            epoch: recover.epoch,
            after: optional_key_from_wire(recover.after)?,
        },
        Body::ClaimRecovered(chunk) => Message::Recovered {
            asker_incarnation: chunk.asker_incarnation,
            after: optional_key_from_wire(chunk.after)?,
            missing: chunk
                .missing
                .into_iter()
                .map(entry_from_wire)
                .collect::<Result<_, _>>()?,
            records: chunk
                .records
                .into_iter()
                .map(record_from_wire)
                .collect::<Result<_, _>>()?,
            next: optional_key_from_wire(chunk.next)?,
        },
        _ => return Ok(None),
    }))
}

fn entry_from_wire(entry: String) -> Result<EntryName, WireError> {
    EntryName::try_from(entry).map_err(|_| WireError::Invalid { field: "entry" })
}

fn key_to_wire(key: &ClaimKey) -> peer::ClaimKey {
    peer::ClaimKey {
        service: key.service().to_string(),
        key: key.key().to_owned(),
    }
}

fn key_from_wire(key: Option<peer::ClaimKey>) -> Result<ClaimKey, WireError> {
    let key = key.ok_or(WireError::Missing { field: "key" })?;
    let invalid = WireError::Invalid { field: "service" };
    let service = ServiceName::try_from(key.service).map_err(|_| invalid)?;
    ClaimKey::new(&service, &key.key).map_err(|_| WireError::Invalid { field: "key" })
}

fn optional_key_from_wire(key: Option<peer::ClaimKey>) -> Result<Option<ClaimKey>, WireError> {
    key.map(|key| key_from_wire(Some(key))).transpose()
}

fn peer_to_wire(peer: Peer) -> peer::ClaimPeer {
    peer::ClaimPeer {
        entry: peer.entry.into(),
        incarnation: peer.incarnation,
    }
}

fn peer_from_wire(peer: peer::ClaimPeer) -> Result<Peer, WireError> {
    Ok(Peer {
        entry: entry_from_wire(peer.entry)?,
        incarnation: peer.incarnation,
    })
}

fn attempt_to_wire(attempt: Attempt) -> peer::ClaimAttempt {
    peer::ClaimAttempt {
        claimant: Some(peer_to_wire(attempt.claimant)),
        serial: attempt.serial,
    }
}

fn attempt_from_wire(attempt: Option<peer::ClaimAttempt>) -> Result<Attempt, WireError> {
    let attempt = attempt.ok_or(WireError::Missing { field: "attempt" })?;
    let claimant = attempt
        .claimant
        .ok_or(WireError::Missing { field: "claimant" })?;
    Ok(Attempt {
        claimant: peer_from_wire(claimant)?,
        serial: attempt.serial,
    })
}

fn state_to_wire(state: claim_progress::State) -> peer::ClaimProgress {
    peer::ClaimProgress { state: Some(state) }
}

fn state_from_wire(
    progress: Option<peer::ClaimProgress>,
) -> Result<claim_progress::State, WireError> {
    progress
        .and_then(|progress| progress.state)
        .ok_or(WireError::Missing { field: "state" })
}

fn finished_to_wire(status: u16, answer: Option<Vec<u8>>) -> claim_progress::State {
    let status = status.into();
    claim_progress::State::Finished(peer::ClaimFinished { status, answer })
}

fn status_from_wire(status: u32) -> Result<u16, WireError> {
    u16::try_from(status).map_err(|_| WireError::Invalid { field: "status" })
}

fn progress_to_wire(progress: Progress) -> peer::ClaimProgress {
    state_to_wire(match progress {
        Progress::Claimed => claim_progress::State::Claimed(peer::Noop {}),
        Progress::Unknown => claim_progress::State::Unknown(peer::Noop {}),
        Progress::Finished { status, answer } => finished_to_wire(status, answer),
    })
}

fn progress_from_wire(progress: Option<peer::ClaimProgress>) -> Result<Progress, WireError> {
    match state_from_wire(progress)? {
        claim_progress::State::Claimed(_) => Ok(Progress::Claimed),
        claim_progress::State::Unknown(_) => Ok(Progress::Unknown),
        claim_progress::State::Finished(finished) => Ok(Progress::Finished {
            status: status_from_wire(finished.status)?,
            answer: finished.answer,
        }),
        claim_progress::State::DidNotRun(_) => Err(WireError::Invalid { field: "progress" }),
    }
}

fn ending_to_wire(ending: Ending) -> peer::ClaimProgress {
    state_to_wire(match ending {
        Ending::DidNotRun => claim_progress::State::DidNotRun(peer::Noop {}),
        Ending::Unknown => claim_progress::State::Unknown(peer::Noop {}),
        Ending::Finished { status, answer } => finished_to_wire(status, answer),
    })
}

fn ending_from_wire(ending: Option<peer::ClaimProgress>) -> Result<Ending, WireError> {
    match state_from_wire(ending)? {
        claim_progress::State::DidNotRun(_) => Ok(Ending::DidNotRun),
        claim_progress::State::Unknown(_) => Ok(Ending::Unknown),
        claim_progress::State::Finished(finished) => Ok(Ending::Finished {
            status: status_from_wire(finished.status)?,
            answer: finished.answer,
        }),
        claim_progress::State::Claimed(_) => Err(WireError::Invalid { field: "ending" }),
    }
}

fn held_to_wire(claim: HeldClaim) -> peer::HeldClaim {
    peer::HeldClaim {
        attempt: Some(attempt_to_wire(claim.attempt)),
        progress: Some(progress_to_wire(claim.progress)),
    }
}

fn held_from_wire(claim: peer::HeldClaim) -> Result<HeldClaim, WireError> {
    Ok(HeldClaim {
        attempt: attempt_from_wire(claim.attempt)?,
        progress: progress_from_wire(claim.progress)?,
    })
}

fn record_to_wire(record: HeldRecord) -> peer::HeldRecord {
    peer::HeldRecord {
        key: Some(key_to_wire(&record.key)),
        claims: record.claims.into_iter().map(held_to_wire).collect(),
        remaining_us: record.remaining_us,
    }
}

fn record_from_wire(record: peer::HeldRecord) -> Result<HeldRecord, WireError> {
    Ok(HeldRecord {
        key: key_from_wire(record.key)?,
        claims: record
            .claims
            .into_iter()
            .map(held_from_wire)
            .collect::<Result<_, _>>()?,
        remaining_us: record.remaining_us,
    })
}

fn verdict_to_wire(verdict: Verdict) -> claim_answer::Verdict {
    match verdict {
        Verdict::Granted { known_incarnations } => {
            claim_answer::Verdict::Granted(peer::ClaimGranted {
                seen: known_incarnations.into_iter().map(peer_to_wire).collect(),
            })
        }
        Verdict::Taken { claim } => claim_answer::Verdict::Taken(held_to_wire(claim)),
        Verdict::Refused { refusal } => claim_answer::Verdict::Refusal(refusal as u32),
    }
}

fn verdict_from_wire(verdict: Option<claim_answer::Verdict>) -> Result<Verdict, WireError> {
    match verdict.ok_or(WireError::Missing { field: "verdict" })? {
        claim_answer::Verdict::Granted(granted) => Ok(Verdict::Granted {
            known_incarnations: granted
                .seen
                .into_iter()
                .map(peer_from_wire)
                .collect::<Result<_, _>>()?,
        }),
        claim_answer::Verdict::Taken(claim) => Ok(Verdict::Taken {
            claim: held_from_wire(claim)?,
        }),
        claim_answer::Verdict::Refusal(number) => Ok(Verdict::Refused {
            refusal: claim::Refusal::from_repr(number)
                .ok_or(WireError::Invalid { field: "refusal" })?,
        }),
    }
}
