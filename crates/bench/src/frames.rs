//! Builds typical messages between the system's processes and gives their size on a link.

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

/// Bytes of a frame besides its message: the length prefix and the authentication code.
pub const FRAME_OVERHEAD_BYTES: usize = 4 + 16;

/// A serial number that a connection reaches after some days. Larger numbers are encoded in more
/// bytes.
const SERIAL: u64 = 200_000;

/// A frame with this body.
#[must_use]
pub const fn frame(body: Body) -> Frame {
    Frame {
        serial: SERIAL,
        body: Some(body),
    }
}

/// Bytes of a frame on a link, without the headers of TCP.
#[must_use]
pub fn link_bytes(frame: &Frame) -> usize {
    frame.encoded_len() + FRAME_OVERHEAD_BYTES
}

/// The request of an entry to another for the changes among its upstreams.
#[must_use]
pub const fn sync_request() -> Frame {
    frame(Body::Sync(Sync {
        since_version: SERIAL,
    }))
}

/// The answer of an entry to another that has all its upstreams already: renewals only.
#[must_use]
pub fn sync_renewals(home: &Members) -> Frame {
    let version = home.answer(at_ms(100), 0).version;
    let answer = home.answer(at_ms(100), version);
    frame(Body::SyncAnswer(sync_to_wire(&answer, false)))
}

/// The answer of an entry to another that has none of its upstreams: every announcement.
#[must_use]
pub fn sync_all(home: &Members) -> Frame {
    let answer = home.answer(at_ms(100), 0);
    frame(Body::SyncAnswer(sync_to_wire(&answer, false)))
}

/// An idle entry's poll of one replica, with its wants for this number of regions and for the links
/// into one of them.
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

/// The answer to [`poll`], with a grant for each want.
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
