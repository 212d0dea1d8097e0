//! Tracks disk writes: the write that the current step builds, the writes not yet synced, and the
//! actions deferred until they are.

use crate::{
    api::Persist,
    message::{Entry, HardState, Message, ReplicaId, Snapshot},
};
use std::collections::VecDeque;

/// An action that promises durability and so has to wait until a write is synced.
#[derive(Clone, Debug)]
pub(crate) enum DeferredAction {
    /// Send a message.
    Send {
        /// The replica to send it to.
        to: ReplicaId,
        /// The message; discarded if the term has changed when the write is synced.
        message: Message,
    },
    /// Count the candidate's own vote.
    OwnVote {
        /// The term of the election.
        term: u64,
    },
}

/// A write that was passed to the shell and is not synced yet.
#[derive(Debug)]
struct InFlightWrite {
    ticket: u64,
    last_index: u64,
}

/// An action that waits until the write `ticket` is synced.
#[derive(Debug)]
struct QueuedAction {
    ticket: u64,
    action: DeferredAction,
}

/// The writes of a replica in order, and the actions that wait for them.
#[derive(Debug)]
pub(crate) struct Durability {
    pending: Persist,
    last_ticket: u64,
    synced_ticket: u64,
    durable_index: u64,
    in_flight: VecDeque<InFlightWrite>,
    deferred: VecDeque<QueuedAction>,
}

impl Durability {
    /// Creates a tracker without writes or actions; the log is on disk up to `durable_index`.
    pub(crate) fn new(durable_index: u64) -> Self {
        Self {
            pending: Persist::default(),
            last_ticket: 0,
            synced_ticket: 0,
            durable_index,
            in_flight: VecDeque::new(),
            deferred: VecDeque::new(),
        }
    }

    /// The last index up to which the log is synced.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(crate) fn add_hard_state(&mut self, hard_state: &HardState) {
        self.pending.hard_state = Some(hard_state.clone());
    }

    pub(crate) fn add_entry(&mut self, entry: &Entry) {
        self.pending.entries.push(entry.clone());
    }

    pub(crate) fn add_snapshot(&mut self, snapshot: &Snapshot) {
        self.pending.snapshot = Some(snapshot.clone());
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.pending.truncate_from = Some(index);
        self.pending.entries.retain(|e| e.index < index);
        self.invalidate_from(index);
    }

    /// Stops counting what the disk holds, or is about to hold, from `index` on as part of the log.
    pub(crate) fn invalidate_from(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index - 1);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    /// Defers an action until everything written so far, including the write being built, is
    /// synced.
    pub(crate) fn defer(&mut self, action: DeferredAction) {
        let ticket = self.last_ticket + u64::from(self.is_dirty());
        self.deferred.push_back(QueuedAction { ticket, action });
    }

    /// Returns the write that the step has built, if any, with the next ticket. `last_index` is the
    /// end of the log.
    pub(crate) fn take_pending(&mut self, last_index: u64) -> Option<Persist> {
        if !self.is_dirty() {
            return None;
        }
        self.last_ticket += 1;
        self.in_flight.push_back(InFlightWrite {
            ticket: self.last_ticket,
            last_index,
        });
        let mut persist = std::mem::take(&mut self.pending);
        persist.ticket = self.last_ticket;
        Some(persist)
    }

    /// Records that every write up to `ticket` is synced.
    pub(crate) fn persisted(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.last_ticket));
        while let Some(write) = self.in_flight.pop_front_if(|w| w.ticket <= ticket) {
            self.durable_index = write.last_index;
        }
    }

    /// Removes and returns the next action whose write is synced, in the order of deferral.
    pub(crate) fn pop_ready(&mut self) -> Option<DeferredAction> {
        let synced_ticket = self.synced_ticket;
        let queued = self
            .deferred
            .pop_front_if(|queued| queued.ticket <= synced_ticket)?;
        Some(queued.action)
    }

    fn is_dirty(&self) -> bool {
        self.pending != Persist::default()
    }
}
