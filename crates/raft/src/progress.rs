//! The leader's record of one peer: how far its log matches, what is in flight, when it answered.

use crate::message::Snapshot;
use std::{collections::VecDeque, sync::Arc};

/// The most unacknowledged messages with entries in flight to one peer.
const IN_FLIGHT_MAX_MESSAGES: usize = 64;

/// Caps the exponential back-off of unanswered snapshot chunks: the wait before the next attempt is
/// at most two to this power times the first wait.
const BACKOFF_MAX_EXPONENT: u32 = 4;

/// How the leader sends the log to a peer.
#[derive(Debug)]
pub(crate) enum Mode {
    /// It isn't known up to where the peer's log matches. Appends are sent one at a time; this
    /// holds the one in flight, if any.
    Probe(Option<Probe>),
    /// The peer has acknowledged an append: more are sent without waiting for further answers.
    Replicate,
    /// The peer needs entries that the leader has dropped, so it gets a snapshot first.
    Snapshot(SnapshotTransfer),
}

/// An append in flight to a peer in [`Mode::Probe`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// The index of its first entry.
    pub(crate) from_index: u64,
    /// Before this time, a rejection that asks for `from_index` may answer an earlier append and is
    /// ignored.
    pub(crate) ignore_rejections_until_us: u64,
}

/// A snapshot that is being sent to a peer, one chunk at a time.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    /// The snapshot being sent; a newer one in the log doesn't replace it during the transfer.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Where the chunk in flight starts in the snapshot's data.
    pub(crate) offset_bytes: u64,
    /// When the chunk in flight is sent again unless it is answered before.
    pub(crate) resend_at_us: u64,
    /// How often the chunk in flight was sent, or was due while the peer was unreachable.
    pub(crate) attempts: u32,
}

impl SnapshotTransfer {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset_bytes: 0,
            resend_at_us: 0,
            attempts: 0,
        }
    }

    /// Records one more attempt, and schedules the next after twice the wait of the last one, up to
    /// the limit of [`BACKOFF_MAX_EXPONENT`].
    pub(crate) fn record_sent(&mut self, now_us: u64, first_wait_us: u64) {
        let exponent = self.attempts.min(BACKOFF_MAX_EXPONENT);
        self.resend_at_us = now_us + (first_wait_us << exponent);
        self.attempts += 1;
    }
}

/// An append with entries that the peer has not acknowledged yet.
#[derive(Debug)]
struct InFlightAppend {
    last_index: u64,
    size_bytes: usize,
}

/// The leader's record of one peer.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index at which the peer's log is known to match and to be synced.
    pub(crate) match_index: u64,
    /// The index of the next entry to send.
    pub(crate) next_index: u64,
    /// How entries are currently sent to it.
    pub(crate) mode: Mode,
    /// Until when it counts as reachable: one election timeout after its latest answer.
    pub(crate) alive_until_us: u64,
    /// The latest round for confirming reads that it answered.
    pub(crate) acked_round: u64,
    in_flight: VecDeque<InFlightAppend>,
    in_flight_bytes: usize,
}

impl Progress {
    /// Creates the record of a peer that has not answered in this term yet.
    pub(crate) fn new(next_index: u64, alive_until_us: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: Mode::Probe(None),
            alive_until_us,
            acked_round: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    pub(crate) fn is_alive(&self, now_us: u64) -> bool {
        now_us <= self.alive_until_us
    }

    /// When the peer last answered or, before its first answer, when this record was created.
    pub(crate) const fn last_heard_us(&self, election_timeout_min_us: u64) -> u64 {
        self.alive_until_us.saturating_sub(election_timeout_min_us)
    }

    /// Whether another message with entries may be sent.
    pub(crate) fn can_send(&self, max_bytes: usize) -> bool {
        self.in_flight_bytes < max_bytes && self.in_flight.len() < IN_FLIGHT_MAX_MESSAGES
    }

    /// Records that entries up to `last_index` were sent.
    pub(crate) fn record_sent(&mut self, last_index: u64, size_bytes: usize) {
        self.next_index = last_index + 1;
        self.in_flight_bytes += size_bytes;
        self.in_flight.push_back(InFlightAppend {
            last_index,
            size_bytes,
        });
    }

    /// Records that the peer has synced the log up to `index`.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some(sent) = self.in_flight.pop_front_if(|f| f.last_index <= index) {
            self.in_flight_bytes -= sent.size_bytes;
        }
        match &self.mode {
            Mode::Probe(_) => self.mode = Mode::Replicate,
            Mode::Snapshot(transfer) if index >= transfer.snapshot.index => self.probe(index + 1),
            Mode::Snapshot(_) | Mode::Replicate => {}
        }
    }

    /// Switches to one append at a time, starting with the entry at `next_index`.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = Mode::Probe(None);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Handles a rejected append: continues from `next_index`, where the peer's log ends or
    /// differs, unless the rejection is outdated.
    pub(crate) fn handle_rejection(&mut self, next_index: u64, now_us: u64) {
        let is_outdated = next_index <= self.match_index || next_index >= self.next_index;
        match &mut self.mode {
            Mode::Snapshot(_) => {}
            Mode::Probe(in_flight) if next_index >= self.next_index => *in_flight = None,
            Mode::Probe(Some(probe))
                if next_index == probe.from_index && now_us < probe.ignore_rejections_until_us => {}
            Mode::Probe(_) | Mode::Replicate if is_outdated => {}
            Mode::Probe(_) | Mode::Replicate => self.probe(next_index),
        }
    }

    /// Switches to sending `snapshot`, from its first chunk.
    pub(crate) fn start_transfer(&mut self, snapshot: Arc<Snapshot>) {
        self.probe(snapshot.index + 1);
        self.mode = Mode::Snapshot(SnapshotTransfer::new(snapshot));
    }
}
