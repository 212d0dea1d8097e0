//! Sends large bodies of requests in chunks, at a part of the link's rate.

use crate::{clock::Clock, http::RequestBody};
use bytes::Bytes;
use gate::LinkSchedule;
use http_body_util::{
    Either, Full,
    channel::{Channel, Sender},
};
use kameo::{
    Actor, Reply,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use std::convert::Infallible;
use tokio::time::{Instant, sleep_until};

/// Bodies up to this size are sent whole: they take a slow link for some milliseconds only.
const WHOLE_MAX_BYTES: usize = 8 * 1_024;

/// The size of the chunks of larger bodies.
const CHUNK_BYTES: usize = 4 * 1_024;

/// Chunks that the connection has not taken yet, for each body.
const CHUNKS_QUEUED: usize = 1;

/// Owns the schedule of the chunks of all large bodies of a gateway.
#[derive(Actor, Debug)]
pub struct BodyPacer {
    schedule: LinkSchedule,
    clock: Clock,
}

/// Reserves the link for a chunk. The reply is when it may be sent.
#[derive(Clone, Copy, Debug)]
struct Reserve {
    chunk_bytes: usize,
}

#[derive(Clone, Copy, Debug, Reply)]
struct Slot(Instant);

impl Message<Reserve> for BodyPacer {
    type Reply = Slot;

    async fn handle(
        &mut self,
        Reserve { chunk_bytes }: Reserve,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let start_us = self.schedule.reserve(chunk_bytes, self.clock.now_us());
        Slot(self.clock.instant(start_us))
    }
}

/// Makes the bodies of requests; large ones are paced where the rate of the link is known.
#[derive(Clone, Debug)]
pub struct RequestBodies {
    pacer: Option<ActorRef<BodyPacer>>,
}

impl RequestBodies {
    /// Paces large bodies for a link of this rate; sends all whole without one.
    pub fn new(link_kbps: Option<u64>, clock: Clock) -> Self {
        let pacer = link_kbps.map(|link_kbps| {
            let schedule = LinkSchedule::new(link_kbps, clock.now_us());
            BodyPacer::spawn_with_mailbox(BodyPacer { schedule, clock }, mailbox::unbounded())
        });
        Self { pacer }
    }

    /// The body with this content.
    pub fn body(&self, content: &Bytes) -> RequestBody {
        match &self.pacer {
            Some(pacer) if content.len() > WHOLE_MAX_BYTES => {
                let (sender, body) = Channel::new(CHUNKS_QUEUED);
                tokio::spawn(send_chunks(pacer.clone(), content.clone(), sender));
                Either::Right(body)
            }
            _ => Either::Left(Full::new(content.clone())),
        }
    }
}

/// Sends the content in chunks until all of it is sent or the connection is gone.
async fn send_chunks(
    pacer: ActorRef<BodyPacer>,
    mut content: Bytes,
    mut sender: Sender<Bytes, Infallible>,
) {
    while !content.is_empty() {
        let chunk = content.split_to(CHUNK_BYTES.min(content.len()));
        let chunk_bytes = chunk.len();
        // The pacer ends with the gateway only.
        let Ok(Slot(start)) = pacer.ask(Reserve { chunk_bytes }).await else {
            return;
        };
        sleep_until(start).await;
        if sender.send_data(chunk).await.is_err() {
            return;
        }
    }
}
