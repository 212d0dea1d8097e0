//! The follower's side of log replication: checks, stores and acknowledges the leader's entries.

use super::Raft;
use crate::message::{Entry, Message, ReplicaId};

impl Raft {
    /// Answers an append or a snapshot chunk of an outdated leader, so that it learns the new term.
    pub(super) fn reject_stale(&mut self, from: &ReplicaId, message: &Message) {
        let (Message::Append { round, .. } | Message::InstallSnapshot { round, .. }) = message
        else {
            return;
        };
        let rejection = self.appended_message(false, 0, *round);
        self.send(from, rejection);
    }

    /// Handles an append, which may be a heartbeat, from the leader of this term.
    pub(super) fn handle_append(&mut self, from: &ReplicaId, message: Message) {
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
        self.record_leader_contact(from);
        self.told_commit_index = self.told_commit_index.max(commit);
        if let Some(next_index) = self.conflict_index(prev_index, prev_term) {
            let rejection = self.appended_message(false, next_index, round);
            return self.send(from, rejection);
        }
        let match_index = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit_to(commit.min(match_index));
        let match_index = match_index.max(self.log.base_index());
        if is_heartbeat {
            let durable_index = match_index.min(self.durability.durable_index());
            let answer = self.appended_message(true, durable_index, round);
            self.send(from, answer);
        } else {
            let answer = self.appended_message(true, match_index, round);
            self.send_durably(from, answer);
        }
    }

    /// The index from which the leader should send again; `None` if the log has the entry before
    /// the new ones.
    fn conflict_index(&self, prev_index: u64, prev_term: u64) -> Option<u64> {
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

    /// Appends an entry unless the log has it. An entry of another term at its index is removed
    /// first, with all that follow it.
    ///
    /// Panics if a committed entry would be removed: the log would diverge from that of the group,
    /// so the process must not go on.
    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(
                    entry.index > self.commit_index,
                    "an append would replace the committed entry {}",
                    entry.index
                );
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
