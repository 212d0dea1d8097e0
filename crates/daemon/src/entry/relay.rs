//! Passes an upstream's body on to the caller and notes how it ended.

use crate::entry::{
    actor::{Ended, EntryActor},
    forward::IDLE_TIMEOUT,
    kept::KeptAnswer,
};
use crate::http::{Connection, Pool, Put};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use kameo::actor::ActorRef;
use route::{Ending, RequestId};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::{Instant, Sleep, sleep_until};

/// Ends a request exactly once: as told, or as cancelled when it is dropped before.
#[derive(Debug)]
pub struct RequestGuard {
    actor: ActorRef<EntryActor>,
    request: RequestId,
    open: bool,
}

impl RequestGuard {
    /// Guards a request that the actor has taken.
    pub const fn new(actor: ActorRef<EntryActor>, request: RequestId) -> Self {
        Self {
            actor,
            request,
            open: true,
        }
    }

    /// The request.
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// The actor has settled the request itself.
    pub const fn settled(&mut self) {
        self.open = false;
    }

    fn end(&mut self, ending: Ending, answer: Option<Vec<u8>>) {
        if self.open {
            self.open = false;
            let ended = Ended {
                request: self.request,
                ending,
                answer,
            };
            let _ = self.actor.tell(ended).try_send();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end(Ending::Cancelled, None);
    }
}

/// A body under way from an upstream to a caller.
///
/// The connection is given back only after the whole body; in any other case it is closed.
#[derive(Debug)]
pub struct RelayedBody {
    incoming: Incoming,
    status: u16,
    guard: RequestGuard,
    pool: ActorRef<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
    kept: Option<KeptAnswer>,
}

/// What a relayed body needs besides the bytes.
#[derive(Debug)]
pub struct Relay {
    /// The status of the answer.
    pub status: u16,
    /// Ends the request.
    pub guard: RequestGuard,
    /// Takes the connection back.
    pub pool: ActorRef<Pool>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The connection that carries the body.
    pub connection: Connection,
    /// When the body must have come.
    pub deadline: Instant,
    /// Collects the answer where it is kept for resends.
    pub kept: Option<KeptAnswer>,
}

impl RelayedBody {
    /// Relays `incoming`.
    pub fn new(incoming: Incoming, relay: Relay) -> Self {
        let Relay {
            status,
            guard,
            pool,
            address,
            connection,
            deadline,
            kept,
        } = relay;
        let deadline = Box::pin(sleep_until(deadline));
        let connection = Some(connection);
        Self {
            incoming,
            status,
            guard,
            pool,
            address,
            connection,
            deadline,
            kept,
        }
    }

    fn finish(&mut self) {
        let answer = self.kept.take().and_then(|kept| kept.encode());
        self.guard.end(
            Ending::Finished {
                status: self.status,
            },
            answer,
        );
        if let Some(connection) = self.connection.take() {
            let put = Put {
                address: self.address,
                connection,
                expires: Instant::now() + IDLE_TIMEOUT,
            };
            let _ = self.pool.tell(put).try_send();
        }
    }

    fn cut_short(&mut self, error: io::Error) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.guard.end(Ending::CutShort, None);
        self.connection = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(kept), Some(data)) = (&mut self.kept, frame.data_ref()) {
                    kept.add(data);
                }
                return Poll::Ready(Some(Ok(frame)));
            }
            Poll::Ready(Some(Err(error))) => return self.cut_short(io::Error::other(error)),
            Poll::Ready(None) => {
                self.finish();
                return Poll::Ready(None);
            }
            Poll::Pending => {}
        }
        match self.deadline.as_mut().poll(cx) {
            Poll::Ready(()) => self.cut_short(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        if self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
