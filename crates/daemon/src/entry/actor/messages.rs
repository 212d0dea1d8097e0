//! The messages that an entry's actor takes.

use super::{Admission, EntryActor, Settlement};
use claim::ClaimKey;
use entry::{Arrival, Input};
use kameo::{
    Reply,
    message::{Context, Message},
};
use link::Event;
use member::{Announced, EXPIRES_WITHIN_MS, RENEW_WITHIN_MS};
use route::{Ending, RequestId};
use slog::info;
use std::net::IpAddr;
use tokio::sync::mpsc;
use types::{AnnounceAnswer, Announcement, EntryName, LookupAnswer, ServiceName, UpstreamName};

/// Time has passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Stop without cutting anything off.
#[derive(Clone, Copy, Debug)]
pub struct Stop;

/// A caller's request has come.
#[derive(Debug)]
pub struct Arrive {
    /// The service.
    pub service: ServiceName,
    /// How long the caller waits.
    pub patience_ms: Option<u64>,
    /// Its idempotency key, if any.
    pub key: Option<ClaimKey>,
}

/// The upstream's answer has begun.
#[derive(Clone, Copy, Debug)]
pub struct Answering {
    /// The request.
    pub request: RequestId,
}

/// An attempt ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// How.
    pub ending: Ending,
    /// The whole answer, where it is to be kept for resends.
    pub answer: Option<Vec<u8>>,
}

/// The answer to an announcement.
#[derive(Debug, Reply)]
pub struct Renew(pub AnnounceAnswer);

/// An upstream announced itself.
#[derive(Debug)]
pub struct Announce {
    /// The upstream.
    pub name: UpstreamName,
    /// What it says.
    pub announcement: Announcement,
}

/// A caller asks which entries to use.
#[derive(Debug)]
pub struct Lookup {
    /// The service.
    pub service: ServiceName,
    /// The client's address.
    pub client: IpAddr,
}

/// Asks for the whole state.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

/// Asks whether the entry takes work.
#[derive(Clone, Copy, Debug)]
pub struct Ready;

/// An event of a link.
#[derive(Debug)]
pub struct Linked(pub Event);

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

impl Message<Arrive> for EntryActor {
    type Reply = Admission;

    async fn handle(
        &mut self,
        Arrive {
            service,
            patience_ms,
            key,
        }: Arrive,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (sender, directives) = mpsc::unbounded_channel();
        self.requests.insert(request, sender);
        self.step(Input::Arrive(Arrival {
            request,
            service: &service,
            patience_ms,
            key: key.as_ref(),
        }));
        Admission {
            request,
            directives,
        }
    }
}

impl Message<Answering> for EntryActor {
    type Reply = ();

    async fn handle(
        &mut self,
        Answering { request }: Answering,
        _: &mut Context<Self, Self::Reply>,
    ) {
        self.step(Input::Answering { request });
    }
}

impl Message<Ended> for EntryActor {
    type Reply = ();

    async fn handle(
        &mut self,
        Ended {
            request,
            ending,
            answer,
        }: Ended,
        _: &mut Context<Self, Self::Reply>,
    ) {
        if let Some(settlement) = Settlement::ended(ending) {
            self.args.metrics.count(settlement);
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
    type Reply = Renew;

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
            Announced::Accepted => self.args.metrics.announcements.inc(),
            Announced::Outdated => self.args.metrics.outdated_announcements.inc(),
        };
        self.carry_out();
        Renew(AnnounceAnswer {
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

impl Message<Linked> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, Linked(event): Linked, _: &mut Context<Self, Self::Reply>) {
        match event {
            Event::Up { .. } => {}
            Event::Frame {
                peer,
                frame,
                replies,
                ..
            } => self.receive(&peer, frame, &replies),
            Event::Down { peer, .. } => {
                if let Ok(peer) = EntryName::new(&peer.node) {
                    self.step(Input::PeerDown { peer: &peer });
                }
            }
        }
    }
}
