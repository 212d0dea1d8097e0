//! The body of an upstream's answer, which knows whether it was handed on whole.

use crate::{
    record::RunEnding,
    upstream::owner::{Message, RunIndex},
};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// The largest part of an answer that is handed on at once.
const FRAME_BYTES: usize = 4 * 1024;

/// Tells the owner how a run ended; a run that is dropped early was cut.
#[derive(Debug)]
pub(super) struct RunGuard {
    run: RunIndex,
    ending: RunEnding,
    inbox: mpsc::UnboundedSender<Message>,
}

impl RunGuard {
    pub(super) const fn new(run: RunIndex, inbox: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            run,
            ending: RunEnding::Cut,
            inbox,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let _ = self.inbox.send(Message::End {
            run: self.run,
            ending: self.ending,
        });
    }
}

/// An answer's bytes, with the guard of its run if there was one.
#[derive(Debug)]
pub(super) struct AnswerBody {
    rest: Bytes,
    guard: Option<RunGuard>,
}

impl AnswerBody {
    pub(super) const fn empty() -> Self {
        Self {
            rest: Bytes::new(),
            guard: None,
        }
    }

    pub(super) const fn new(bytes: Bytes, guard: RunGuard) -> Self {
        Self {
            rest: bytes,
            guard: Some(guard),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let size = self.rest.len().min(FRAME_BYTES);
        let part = self.rest.split_to(size);
        if self.rest.is_empty()
            && let Some(mut guard) = self.guard.take()
        {
            guard.ending = RunEnding::Finished;
        }
        if part.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
