//! An answer's body that is too large to be kept whole.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// A body of which the beginning was read already.
///
/// A body that breaks off gives an error, so that it never ends as if whole.
#[derive(Debug)]
pub struct RestOfBody {
    beginning: Option<Bytes>,
    rest: Incoming,
}

impl RestOfBody {
    /// The body that starts with `beginning` and goes on with `rest`.
    pub const fn new(beginning: Bytes, rest: Incoming) -> Self {
        Self {
            beginning: Some(beginning),
            rest,
        }
    }
}

impl Body for RestOfBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let beginning_bytes = self.beginning.as_ref().map_or(0, |it| it.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + beginning_bytes);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + beginning_bytes);
        }
        hint
    }
}
