//! Streams the body of an upstream's answer to the caller and reports to the core how it ended.

use crate::entry::{
    actor::{AttemptEnded, EntryActor},
    forward::IDLE_TIMEOUT,
    kept::KeptAnswer,
};
use crate::http::{AnswerBody, Connection, Pool, Put};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
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

/// Reports the end of a request to the core exactly once. Dropping it before an end was reported,
/// as when the caller closes its connection, reports the request as cancelled.
#[derive(Debug)]
pub struct RequestGuard {
    actor: ActorRef<EntryActor>,
    request: RequestId,
    is_open: bool,
}

impl RequestGuard {
    /// Guards a request that the core has admitted.
    pub const fn new(actor: ActorRef<EntryActor>, request: RequestId) -> Self {
        Self {
            actor,
            request,
            is_open: true,
        }
    }

    /// ID of the request.
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// Reports nothing on drop, since the core has already ended the request itself.
    pub const fn mark_settled(&mut self) {
        self.is_open = false;
    }

    fn end(&mut self, ending: Ending, answer: Option<Vec<u8>>) {
        if self.is_open {
            self.is_open = false;
            let ended = AttemptEnded {
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

/// A body that is streamed from an upstream to a caller.
///
/// The connection returns to the pool only after the whole body; otherwise it is closed. When the
/// upstream breaks off or the deadline passes, the body yields an error, so that the caller doesn't
/// take it for complete.
#[derive(Debug)]
pub struct RelayedBody {
    incoming: AnswerBody,
    status: u16,
    guard: RequestGuard,
    pool: ActorRef<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
    kept: Option<KeptAnswer>,
}

/// What [`RelayedBody`] needs besides the upstream's body.
#[derive(Debug)]
pub struct RelayContext {
    /// HTTP status of the answer.
    pub status: u16,
    /// Reports the end of the request.
    pub guard: RequestGuard,
    /// Receives the connection after the whole body.
    pub pool: ActorRef<Pool>,
    /// Address of the upstream, the key of the pool.
    pub address: SocketAddr,
    /// The connection that carries the body.
    pub connection: Connection,
    /// When the whole body must have arrived.
    pub deadline: Instant,
    /// Collects the answer of a request with an idempotency key, to be stored for resends.
    pub kept: Option<KeptAnswer>,
}

impl RelayedBody {
    /// Starts to relay `incoming`.
    pub fn new(incoming: AnswerBody, relay: RelayContext) -> Self {
        let RelayContext {
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
            let expires = Instant::now() + IDLE_TIMEOUT;
            let put = Put {
                address: self.address,
                connection,
                fresh_until: expires,
                expires,
            };
            let _ = self.pool.tell(put).try_send();
        }
    }

    fn abort(&mut self, error: io::Error) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
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
            Poll::Ready(Some(Err(error))) => return self.abort(io::Error::other(error)),
            Poll::Ready(None) => {
                self.finish();
                return Poll::Ready(None);
            }
            Poll::Pending => {}
        }
        match self.deadline.as_mut().poll(cx) {
            Poll::Ready(()) => self.abort(io::ErrorKind::TimedOut.into()),
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
        // The server may drop a body that has reached its end without polling for the end.
        if self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
