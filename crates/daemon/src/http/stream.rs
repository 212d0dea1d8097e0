//! The HTTP library's view of a client's socket, which fails when a head takes too long to come or an
//! answer too long to be taken.

use crate::http::{Cut, End, ServerLimits, ending::CutError};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use plan::ConnectionPhase;
use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};
use types::TimeUs;

/// How long a client takes nothing of an answer before its connection may be closed to make room.
const STALL_MIN: Duration = Duration::from_secs(1);

/// A time that never comes, in milliseconds.
const NEVER_MS: u64 = u64::MAX;

/// What a connection does, shared by its task and the acceptor, which closes idle ones.
#[derive(Debug)]
pub struct Activity {
    started: Instant,
    /// Whether a request is being served.
    is_serving: AtomicBool,
    /// When the client last took bytes of an answer of which more wait, in milliseconds since the
    /// connection's start; [`NEVER_MS`] when none wait.
    stalled_since_ms: AtomicU64,
    /// Whether the first byte of the next head has come.
    has_head: AtomicBool,
    /// When the connection began to wait for the next request, in milliseconds since its start.
    waits_since_ms: AtomicU64,
    /// When bytes were last written to the socket, in milliseconds since the connection's start;
    /// [`NEVER_MS`] before the first.
    written_at_ms: AtomicU64,
    /// Whether the next answer is the last one.
    is_retiring: AtomicBool,
    /// Whether the body of the request that is served has not been read to its end.
    has_open_body: AtomicBool,
    /// Whether the client's side has ended, as far as it was read.
    is_read_closed: AtomicBool,
    /// Why the connection ended, once it has.
    end: OnceLock<End>,
}

impl Activity {
    /// A connection that was opened just now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            is_serving: AtomicBool::new(false),
            stalled_since_ms: AtomicU64::new(NEVER_MS),
            has_head: AtomicBool::new(false),
            waits_since_ms: AtomicU64::new(0),
            written_at_ms: AtomicU64::new(NEVER_MS),
            is_retiring: AtomicBool::new(false),
            has_open_body: AtomicBool::new(false),
            is_read_closed: AtomicBool::new(false),
            end: OnceLock::new(),
        }
    }

    /// Since when the connection has waited for a request, or for its client to take an answer;
    /// `None` while it serves a request, or has waited for its client for a short time only.
    pub fn waits_since(&self) -> Option<Instant> {
        let stalled_since_ms = self.stalled_since_ms.load(Ordering::Relaxed);
        if stalled_since_ms != NEVER_MS {
            let since = self.started + Duration::from_millis(stalled_since_ms);
            return (since.elapsed() >= STALL_MIN).then_some(since);
        }
        let since = Duration::from_millis(self.waits_since_ms.load(Ordering::Relaxed));
        (!self.is_serving()).then(|| self.started + since)
    }

    /// A whole head has come.
    pub fn begin_request(&self) {
        self.has_head.store(false, Ordering::Relaxed);
        self.is_serving.store(true, Ordering::Relaxed);
    }

    /// Whether a request is being served.
    pub fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::Relaxed)
    }

    /// Whether a part of the next head has come.
    pub fn has_head(&self) -> bool {
        self.has_head.load(Ordering::Relaxed)
    }

    /// Whether the end of the client's side was read.
    pub fn is_read_closed(&self) -> bool {
        self.is_read_closed.load(Ordering::Relaxed)
    }

    /// Whether bytes of an answer wait for the client to take others.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since_ms.load(Ordering::Relaxed) != NEVER_MS
    }

    /// Why the connection ended; `None` before its end.
    pub fn end(&self) -> Option<End> {
        self.end.get().copied()
    }

    /// Sets why the connection ends, before its requests are dropped.
    pub fn set_end(&self, end: End) {
        // Nothing else sets it: a connection ends once.
        let _ = self.end.set(end);
    }

    /// When bytes were last written to the socket; `None` before the first.
    pub fn written_at(&self) -> Option<Instant> {
        let written_at_ms = self.written_at_ms.load(Ordering::Relaxed);
        let is_written = written_at_ms != NEVER_MS;
        is_written.then(|| self.started + Duration::from_millis(written_at_ms))
    }

    /// What the connection is doing. Times are counted from its start.
    pub fn phase(&self) -> ConnectionPhase {
        if self.is_serving() || self.is_stalled() {
            return ConnectionPhase::Serving;
        }
        if self.has_head() {
            return ConnectionPhase::Receiving;
        }
        let waits_since_ms = self.waits_since_ms.load(Ordering::Relaxed);
        let since_ms = match self.written_at_ms.load(Ordering::Relaxed) {
            NEVER_MS => waits_since_ms,
            written_at_ms => waits_since_ms.max(written_at_ms),
        };
        let since_us = TimeUs::default().after_ms(since_ms);
        ConnectionPhase::Idle { since_us }
    }

    /// The instant of a time that is counted from the connection's start.
    pub fn instant(&self, time_us: TimeUs) -> Instant {
        self.started + Duration::from_micros(time_us.0)
    }

    /// Whether an answer that begins now is the last one: the connection is to end, or the library can't
    /// keep it since the body of the request was not read.
    pub fn ends_with_answer(&self) -> bool {
        self.is_retiring.load(Ordering::Relaxed) || self.has_open_body.load(Ordering::Relaxed)
    }

    /// Makes the next answer the last one.
    pub fn retire(&self) {
        self.is_retiring.store(true, Ordering::Relaxed);
    }

    fn record_write(&self) {
        let elapsed_ms = self.elapsed_ms();
        self.written_at_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(NEVER_MS)
    }

    fn end_request(&self) {
        let elapsed_ms = self.elapsed_ms();
        self.waits_since_ms.store(elapsed_ms, Ordering::Relaxed);
        self.is_serving.store(false, Ordering::Relaxed);
    }
}

/// The body of a client's request.
#[derive(Debug)]
pub struct ClientBody {
    body: Incoming,
    activity: Arc<Activity>,
    has_failed: bool,
}

impl ClientBody {
    /// The body of the request that is served on the connection of `activity`.
    pub fn new(body: Incoming, activity: Arc<Activity>) -> Self {
        let is_open = !body.is_end_stream();
        activity.has_open_body.store(is_open, Ordering::Relaxed);
        Self {
            body,
            activity,
            has_failed: false,
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        // A body that has failed ends too, but not with its last byte.
        self.has_failed |= matches!(frame, Poll::Ready(Some(Err(_))));
        let has_ended = matches!(frame, Poll::Ready(None)) || self.body.is_end_stream();
        if has_ended && !self.has_failed {
            self.activity.has_open_body.store(false, Ordering::Relaxed);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer; once it is dropped, its request has been served.
#[derive(Debug)]
pub struct ServedBody {
    body: crate::http::Body,
    activity: Arc<Activity>,
}

impl ServedBody {
    /// The body of an answer on the connection of `activity`.
    pub fn new(body: crate::http::Body, activity: Arc<Activity>) -> Self {
        Self { body, activity }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What the HTTP library reads and writes of a client's socket, which the task of the connection owns.
#[derive(Debug)]
pub struct ClientStream<'a> {
    stream: &'a TcpStream,
    activity: Arc<Activity>,
    limits: ServerLimits,
    head_timeout: Duration,
    /// When the head that is coming must have ended.
    head_deadline: Option<Pin<Box<Sleep>>>,
    /// When the client must have taken something of the answer.
    stall_deadline: Option<Pin<Box<Sleep>>>,
}

impl<'a> ClientStream<'a> {
    /// The stream of a connection that was accepted just now.
    pub fn new(stream: &'a TcpStream, activity: Arc<Activity>, limits: ServerLimits) -> Self {
        let head_timeout = limits.heads.borrow().head_timeout;
        Self {
            stream,
            activity,
            limits,
            head_timeout,
            head_deadline: None,
            stall_deadline: None,
        }
    }

    fn cut(&self, cut: Cut, end: End) -> io::Error {
        self.limits.count(cut);
        io::Error::new(io::ErrorKind::TimedOut, CutError(end))
    }

    /// Fails once the head that is coming has taken too long. To be called when nothing of it can be read.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if !self.activity.has_head.load(Ordering::Relaxed) {
            self.head_deadline = None;
        }
        let deadline = self.head_deadline.as_mut();
        let is_over = deadline.is_some_and(|it| it.as_mut().poll(cx).is_ready());
        // After a pause of the process the deadline is noticed before what has come in time.
        match is_over && unread_bytes(self.stream) == 0 {
            true => Err(self.cut(Cut::HeadTime, End::HeadTime)),
            false => Ok(()),
        }
    }

    /// Records what a write did: whether the client took bytes, or none within the time for it.
    fn check_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let stalled_since_ms = &self.activity.stalled_since_ms;
        if written.is_ready() {
            stalled_since_ms.store(NEVER_MS, Ordering::Relaxed);
            self.activity.record_write();
            self.stall_deadline = None;
            return written;
        }
        if self.stall_deadline.is_none() {
            stalled_since_ms.store(self.activity.elapsed_ms(), Ordering::Relaxed);
        }
        // A head that a client sends ahead is not read on while its answer can't be written.
        self.activity.has_head.store(false, Ordering::Relaxed);
        let end = || Box::pin(sleep_until(Instant::now() + self.limits.stall_timeout));
        let deadline = self.stall_deadline.get_or_insert_with(end);
        match deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(self.cut(Cut::Stalled, End::Stalled))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for ClientStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let Poll::Ready(read) = poll_read(self.stream, cx, buffer) else {
            self.check_head(cx)?;
            return Poll::Pending;
        };
        if read.is_err() || buffer.filled().len() == before {
            self.activity.is_read_closed.store(true, Ordering::Relaxed);
        }
        read?;
        let is_first = !self.activity.is_serving.load(Ordering::Relaxed)
            && !self.activity.has_head.load(Ordering::Relaxed);
        if is_first && buffer.filled().len() > before {
            self.activity.has_head.store(true, Ordering::Relaxed);
            let declared = self.limits.heads.borrow().head_timeout;
            self.head_timeout = self.head_timeout.max(declared);
            let end = Instant::now() + self.head_timeout;
            self.head_deadline = Some(Box::pin(sleep_until(end)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream;
        let written = poll_written(stream, cx, || stream.try_write(bytes));
        self.check_write(cx, written)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Leaves the socket open: its owner closes it.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream;
        let written = poll_written(stream, cx, || stream.try_write_vectored(slices));
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// How many bytes of the client have come that nobody has read.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}

/// Reads what has come on a socket that is borrowed.
fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        std::task::ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(read_bytes) => {
                buffer.advance(read_bytes);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes to a socket that is borrowed with `write`, once it has room.
fn poll_written(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    mut write: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        std::task::ready!(stream.poll_write_ready(cx))?;
        match write() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
