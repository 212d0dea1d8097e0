//! Counters of a listener or dialer.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts connections and frames since the listener or dialer started.
#[derive(Debug, Default)]
pub struct Counters {
    established: AtomicU64,
    failed: AtomicU64,
    rejected_over_limit: AtomicU64,
    closed: AtomicU64,
    received_frames: AtomicU64,
    sent_frames: AtomicU64,
}

impl Counters {
    /// Connections whose peer was authenticated.
    #[must_use]
    pub fn established(&self) -> u64 {
        self.established.load(Ordering::Relaxed)
    }

    /// Connections that failed before the peer was authenticated: a failed handshake or, at a
    /// dialer, a failed connect.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    /// Connections that a listener closed at once because of its limits of handshakes and
    /// connections.
    #[must_use]
    pub fn rejected_over_limit(&self) -> u64 {
        self.rejected_over_limit.load(Ordering::Relaxed)
    }

    /// Authenticated connections that ended.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Frames received, without keepalives.
    #[must_use]
    pub fn received_frames(&self) -> u64 {
        self.received_frames.load(Ordering::Relaxed)
    }

    /// Frames sent, without keepalives.
    #[must_use]
    pub fn sent_frames(&self) -> u64 {
        self.sent_frames.load(Ordering::Relaxed)
    }

    pub(crate) fn count_established(&self) {
        self.established.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_rejected_over_limit(&self) {
        self.rejected_over_limit.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_closed(&self) {
        self.closed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self) {
        self.received_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_sent(&self) {
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
    }
}
