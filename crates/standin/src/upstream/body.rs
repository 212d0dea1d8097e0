//! The body of an upstream's answer. It reports whether the HTTP server took all of it.

use crate::{
    record::RunState,
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

/// The largest part of an answer that is handed to the HTTP server at once.
const FRAME_BYTES: usize = 4 * 1024;

/// Reports the end of a run to the owner when it is dropped: as aborted, unless the state was set
/// to finished before.
#[derive(Debug)]
pub(super) struct RunGuard {
    run: RunIndex,
    state: RunState,
    inbox: mpsc::UnboundedSender<Message>,
}

impl RunGuard {
    pub(super) const fn new(run: RunIndex, inbox: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            run,
            state: RunState::Aborted,
            inbox,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let _ = self.inbox.send(Message::End {
            run: self.run,
            state: self.state,
        });
    }
}

/// The remaining bytes of an answer, with the guard of its run. A refusal has no guard.
#[derive(Debug)]
pub(super) struct AnswerBody {
    remaining: Bytes,
    guard: Option<RunGuard>,
}

impl AnswerBody {
    pub(super) const fn empty() -> Self {
        Self {
            remaining: Bytes::new(),
            guard: None,
        }
    }

    pub(super) const fn new(bytes: Bytes, guard: RunGuard) -> Self {
        Self {
            remaining: bytes,
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
        let size = self.remaining.len().min(FRAME_BYTES);
        let chunk = self.remaining.split_to(size);
        if self.remaining.is_empty()
            && let Some(mut guard) = self.guard.take()
        {
            guard.state = RunState::Finished;
        }
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
