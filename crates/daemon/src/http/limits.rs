//! Limits on the connections of a listener, and why connections are cut for them.

use crate::http::ending::{ConnectionRecorder, DroppedBytes, End};
use hyper::server::conn::http1;
use settings::LimitSettings;
use std::{net::SocketAddr, time::Duration};
use strum::IntoStaticStr;
use tokio::sync::watch;

/// What a buffer holds beyond the largest declared head, in bytes: empty lines before a request and
/// white space that the size of a head doesn't count. A head that is a little too large is read whole
/// and rejected with 431.
const HEAD_EXTRA_BYTES: usize = 8 * 1_024;

/// How much longer than declared a head may take, as a fraction of the declared time: the client and
/// the listener see its first byte at different times.
const HEAD_TIME_EXTRA: f64 = 0.5;

/// The fraction of the memory for connections that is for their buffers. The rest is for heads of very
/// many fields.
const BUFFER_FRACTION: f64 = 0.75;

/// Why a connection was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cut {
    /// The listener was full, and this connection had waited longest for a request.
    Full,
    /// The client's address had its share of the connections.
    Address,
    /// The head was larger than the buffer or had too many fields.
    HeadSize,
    /// The head took too long.
    HeadTime,
    /// Heads of very many fields took all the memory for them.
    HeadRoom,
    /// The client took nothing of an answer for too long.
    Stalled,
    /// The client left while a request of it was served.
    Left,
    /// Bytes of the client were unread when its socket was closed, so that the system reset the
    /// connection and dropped what the client had not taken.
    Unread,
}

/// What the plan declares about the heads of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// The largest head, in bytes.
    pub head_max_bytes: usize,
    /// Time for a head to arrive, from its first byte.
    pub head_timeout: Duration,
    /// Time for the first byte of a head to arrive from the opening of the connection or the previous
    /// answer, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl HeadLimits {
    /// The limits of a process that has no plan.
    pub fn new(settings: &LimitSettings) -> Self {
        let head_timeout = Duration::from_millis(settings.head_timeout_ms);
        Self {
            head_max_bytes: 0,
            head_timeout,
            idle_timeout_ms: settings.head_timeout_ms,
        }
    }

    /// The limits that a plan declares.
    pub fn of_plan(limits: &plan::Limits) -> Self {
        let head_timeout = Duration::from_millis(limits.header_timeout_ms);
        Self {
            head_max_bytes: usize::try_from(limits.header_max_bytes).unwrap_or(usize::MAX),
            head_timeout: head_timeout.mul_f64(1.0 + HEAD_TIME_EXTRA),
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }
}

/// Limits on the connections of one listener.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The listener's name in the counters.
    pub listener: &'static str,
    /// Largest number of open connections, whatever memory they take.
    pub connections_max: usize,
    /// Memory for the connections, in bytes.
    pub memory_bytes: usize,
    /// The part of the connections that one address may hold, in hundredths.
    pub address_percent: usize,
    /// The least buffer of a connection, in bytes.
    pub buffer_min_bytes: usize,
    /// The most fields of a head.
    pub fields_max: usize,
    /// How long a client may take nothing of an answer.
    pub stall_timeout: Duration,
    /// The limits of heads and of idleness. Open connections take over longer times;
    /// those whose buffer is too small for a larger head end after their next answer.
    pub heads: watch::Receiver<HeadLimits>,
    /// Counts and logs how the connections of the process end.
    pub recorder: ConnectionRecorder,
}

impl ServerLimits {
    /// The limits of a listener to which all of the memory for connections belongs, and whose limits of
    /// heads don't change.
    pub fn new(
        settings: &LimitSettings,
        listener: &'static str,
        recorder: &ConnectionRecorder,
    ) -> Self {
        let (_, heads) = watch::channel(HeadLimits::new(settings));
        Self {
            listener,
            connections_max: usize::MAX,
            memory_bytes: settings.connections_memory_bytes,
            address_percent: usize::from(settings.address_percent),
            buffer_min_bytes: settings.head_buffer_bytes,
            fields_max: settings.head_fields_max,
            stall_timeout: Duration::from_millis(settings.stall_timeout_ms),
            heads,
            recorder: recorder.clone(),
        }
    }

    /// A fraction of the memory for connections in place of all of it.
    pub fn with_memory_fraction(mut self, fraction: f64) -> Self {
        self.memory_bytes = (self.memory_bytes as f64 * fraction) as usize;
        self
    }

    /// At most so many connections, also when there is memory for more.
    pub fn with_connections_max(mut self, connections_max: usize) -> Self {
        self.connections_max = connections_max;
        self
    }

    /// Limits of heads that may change.
    pub fn with_heads(mut self, heads: watch::Receiver<HeadLimits>) -> Self {
        self.heads = heads;
        self
    }

    /// The buffer of a connection that is accepted now, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        let declared_bytes = self.heads.borrow().head_max_bytes;
        let needed_bytes = declared_bytes.saturating_add(HEAD_EXTRA_BYTES);
        self.buffer_min_bytes.max(needed_bytes)
    }

    /// How many connections may be open now, at least one.
    pub fn connections(&self) -> usize {
        let buffers_bytes = (self.memory_bytes as f64 * BUFFER_FRACTION) as usize;
        let by_memory = buffers_bytes / self.buffer_bytes();
        by_memory.min(self.connections_max).max(1)
    }

    /// How many of them one address may hold, at least one.
    pub fn address_connections(&self) -> usize {
        (self.connections() * self.address_percent / 100).max(1)
    }

    /// Memory for the heads of very many fields, in bytes.
    pub fn head_room_bytes(&self) -> usize {
        (self.memory_bytes as f64 * (1.0 - BUFFER_FRACTION)) as usize
    }

    /// The builder of a connection that is accepted now.
    pub fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        // The stream and the task of the connection bound the time themselves.
        builder
            .header_read_timeout(None)
            .max_buf_size(self.buffer_bytes())
            .max_headers(self.fields_max);
        builder
    }

    /// Counts a connection that is cut.
    pub fn count(&self, cut: Cut) {
        self.recorder.count_cut(self.listener, cut);
    }

    /// Records the end of a client's connection. `is_unanswered` tells whether a request on it has no
    /// whole answer.
    pub fn record_end(&self, client: SocketAddr, end: End, is_unanswered: bool) {
        self.recorder
            .record_end(self.listener, client, end, is_unanswered);
    }

    /// Records what a client sent behind the end of its connection.
    pub fn record_dropped(&self, client: SocketAddr, end: End, dropped: &DroppedBytes) {
        self.recorder
            .record_dropped(self.listener, client, end, dropped);
    }
}
