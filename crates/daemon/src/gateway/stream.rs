//! The body of an answer that is too large to be buffered and is streamed to the client.

use crate::{
    clock::Clock,
    gateway::{guard::RequestGuard, metrics::GatewayMetrics},
    http::{AnswerBody, Client, Connection},
};
use bytes::Bytes;
use gate::{Ending, Load, Target};
use hyper::body::{Body, Frame, SizeHint};
use slog::{Logger, info};
use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::time::{Instant, Sleep, sleep_until};
use types::TimeUs;

/// What is reported once the answer has ended.
#[derive(Debug)]
pub struct Delivery {
    /// The request, in flight until the answer has ended.
    pub guard: RequestGuard,
    /// Load that the upstream reported, if any.
    pub load: Option<Load>,
    /// Where the answer comes from.
    pub target: Target,
    /// The client's ID of the request, for the log.
    pub attempt_id: String,
    /// The client that takes the answer.
    pub client: Client,
    /// When the request arrived.
    pub arrived_us: TimeUs,
    /// The clock of the core.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger of the process.
    pub log: Logger,
}

impl Delivery {
    fn end(mut self, ending: Ending) {
        let elapsed_us = self.clock.now_us().since_us(self.arrived_us);
        if ending == Ending::Answered {
            self.metrics.observe_answer(&self.target, elapsed_us);
        } else {
            info!(self.log, "answer broken off";
                "request" => &self.attempt_id,
                "tenant" => self.target.caller.tenant(),
                "client" => %self.client.address(),
                "ending" => ending.as_str(),
                "cause" => self.client.end().map(<&'static str>::from),
                "upstream" => self.target.upstream.as_str(),
                "attempt" => self.target.attempt,
                "elapsed_ms" => elapsed_us / 1_000);
        }
        self.guard.end_delivery(ending, self.load);
    }
}

/// A body whose first bytes were already read: it yields `prefix` and then the rest as it comes. The
/// rest is read only as fast as the client takes it.
///
/// When the upstream's body breaks off or the deadline passes, it yields an error, so that the
/// client doesn't take a truncated body for a complete one.
#[derive(Debug)]
pub struct StreamedBody {
    prefix: Option<Bytes>,
    rest: AnswerBody,
    /// The connection that carries the rest.
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
    /// Reported at the end of the body; none when the request has ended before.
    delivery: Option<Delivery>,
}

impl StreamedBody {
    /// A body of `prefix` followed by `rest`, which must end before the deadline.
    pub fn new(prefix: Bytes, rest: AnswerBody, deadline: Instant) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
            connection: None,
            deadline: Box::pin(sleep_until(deadline)),
            delivery: None,
        }
    }

    /// Keeps the connection that carries the rest of the body, until its end.
    pub fn with_connection(mut self, connection: Connection) -> Self {
        self.connection = Some(connection);
        self
    }

    /// Keeps a request in flight until the end of the body.
    pub fn with_delivery(mut self, delivery: Delivery) -> Self {
        self.delivery = Some(delivery);
        self
    }

    /// Closes the connection and reports how the answer ended.
    fn end(&mut self, ending: Ending) {
        self.connection = None;
        if let Some(delivery) = self.delivery.take() {
            delivery.end(ending);
        }
    }
}

impl Drop for StreamedBody {
    /// A body of known length is dropped after its last byte, without a poll that yields its end.
    fn drop(&mut self) {
        let is_whole = self.is_end_stream();
        self.end(match is_whole {
            true => Ending::Answered,
            false => Ending::Left,
        });
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        // Asked first, so that a body that always has a next byte ends too.
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.end(Ending::TimedOut);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        let frame = std::task::ready!(Pin::new(&mut self.rest).poll_frame(cx));
        Poll::Ready(match frame {
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(error)) => {
                self.end(Ending::Broken);
                Some(Err(io::Error::other(error)))
            }
            None => {
                self.end(Ending::Answered);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.as_ref().map_or(0, |it| it.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix_bytes);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix_bytes);
        }
        hint
    }
}
