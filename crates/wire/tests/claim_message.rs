//! Claim messages are equal after encoding and decoding; invalid ones give typed errors.

use claim::{
    Attempt, ClaimKey, Ending, HeldClaim, HeldRecord, Message, Peer, Progress, Refusal, Verdict,
};
use prost::Message as _;
use strum::IntoEnumIterator;
use types::{EntryName, ServiceName};
use wire::{
    WireError, claim_from_wire, claim_to_wire,
    peer::{self, Frame, frame::Body},
};

fn entry() -> EntryName {
    EntryName::new("entry-1").expect("a name")
}

fn key() -> ClaimKey {
    ClaimKey::new(&ServiceName::new("payout").expect("a name"), "key-1").expect("a key")
}

fn peer() -> Peer {
    Peer {
        entry: entry(),
        incarnation: 7,
    }
}

fn attempt() -> Attempt {
    Attempt {
        claimant: peer(),
        serial: 3,
    }
}

fn held(progress: Progress) -> HeldClaim {
    let attempt = attempt();
    HeldClaim { attempt, progress }
}

fn messages() -> Vec<Message> {
    let answer = Some(b"paid".to_vec());
    let status = 201;
    let progresses = [
        Progress::Claimed,
        Progress::Unknown,
        Progress::Finished {
            status,
            answer: answer.clone(),
        },
    ];
    let endings = [
        Ending::DidNotRun,
        Ending::Unknown,
        Ending::Finished {
            status,
            answer: None,
        },
        Ending::Finished { status, answer },
    ];
    let records = vec![HeldRecord {
        key: key(),
        claims: progresses.iter().cloned().map(held).collect(),
        remaining_us: 99,
    }];
    let verdicts = Refusal::iter()
        .map(|refusal| Verdict::Refused { refusal })
        .chain(
            progresses
                .into_iter()
                .map(held)
                .map(|claim| Verdict::Taken { claim }),
        )
        .chain([Verdict::Granted {
            known_incarnations: vec![peer()],
        }]);
    let answers = verdicts.map(|verdict| Message::Answer {
        attempt: attempt(),
        verdict,
    });
    let ends = endings.into_iter().map(|ending| Message::End {
        key: key(),
        attempt: attempt(),
        ending,
    });
    let others = [
        Message::Claim {
            epoch: 4,
            key: key(),
            attempt: attempt(),
        },
        Message::EndConfirmed { attempt: attempt() },
        Message::Recover {
            epoch: 4,
            after: None,
        },
        Message::Recovered {
            asker_incarnation: 7,
            after: Some(key()),
            missing: vec![entry()],
            records,
            next: Some(key()),
        },
    ];
    answers.chain(ends).chain(others).collect()
}

#[test]
fn every_message_round_trips() {
    for message in messages() {
        let frame = Frame {
            serial: 0,
            body: Some(claim_to_wire(message.clone())),
        };
        let frame = Frame::decode(frame.encode_to_vec().as_slice()).expect("a frame");
        let body = frame.body.expect("a body");
        let decoded = claim_from_wire(body).expect("a valid message");
        assert_eq!(decoded, Some(message));
    }
}

#[test]
fn invalid_messages_give_typed_errors() {
    let empty = Body::Claim(peer::Claim::default());
    assert!(matches!(
        claim_from_wire(empty),
        Err(WireError::Missing { field: "key" })
    ));
    let Body::ClaimEnd(mut end) = claim_to_wire(Message::End {
        key: key(),
        attempt: attempt(),
        ending: Ending::Unknown,
    }) else {
        panic!("expected a ClaimEnd");
    };
    end.key.as_mut().expect("a key").key = "with space".to_owned();
    assert!(matches!(
        claim_from_wire(Body::ClaimEnd(end)),
        Err(WireError::Invalid { field: "key" })
    ));
    let other = Body::Keepalive(peer::Keepalive {});
    assert!(matches!(claim_from_wire(other), Ok(None)));
}
