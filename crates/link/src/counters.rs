//! Counters of a listener or dialer.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts what became of connections and frames.
#[derive(Debug, Default)]
pub struct Counters {
    established: AtomicU64,
    refused: AtomicU64,
    rejected: AtomicU64,
    broken: AtomicU64,
    received_frames: AtomicU64,
    sent_frames: AtomicU64,
}

impl Counters {
    /// Connections whose peer was authenticated.
    #[must_use]
    pub fn established(&self) -> u64 {
        self.established.load(Ordering::Relaxed)
    }

    /// Connections whose handshake failed.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Connections closed at once because too many stood already.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Authenticated connections that ended.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.broken.load(Ordering::Relaxed)
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

    pub(crate) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_broken(&self) {
        self.broken.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self) {
        self.received_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_sent(&self) {
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
    }
}
