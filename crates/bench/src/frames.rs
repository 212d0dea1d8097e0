//! Messages between the system's own processes and their size on a link.

use crate::{
    at_ms,
    shares::{link_pool, region_pool},
};
use member::Members;
use prost::Message;
use share::Holder;
use wire::{
    peer::{Frame, Poll, PollAnswer, Sync, frame::Body},
    sync_to_wire, want_to_wire,
};

/// What a frame takes besides its message: its length and its authentication code.
pub const FRAME_EXTRA_BYTES: usize = 4 + 16;

/// A serial number that a connection reaches after some days.
const SERIAL: u64 = 200_000;

/// A frame with this body.
#[must_use]
pub const fn frame(body: Body) -> Frame {
    Frame {
        serial: SERIAL,
        body: Some(body),
    }
}

/// The size of a frame on a link, without that of TCP.
#[must_use]
pub fn link_bytes(frame: &Frame) -> usize {
    frame.encoded_len() + FRAME_EXTRA_BYTES
}

/// An entry's question to another for its upstreams.
#[must_use]
pub const fn sync_question() -> Frame {
    frame(Body::Sync(Sync {
        since_version: SERIAL,
    }))
}

/// The answer of a home to an entry that knows everything already.
#[must_use]
pub fn sync_renewals(home: &Members) -> Frame {
    let version = home.answer(at_ms(100), 0).version;
    let answer = home.answer(at_ms(100), version);
    frame(Body::SyncAnswer(sync_to_wire(&answer, false)))
}

/// The answer of a home to an entry that knows nothing.
#[must_use]
pub fn sync_everything(home: &Members) -> Frame {
    let answer = home.answer(at_ms(100), 0);
    frame(Body::SyncAnswer(sync_to_wire(&answer, false)))
}

/// An idle entry's poll of one replica, with the wants of so many regions and the links into one.
#[must_use]
pub fn poll(regions: usize) -> Frame {
    let links = (1..regions).map(link_pool);
    let pools = (0..regions).map(region_pool).chain(links);
    let mut holder = Holder::new();
    let wants = pools.map(|pool| want_to_wire(&holder.want(at_ms(0), &pool, 40, 400)));
    frame(Body::Poll(Poll {
        applied_index: SERIAL,
        wants: wants.collect(),
        layout_epoch: Some(SERIAL),
        ..Poll::default()
    }))
}

/// The answer to it, with the grants.
#[must_use]
pub fn poll_answer(regions: usize) -> Frame {
    let links = (1..regions).map(link_pool);
    let grants = (0..regions)
        .map(region_pool)
        .chain(links)
        .map(|pool| share::Grant {
            pool,
            id: share::GrantId {
                term: 30,
                serial: SERIAL,
            },
            amount: 400,
            confirms: false,
        });
    frame(Body::PollAnswer(PollAnswer {
        last_index: SERIAL,
        applied_index: SERIAL,
        membership_index: SERIAL,
        voters: 5,
        votes: true,
        grants: grants.map(|grant| wire::grant_to_wire(&grant)).collect(),
        ..PollAnswer::default()
    }))
}
