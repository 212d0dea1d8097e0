//! What a leader knows of one peer.

use crate::message::Snapshot;
use std::{collections::VecDeque, sync::Arc};

/// The most messages with entries under way to one peer.
const IN_FLIGHT_MAX_MESSAGES: usize = 64;

/// The largest exponent of the back-off between tries of a snapshot part.
const BACKOFF_MAX_EXPONENT: u32 = 4;

/// How the peer is being brought up to date.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The peer's log is unknown: one message at a time, which is awaited if there is one.
    Probe(Option<Probe>),
    /// Messages follow one another without waiting for answers.
    Replicate,
    /// The peer needs entries that are gone.
    Snapshot(Transfer),
}

/// A message under way to a peer whose log is unknown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// Its first index.
    pub(crate) from_index: u64,
    /// Until when a refusal that asks for this index may be one of an earlier message.
    pub(crate) settled_at_us: u64,
}

/// A snapshot on its way to a peer, one part at a time.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// What is sent; it stays even if the log moves on to a newer one.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Where the part under way starts.
    pub(crate) offset_bytes: u64,
    /// When the part is sent again.
    pub(crate) resend_at_us: u64,
    /// How often the part was sent.
    pub(crate) tries: u32,
}

impl Transfer {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset_bytes: 0,
            resend_at_us: 0,
            tries: 0,
        }
    }

    /// Notes that the part was sent, and doubles the wait until it is sent again.
    pub(crate) fn note_sent(&mut self, now_us: u64, first_wait_us: u64) {
        let exponent = self.tries.min(BACKOFF_MAX_EXPONENT);
        self.resend_at_us = now_us + (first_wait_us << exponent);
        self.tries += 1;
    }
}

#[derive(Debug)]
struct Flight {
    last_index: u64,
    size_bytes: usize,
}

/// A peer as the leader sees it.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index known to be synced at the peer.
    pub(crate) match_index: u64,
    /// The next index to send.
    pub(crate) next_index: u64,
    /// How it is being brought up to date.
    pub(crate) mode: Mode,
    /// Until when it counts as reachable.
    pub(crate) alive_until_us: u64,
    /// The latest round that it answered.
    pub(crate) heard_round: u64,
    in_flight: VecDeque<Flight>,
    in_flight_bytes: usize,
}

impl Progress {
    /// A peer of which nothing is known.
    pub(crate) fn new(next_index: u64, alive_until_us: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: Mode::Probe(None),
            alive_until_us,
            heard_round: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    pub(crate) fn is_alive(&self, now_us: u64) -> bool {
        now_us <= self.alive_until_us
    }

    /// When the peer was last heard, which counts as alive for one election timeout.
    pub(crate) const fn silent_since_us(&self, election_us: u64) -> u64 {
        self.alive_until_us.saturating_sub(election_us)
    }

    /// Whether another message with entries may be sent.
    pub(crate) fn has_room(&self, max_bytes: usize) -> bool {
        self.in_flight_bytes < max_bytes && self.in_flight.len() < IN_FLIGHT_MAX_MESSAGES
    }

    /// Notes entries under way.
    pub(crate) fn note_sent(&mut self, last_index: u64, size_bytes: usize) {
        self.next_index = last_index + 1;
        self.in_flight_bytes += size_bytes;
        self.in_flight.push_back(Flight {
            last_index,
            size_bytes,
        });
    }

    /// Notes that the peer has synced the log up to `index`.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some(flight) = self.in_flight.pop_front_if(|f| f.last_index <= index) {
            self.in_flight_bytes -= flight.size_bytes;
        }
        match &self.mode {
            Mode::Probe(_) => self.mode = Mode::Replicate,
            Mode::Snapshot(transfer) if index >= transfer.snapshot.index => self.probe(index + 1),
            Mode::Snapshot(_) | Mode::Replicate => {}
        }
    }

    /// Goes on from `next_index` with one message at a time.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = Mode::Probe(None);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Takes a refusal: goes on from where the peer's log ends or differs.
    pub(crate) fn go_back(&mut self, next_index: u64, now_us: u64) {
        let is_outdated = next_index <= self.match_index || next_index >= self.next_index;
        match &mut self.mode {
            Mode::Snapshot(_) => {}
            Mode::Probe(under_way) if next_index >= self.next_index => *under_way = None,
            Mode::Probe(Some(probe))
                if next_index == probe.from_index && now_us < probe.settled_at_us => {}
            Mode::Probe(_) | Mode::Replicate if is_outdated => {}
            Mode::Probe(_) | Mode::Replicate => self.probe(next_index),
        }
    }

    /// Starts to send a snapshot.
    pub(crate) fn start_transfer(&mut self, snapshot: Arc<Snapshot>) {
        self.probe(snapshot.index + 1);
        self.mode = Mode::Snapshot(Transfer::new(snapshot));
    }
}
