//! HTTP/1 connections to upstreams, which end within bounds whatever the upstream sends.
//!
//! An upstream in trouble may send bytes without end that bring no answer nearer: interim answers,
//! or a chunk size of ever more digits. The parser would read them for as long as they come, so the
//! bytes read without progress are bounded below it. Dropping a connection closes its socket at
//! once, also while bytes arrive. If a request is given up that way, the socket is reset: the system
//! would otherwise go on to send what is left of the request, seconds later when a link was cut.

use bytes::Bytes;
use http_body_util::{Either, Full, channel::Channel};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

/// Size of the parser's buffer, in bytes: the largest head of an answer.
const BUFFER_BYTES: usize = 64 * 1024;

/// How much is read at once, in bytes. The parser keeps up to three reads ahead of a client that does not
/// take its answer: reads of a whole buffer took 200 kB for each such client.
const READ_MAX_BYTES: usize = 16 * 1024;

/// How many bytes may arrive in a row without a head or a part of a body among them. The parser
/// reads up to three buffers ahead of the part of a body that its user is handling.
const IDLE_BYTES_MAX: u64 = 8 * BUFFER_BYTES as u64;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// TCP failed: the upstream refused or could not be reached.
    #[error("connecting failed: {0}")]
    Connect(#[from] io::Error),
    /// TCP did not connect before the deadline.
    #[error("the connection did not open before the deadline")]
    Timeout,
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte of it was sent.
    #[error("the request was not sent")]
    NotSent,
    /// The connection broke, or what came is no answer; the request may have run.
    #[error("no answer came, and the request may have run")]
    Broken,
}

/// Whether an answer with this status ends a request. The parser also accepts 600 to 999, and 101,
/// for which no request asks.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The upstream sent more than `IDLE_BYTES_MAX` bytes without a head or a part of a body.
#[derive(Clone, Copy, Debug, Error)]
#[error("too many bytes without an answer among them")]
struct NoProgress;

/// How far the exchange on a connection is, shared by its user and the task that owns the socket.
#[derive(Clone, Debug, Default)]
struct Progress(Arc<Exchange>);

#[derive(Debug, Default)]
struct Exchange {
    /// The bytes that were read since the answer last made progress.
    idle_bytes: AtomicU64,
    /// Whether a request was sent whose answer has not ended.
    is_open: AtomicBool,
}

impl Progress {
    fn record(&self) {
        self.0.idle_bytes.store(0, Ordering::Relaxed);
    }

    fn begin(&self) {
        self.record();
        self.0.is_open.store(true, Ordering::Relaxed);
    }

    fn end(&self) {
        self.0.is_open.store(false, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.0.is_open.load(Ordering::Relaxed)
    }

    /// Counts bytes that were read.
    fn count(&self, bytes: usize) -> Result<(), NoProgress> {
        let bytes = bytes as u64;
        let total = self.0.idle_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        (total <= IDLE_BYTES_MAX).then_some(()).ok_or(NoProgress)
    }
}

/// The body of a request to an upstream: whole in memory, or in chunks that another task sends.
pub type RequestBody = Either<Full<Bytes>, Channel<Bytes>>;

/// An HTTP/1 connection to an upstream. Dropping it closes the socket, with any answer on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    progress: Progress,
    /// The task that owns the socket.
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer. The connection must be kept until the
    /// body has been read.
    ///
    /// # Errors
    ///
    /// [`SendError`]; the connection can't be used again.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<AnswerBody>, SendError> {
        self.progress.begin();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Broken,
        })?;
        if !is_final(response.status()) {
            return Err(SendError::Broken);
        }
        self.progress.record();
        let progress = self.progress.clone();
        if response.body().is_end_stream() {
            progress.end();
        }
        Ok(response.map(|body| AnswerBody { body, progress }))
    }
}

/// The body of an upstream's answer.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    progress: Progress,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(Some(Ok(_))) => self.progress.record(),
            Poll::Ready(None) => self.progress.end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        if self.body.is_end_stream() {
            self.progress.end();
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

/// A socket whose reads fail once too many bytes have come without progress, and which is reset when
/// it is dropped during an exchange.
struct CountedStream {
    stream: TcpStream,
    progress: Progress,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        if self.progress.is_open() {
            // Fails only on a socket that is closed already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(READ_MAX_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        let counted = self.progress.count(read_bytes);
        Poll::Ready(counted.map_err(io::Error::other))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Opens a connection and spawns the task that owns its socket. `deadline` bounds the TCP connect.
///
/// # Errors
///
/// [`ConnectError`]; no byte of a request was sent.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, ConnectError> {
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let progress = Progress::default();
    let counted = CountedStream {
        stream,
        progress: progress.clone(),
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (sender, driver) = builder.handshake(TokioIo::new(counted)).await?;
    let driver = tokio::spawn(driver).abort_handle();
    Ok(Connection {
        sender,
        progress,
        driver,
    })
}
