//! What waits for the disk: the write being built, the writes under way and what they hold back.

use crate::{
    api::Persist,
    message::{Entry, HardState, Message, ReplicaId, Snapshot},
};
use std::collections::VecDeque;

/// Something that promises durability and so waits for a write.
#[derive(Clone, Debug)]
pub(crate) enum Held {
    /// A message to send.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// The candidate's own vote.
    OwnVote {
        /// The term it was given in.
        term: u64,
    },
}

#[derive(Debug)]
struct Write {
    ticket: u64,
    last_index: u64,
}

#[derive(Debug)]
struct Waiting {
    ticket: u64,
    held: Held,
}

/// The order of writes and what depends on them.
#[derive(Debug)]
pub(crate) struct Durability {
    pending: Persist,
    last_ticket: u64,
    synced_ticket: u64,
    durable_index: u64,
    writes: VecDeque<Write>,
    waiting: VecDeque<Waiting>,
}

impl Durability {
    /// Nothing waits; the log is on the disk up to `durable_index`.
    pub(crate) fn new(durable_index: u64) -> Self {
        Self {
            pending: Persist::default(),
            last_ticket: 0,
            synced_ticket: 0,
            durable_index,
            writes: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// The last index of the log that is synced.
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
        self.void_from(index);
    }

    /// Notes that what the disk holds from `index` on is no part of the log.
    pub(crate) fn void_from(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index - 1);
        for write in &mut self.writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    /// Holds something back until all that is written so far is synced.
    pub(crate) fn hold(&mut self, held: Held) {
        let ticket = self.last_ticket + u64::from(self.is_dirty());
        self.waiting.push_back(Waiting { ticket, held });
    }

    /// Ends a step: the write that it made, if any. `last_index` is the end of the log.
    pub(crate) fn flush(&mut self, last_index: u64) -> Option<Persist> {
        if !self.is_dirty() {
            return None;
        }
        self.last_ticket += 1;
        self.writes.push_back(Write {
            ticket: self.last_ticket,
            last_index,
        });
        let mut persist = std::mem::take(&mut self.pending);
        persist.ticket = self.last_ticket;
        Some(persist)
    }

    /// Notes that everything up to `ticket` is synced.
    pub(crate) fn persisted(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.last_ticket));
        while let Some(write) = self.writes.pop_front_if(|w| w.ticket <= ticket) {
            self.durable_index = write.last_index;
        }
    }

    /// The next thing that no longer has to wait.
    pub(crate) fn release(&mut self) -> Option<Held> {
        let synced_ticket = self.synced_ticket;
        let waiting = self
            .waiting
            .pop_front_if(|waiting| waiting.ticket <= synced_ticket)?;
        Some(waiting.held)
    }

    fn is_dirty(&self) -> bool {
        self.pending != Persist::default()
    }
}
