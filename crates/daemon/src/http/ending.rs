//! Why the connections of clients end, and the counters and log lines of it.

use crate::http::{Cut, stream::Activity};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use slog::{Logger, info};
use std::{error::Error, io, net::SocketAddr, sync::Arc};
use strum::IntoStaticStr;
use tokio::time::Instant;

/// Why the connection of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum End {
    /// No request came within the idle time.
    Idle,
    /// The listener stopped while the connection waited for a request.
    Stopped,
    /// A plan allows larger heads than the buffer of the connection holds.
    Outdated,
    /// The last answer was given.
    LastAnswer,
    /// The client closed its side while no request of it was served.
    ClientClosed,
    /// The client closed its side while a request of it was served.
    ClientLeft,
    /// The client reset the connection while a request of it was served.
    ClientReset,
    /// A head was too large.
    HeadSize,
    /// A head took too long.
    HeadTime,
    /// A head was malformed.
    Malformed,
    /// The client took nothing of an answer for too long.
    Stalled,
    /// The body of an answer broke off.
    BrokenAnswer,
    /// The socket failed.
    SocketFailed,
    /// The HTTP library failed otherwise.
    LibraryFailed,
    /// The connection made room for another one.
    Evicted,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Party {
    /// The client, or the network between.
    Client,
    /// The process that serves the connection.
    Gateway,
    /// The upstream of the answer.
    Upstream,
}

impl End {
    /// How the service of a connection ended by the HTTP library's account.
    pub fn of(served: hyper::Result<()>, activity: &Activity) -> Self {
        match served {
            Ok(()) if activity.is_read_closed() => Self::ClientClosed,
            Ok(()) => Self::LastAnswer,
            Err(error) => Self::of_error(&error, activity),
        }
    }

    fn of_error(error: &hyper::Error, activity: &Activity) -> Self {
        let io_error = error.source().and_then(|it| it.downcast_ref::<io::Error>());
        let cut = io_error.and_then(io::Error::get_ref);
        if let Some(CutError(end)) = cut.and_then(|it| it.downcast_ref()) {
            return *end;
        }
        match activity.is_serving() {
            _ if error.is_parse_too_large() => Self::HeadSize,
            _ if error.is_parse() => Self::Malformed,
            true if error.is_incomplete_message() => Self::ClientLeft,
            false if error.is_incomplete_message() => Self::ClientClosed,
            _ if error.is_user() => Self::BrokenAnswer,
            _ if io_error.is_some() => Self::SocketFailed,
            _ => Self::LibraryFailed,
        }
    }

    /// Whether an answer was not given whole.
    pub const fn breaks_answer(self) -> bool {
        matches!(
            self,
            Self::Stalled | Self::BrokenAnswer | Self::SocketFailed | Self::LibraryFailed
        )
    }

    /// Whether an answer has told the client that nothing behind it is served, or the client has closed.
    pub const fn is_announced(self) -> bool {
        match self {
            Self::LastAnswer | Self::ClientClosed | Self::HeadSize | Self::Malformed => true,
            Self::Idle
            | Self::Stopped
            | Self::Outdated
            | Self::ClientLeft
            | Self::ClientReset
            | Self::HeadTime
            | Self::Stalled
            | Self::BrokenAnswer
            | Self::SocketFailed
            | Self::LibraryFailed
            | Self::Evicted => false,
        }
    }

    /// Who ended the connection.
    pub const fn party(self) -> Party {
        match self {
            Self::ClientClosed | Self::ClientLeft | Self::ClientReset | Self::SocketFailed => {
                Party::Client
            }
            Self::BrokenAnswer => Party::Upstream,
            _ => Party::Gateway,
        }
    }
}

/// The error with which a stream fails for the HTTP library when its connection is to end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the connection is cut: {0:?}")]
pub struct CutError(pub End);

/// The client of a request.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    activity: Arc<Activity>,
}

impl Client {
    /// The client at this address, on the connection of `activity`.
    pub const fn new(address: SocketAddr, activity: Arc<Activity>) -> Self {
        Self { address, activity }
    }

    /// The address of the client.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Why its connection ended; `None` before its end.
    pub fn end(&self) -> Option<End> {
        self.activity.end()
    }
}

/// What a client sent behind the end of its connection.
#[derive(Clone, Copy, Debug)]
pub struct DroppedBytes {
    ended_at: Instant,
    /// How long after the end the first of them were read.
    after_ms: Option<u64>,
    /// How many were read and dropped.
    read_bytes: u64,
    /// How many were unread when the socket was closed.
    pub unread_bytes: u64,
}

impl DroppedBytes {
    /// Nothing, of a connection that has ended just now.
    pub fn new() -> Self {
        Self {
            ended_at: Instant::now(),
            after_ms: None,
            read_bytes: 0,
            unread_bytes: 0,
        }
    }

    /// Records bytes that were read and dropped.
    pub fn record_read(&mut self, bytes: usize) {
        let elapsed_ms = self.ended_at.elapsed().as_millis() as u64;
        self.after_ms.get_or_insert(elapsed_ms);
        self.read_bytes += bytes as u64;
    }
}

/// Labels of the counters of connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    listener: &'static str,
    cause: &'static str,
}

/// Counts and logs how the connections to the listeners of a process end.
#[derive(Clone, Debug)]
pub struct ConnectionRecorder {
    cuts: Family<Labels, Counter>,
    ends: Family<Labels, Counter>,
    dropped_bytes: Family<Labels, Counter>,
    log: Logger,
}

impl ConnectionRecorder {
    /// Creates the counters and registers them in `registry`.
    pub fn new(registry: &mut Registry, log: &Logger) -> Self {
        let recorder = Self {
            cuts: Family::default(),
            ends: Family::default(),
            dropped_bytes: Family::default(),
            log: log.clone(),
        };
        let help = "Connections of clients that were cut, by cause";
        registry.register("cut_connections", help, recorder.cuts.clone());
        let help = "Connections of clients that ended, by cause";
        registry.register("ended_connections", help, recorder.ends.clone());
        let help = "Bytes that came behind the end of a connection and were read and dropped, by its cause";
        registry.register("dropped_bytes", help, recorder.dropped_bytes.clone());
        recorder
    }

    /// Counts a connection of a listener that is cut.
    pub fn count_cut(&self, listener: &'static str, cut: Cut) {
        let cause = cut.into();
        let labels = Labels { listener, cause };
        self.cuts.get_or_create(&labels).inc();
    }

    /// Counts the end of a connection, and logs it when a request on it has no whole answer.
    pub fn record_end(
        &self,
        listener: &'static str,
        client: SocketAddr,
        end: End,
        is_unanswered: bool,
    ) {
        let cause = end.into();
        let labels = Labels { listener, cause };
        self.ends.get_or_create(&labels).inc();
        if is_unanswered {
            let ended_by: &'static str = end.party().into();
            info!(self.log, "connection ended early";
                "listener" => listener,
                "client" => %client,
                "ended_by" => ended_by,
                "cause" => cause);
        }
    }

    /// Counts and logs what a client sent behind the end of its connection.
    pub fn record_dropped(
        &self,
        listener: &'static str,
        client: SocketAddr,
        end: End,
        dropped: &DroppedBytes,
    ) {
        if dropped.read_bytes == 0 && dropped.unread_bytes == 0 {
            return;
        }
        let cause = end.into();
        let labels = Labels { listener, cause };
        let counter = self.dropped_bytes.get_or_create(&labels);
        counter.inc_by(dropped.read_bytes);
        info!(self.log, "bytes behind the end of a connection";
            "listener" => listener,
            "client" => %client,
            "cause" => cause,
            "dropped_bytes" => dropped.read_bytes,
            "unread_bytes" => dropped.unread_bytes,
            "after_ms" => dropped.after_ms);
    }
}
