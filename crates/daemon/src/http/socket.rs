//! The socket of a client's connection, which its task owns until the client has taken the last byte
//! of its answers or is gone.
//!
//! The HTTP library reads a socket only as far as it needs the next request. It sees the end of a
//! connection only behind all that the client has sent, and it closes one without regard to bytes that
//! it has not read. A system resets a connection that is closed with bytes unread, and drops what the
//! client has not taken. So both are done here, below the library.

use crate::http::{
    Cut, ServerLimits,
    ending::{DroppedBytes, End},
    stream::{Activity, ClientStream, unread_bytes},
};
use plan::KeepAlive;
use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    task::{Poll, ready},
};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    time::{Instant, sleep_until, timeout_at},
};

/// How much is read and dropped at once, in bytes.
const DISCARD_BYTES: usize = 8 * 1_024;

/// A client's socket.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    client: SocketAddr,
    activity: Arc<Activity>,
    limits: ServerLimits,
}

impl ClientSocket {
    /// A socket that was accepted just now.
    pub fn new(
        stream: TcpStream,
        client: SocketAddr,
        activity: Arc<Activity>,
        limits: ServerLimits,
    ) -> Self {
        // Only delays the last bytes of an answer when it fails.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            client,
            activity,
            limits,
        }
    }

    /// The stream for the HTTP library.
    pub fn stream(&self) -> ClientStream<'_> {
        ClientStream::new(
            &self.stream,
            Arc::clone(&self.activity),
            self.limits.clone(),
        )
    }

    /// Waits until a request is served whose client has closed its side of the connection. Bytes that
    /// were sent before the close may still be unread. To be polled by the task that serves the
    /// requests, after them.
    pub async fn client_left(&self) -> End {
        self.end_of_stream().await;
        // A request begins only while this task is polled.
        poll_fn(|_| match self.activity.is_serving() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
        match self.stream.take_error() {
            Ok(None) => End::ClientLeft,
            Ok(Some(_)) | Err(_) => End::ClientReset,
        }
    }

    /// Waits until the connection may be closed as idle by `keep_alive`: a connection whose next request
    /// has arrived unread may not. To be polled by the task that serves the requests, after them.
    pub async fn idle_over(&self, keep_alive: KeepAlive) {
        let mut timer = pin!(sleep_until(Instant::now()));
        poll_fn(|cx| {
            let Some(closes_us) = keep_alive.closes_at(self.activity.phase()) else {
                return Poll::Pending;
            };
            let closes_at = self.activity.instant(closes_us);
            if timer.deadline() != closes_at {
                timer.as_mut().reset(closes_at);
            }
            ready!(timer.as_mut().poll(cx));
            match unread_bytes(&self.stream) {
                0 => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }

    /// Closes the socket once the client has closed its side, which it does when it has taken the last
    /// answer. A client that has not closed `stall_timeout` after the last write is given up.
    ///
    /// What comes behind an answer that closes the connection is read and dropped. Otherwise it stays
    /// unread: a request whose client can't know that it is too late must not be taken.
    pub async fn close(mut self, end: End) {
        let mut dropped = DroppedBytes::new();
        if let Some(written_at) = self.activity.written_at()
            && self.stream.shutdown().await.is_ok()
        {
            let deadline = written_at + self.limits.stall_timeout;
            // Either way, what is left unread is recorded below.
            let _ = timeout_at(deadline, async {
                match end.is_announced() {
                    true => self.discard(&mut dropped).await,
                    false => self.end_of_stream().await,
                }
            })
            .await;
        }
        dropped.unread_bytes = unread_bytes(&self.stream);
        if dropped.unread_bytes > 0 {
            self.limits.count(Cut::Unread);
        }
        self.limits.record_dropped(self.client, end, &dropped);
    }

    /// Waits until the client has closed its side of the connection, whatever is unread before that.
    async fn end_of_stream(&self) {
        // Sockets aren't registered for priority data, so this waits for the end of the stream alone.
        // An error ends the connection as well.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Drops what the client sends, until it closes its side.
    async fn discard(&self, dropped: &mut DroppedBytes) {
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut [0; DISCARD_BYTES]) {
                Ok(0) => return,
                Ok(read_bytes) => dropped.record_read(read_bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
