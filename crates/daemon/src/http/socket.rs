//! The socket of a client's connection, which its task owns until the client has taken the last byte
//! of its answers or is gone.
//!
//! The HTTP library reads a socket only as far as it needs the next request. It sees the end of a
//! connection only behind all that the client has sent, and it closes one without regard to bytes that
//! it has not read. A system resets a connection that is closed with bytes unread, and drops what the
//! client has not taken. So both are done here, below the library.

use crate::http::{
    Cut, ServerLimits,
    stream::{Activity, ClientStream},
};
use std::{future::poll_fn, io, sync::Arc, task::Poll};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    time::timeout_at,
};

/// How much is read and dropped at once, in bytes.
const DISCARD_BYTES: usize = 8 * 1_024;

/// A client's socket.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    activity: Arc<Activity>,
    limits: ServerLimits,
}

impl ClientSocket {
    /// A socket that was accepted just now.
    pub fn new(stream: TcpStream, activity: Arc<Activity>, limits: ServerLimits) -> Self {
        // Only delays the last bytes of an answer when it fails.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
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
    pub async fn client_left(&self) {
        // Sockets aren't registered for priority data, so this waits for the end of the stream alone,
        // whatever is unread before it. An error ends the connection as well.
        let _ = self.stream.ready(Interest::PRIORITY).await;
        // A request begins only while this task is polled.
        poll_fn(|_| match self.activity.is_serving() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }

    /// Closes the socket once the client has closed its side, which it does when it has taken the last
    /// answer. Until then, what it has sent is read and dropped. A client that has not closed
    /// `stall_timeout` after the last write is given up.
    pub async fn close(mut self) {
        let Some(written_at) = self.activity.written_at() else {
            return;
        };
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let deadline = written_at + self.limits.stall_timeout;
        if timeout_at(deadline, self.discard()).await.is_err() && self.has_unread() {
            self.limits.count(Cut::Unread);
        }
    }

    /// Drops what the client sends, until it closes its side.
    async fn discard(&self) {
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut [0; DISCARD_BYTES]) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Whether bytes of the client have come that nobody has read.
    fn has_unread(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream).is_ok_and(|unread_bytes| unread_bytes > 0)
    }
}
