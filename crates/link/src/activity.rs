//! A socket that records when bytes last moved in each direction, so that a large frame on a slow link
//! is told from a peer that is gone.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// When bytes last moved on a socket, in either direction.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    origin: Instant,
    /// Microseconds from `origin`.
    read_us: Arc<AtomicU64>,
    /// Microseconds from `origin`.
    written_us: Arc<AtomicU64>,
}

impl Activity {
    fn new() -> Self {
        Self {
            origin: Instant::now(),
            read_us: Arc::default(),
            written_us: Arc::default(),
        }
    }

    /// When bytes were last received, or the connection was opened.
    pub(crate) fn last_read(&self) -> Instant {
        self.time(&self.read_us)
    }

    /// When the operating system last took bytes to send, or the connection was opened.
    pub(crate) fn last_written(&self) -> Instant {
        self.time(&self.written_us)
    }

    fn time(&self, moved_us: &AtomicU64) -> Instant {
        self.origin + Duration::from_micros(moved_us.load(Ordering::Relaxed))
    }

    fn record(&self, moved_us: &AtomicU64) {
        let elapsed_us = self.origin.elapsed().as_micros();
        moved_us.store(
            u64::try_from(elapsed_us).unwrap_or(u64::MAX),
            Ordering::Relaxed,
        );
    }
}

/// A socket that records its activity.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: Activity,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            activity: Activity::new(),
        }
    }

    pub(crate) fn activity(&self) -> Activity {
        self.activity.clone()
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.record(&self.activity.read_us);
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if matches!(polled, Poll::Ready(Ok(written)) if written > 0) {
            self.activity.record(&self.activity.written_us);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
