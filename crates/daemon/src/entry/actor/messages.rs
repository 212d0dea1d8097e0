//! The messages that an entry's actor handles: from HTTP tasks, links and the timer.

use super::{Admission, EndLabels, EntryActor};
use claim::ClaimKey;
use entry::{Arrival, Input};
use kameo::{
    Reply,
    message::{Context, Message},
};
use link::Event;
use member::{AnnounceResult, EXPIRES_WITHIN_MS, RENEW_WITHIN_MS};
use route::{Ending, RequestId};
use slog::info;
use std::net::IpAddr;
use tokio::sync::mpsc;
use types::{AnnounceAnswer, Announcement, EntryName, LookupAnswer, ServiceName, UpstreamName};

/// Sent once per tick period.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Starts a graceful stop: look-up answers no longer name this entry, and requests in flight may
/// finish.
#[derive(Clone, Copy, Debug)]
pub struct Stop;

/// A caller's request arrived. The reply gives its ID and the channel of its directives.
#[derive(Debug)]
pub struct RequestArrived {
    /// The service from the request's path.
    pub service: ServiceName,
    /// How long the caller still waits, in milliseconds (`ow-deadline-ms`), if it says so.
    pub timeout_ms: Option<u64>,
    /// The claim of the request's idempotency key, if it has one.
    pub key: Option<ClaimKey>,
}

/// The head of the upstream's answer has arrived, and its body is being relayed.
#[derive(Clone, Copy, Debug)]
pub struct AnswerStarted {
    /// ID of the request.
    pub request: RequestId,
}

/// An attempt ended, or the caller closed its connection.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// ID of the request.
    pub request: RequestId,
    /// How the attempt ended.
    pub ending: Ending,
    /// The encoded answer, when the request has an idempotency key and the answer is complete and
    /// small enough to be stored.
    pub answer: Option<Vec<u8>>,
}

/// The answer to an announcement: when the upstream must announce itself again.
#[derive(Debug, Reply)]
pub struct AnnounceReply(pub AnnounceAnswer);

/// An upstream announced itself.
#[derive(Debug)]
pub struct Announce {
    /// Name of the upstream, from the request's path.
    pub name: UpstreamName,
    /// The decoded announcement.
    pub announcement: Announcement,
}

/// A caller asks which entries to use. The reply is `None` for an unknown service.
#[derive(Debug)]
pub struct Lookup {
    /// The service that the caller wants to reach.
    pub service: ServiceName,
    /// Address of the client that the answer is for.
    pub client: IpAddr,
}

/// Asks for the core's state as JSON.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

/// Asks whether the entry accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready;

/// An event of a link to a control replica or another entry.
#[derive(Debug)]
pub struct LinkEvent(pub Event);

impl Message<Tick> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        self.step(Input::Tick);
    }
}

impl Message<Stop> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self, Self::Reply>) {
        info!(self.args.log, "stopping");
        self.step(Input::Stop);
    }
}

impl Message<RequestArrived> for EntryActor {
    type Reply = Admission;

    async fn handle(
        &mut self,
        RequestArrived {
            service,
            timeout_ms,
            key,
        }: RequestArrived,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (sender, directives) = mpsc::unbounded_channel();
        self.requests.insert(request, sender);
        self.step(Input::Arrive(Arrival {
            request,
            service: &service,
            timeout_ms,
            key: key.as_ref(),
        }));
        Admission {
            request,
            directives,
        }
    }
}

impl Message<AnswerStarted> for EntryActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AnswerStarted { request }: AnswerStarted,
        _: &mut Context<Self, Self::Reply>,
    ) {
        self.step(Input::Answering { request });
    }
}

impl Message<AttemptEnded> for EntryActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AttemptEnded {
            request,
            ending,
            answer,
        }: AttemptEnded,
        _: &mut Context<Self, Self::Reply>,
    ) {
        if let Some(labels) = EndLabels::from_ending(ending) {
            self.args.metrics.count_end(labels);
            self.requests.remove(&request);
        }
        self.step(Input::Ended {
            request,
            ending,
            answer,
        });
    }
}

impl Message<Announce> for EntryActor {
    type Reply = AnnounceReply;

    async fn handle(
        &mut self,
        Announce { name, announcement }: Announce,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now_us = self.now_us();
        match self
            .args
            .core
            .announce(now_us, &name, &announcement, &mut self.outputs)
        {
            AnnounceResult::Accepted => self.args.metrics.announcements.inc(),
            AnnounceResult::Outdated => self.args.metrics.outdated_announcements.inc(),
        };
        self.handle_outputs();
        AnnounceReply(AnnounceAnswer {
            renew_within_ms: RENEW_WITHIN_MS,
            expires_within_ms: EXPIRES_WITHIN_MS,
        })
    }
}

impl Message<Lookup> for EntryActor {
    type Reply = Option<LookupAnswer>;

    async fn handle(
        &mut self,
        Lookup { service, client }: Lookup,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.args.metrics.lookups.inc();
        self.args.core.lookup(self.now_us(), &service, client)
    }
}

impl Message<Dump> for EntryActor {
    type Reply = Result<serde_json::Value, serde_json::Error>;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        serde_json::to_value(self.args.core.dump(self.now_us()))
    }
}

impl Message<Ready> for EntryActor {
    type Reply = bool;

    async fn handle(&mut self, _: Ready, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.args.core.is_ready(self.now_us())
    }
}

impl Message<LinkEvent> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, LinkEvent(event): LinkEvent, _: &mut Context<Self, Self::Reply>) {
        match event {
            Event::Up { .. } => {}
            Event::Frame {
                peer,
                frame,
                sender,
                ..
            } => self.handle_frame(&peer, frame, &sender),
            Event::Down { peer, .. } => {
                if let Ok(peer) = EntryName::new(&peer.node) {
                    self.step(Input::PeerDown { peer: &peer });
                }
            }
        }
    }
}
