//! The follower's side of replication.

use super::Raft;
use crate::message::{Entry, Message, ReplicaId};

impl Raft {
    /// Tells the sender of an outdated message which term has come.
    pub(super) fn answer_stale(&mut self, from: &ReplicaId, message: &Message) {
        let (Message::Append { round, .. } | Message::InstallSnapshot { round, .. }) = message
        else {
            return;
        };
        let refused = self.appended_message(false, 0, *round);
        self.send(from, refused);
    }

    /// Takes entries, or a heartbeat, from the leader of this term.
    pub(super) fn append(&mut self, from: &ReplicaId, message: Message) {
        let Message::Append {
            prev_index,
            prev_term,
            commit,
            round,
            entries,
            ..
        } = message
        else {
            return;
        };
        self.hear_leader(from);
        if let Some(next_index) = self.mismatch(prev_index, prev_term) {
            let refused = self.appended_message(false, next_index, round);
            return self.send(from, refused);
        }
        let match_index = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit_to(commit.min(match_index));
        let match_index = match_index.max(self.log.base_index());
        if is_heartbeat {
            let durable_index = match_index.min(self.durability.durable_index());
            let heard = self.appended_message(true, durable_index, round);
            self.send(from, heard);
        } else {
            let stored = self.appended_message(true, match_index, round);
            self.send_durably(from, stored);
        }
    }

    /// Where the leader should go on from, unless the log holds the entry before the new ones.
    fn mismatch(&self, prev_index: u64, prev_term: u64) -> Option<u64> {
        if prev_index <= self.log.base_index() {
            return None;
        }
        match self.log.term_at(prev_index) {
            Some(term) if term == prev_term => None,
            Some(_) => {
                let first = self.log.term_start(prev_index);
                Some(first.max(self.commit_index + 1))
            }
            None => Some(self.log.last_index() + 1),
        }
    }

    /// Adds an entry unless it is there; an entry of another term is void, with what follows it.
    ///
    /// A leader that would void a committed entry breaks the log: the process must not go on.
    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit_index, "a committed entry is void");
                self.log.truncate_from(entry.index);
                self.durability.truncate_from(entry.index);
            }
            None => {}
        }
        self.durability.add_entry(&entry);
        self.log.append(entry);
    }

    fn appended_message(&self, success: bool, match_index: u64, round: u64) -> Message {
        Message::Appended {
            term: self.hard_state.term,
            success,
            match_index,
            round,
        }
    }
}
