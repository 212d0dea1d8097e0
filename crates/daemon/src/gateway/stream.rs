//! The body of an answer that is too large to be buffered and is streamed to the client.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// A body whose first bytes were already read: it yields `prefix` and then the rest.
///
/// When the upstream's body breaks off, it yields an error, so that the client doesn't take a
/// truncated body for a complete one.
#[derive(Debug)]
pub struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
}

impl PrefixedBody {
    /// A body of `prefix` followed by `rest`.
    pub const fn new(prefix: Bytes, rest: Incoming) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
        }
    }
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.map_err(io::Error::other)))
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
