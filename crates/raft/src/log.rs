//! The log in memory: the latest snapshot, the entries kept in memory and the memberships that
//! these set.

use crate::message::{Entry, Membership, Payload, Snapshot};
use std::{collections::VecDeque, sync::Arc};

/// The most entries kept up to a snapshot's index, so that a follower that is only a little behind
/// can still be sent entries instead of the snapshot.
const TRAILING_ENTRIES: u64 = 256;

/// The largest sum of the entries kept up to a snapshot's index, in bytes.
const TRAILING_MAX_BYTES: usize = 1024 * 1024;

/// What the limits on bytes count for an entry in addition to its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// A membership and the index of the entry that set it.
#[derive(Clone, Debug)]
struct MembershipAt {
    index: u64,
    membership: Membership,
}

/// The log of one replica. Entries have consecutive indices from `base_index + 1`.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    memberships: Vec<MembershipAt>,
}

impl Log {
    /// Creates a log without entries that starts at `snapshot` or, without one, at index 0 with the
    /// initial membership.
    pub(crate) fn new(snapshot: Option<Snapshot>, initial_membership: Membership) -> Self {
        let mut log = Self {
            base_index: 0,
            base_term: 0,
            entries: VecDeque::new(),
            snapshot: None,
            memberships: vec![MembershipAt {
                index: 0,
                membership: initial_membership,
            }],
        };
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        log
    }

    /// The index before the first entry in memory; 0 if the log still has its first entry.
    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// The term of the entry at `index`; `None` below the base index or beyond the end of the log.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `index` on whose sizes add up to at most `max_bytes`, but at least one if
    /// there is any.
    pub(crate) fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut sum_bytes = 0;
        let mut selected = Vec::new();
        while let Some(entry) = self.entry(index + selected.len() as u64) {
            sum_bytes += size_bytes(entry);
            if !selected.is_empty() && sum_bytes > max_bytes {
                break;
            }
            selected.push(entry.clone());
        }
        selected
    }

    /// The first index in memory of the run of entries that have the same term as that at `index`.
    pub(crate) fn term_start(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(MembershipAt {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on, and the memberships that they set.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.memberships.retain(|m| m.index < index);
    }

    /// Stores a snapshot whose last entry is in the log, and drops the entries and memberships that
    /// it replaces, except for some trailing entries.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>) {
        let new_base = self.trailing_base(snapshot.index);
        if new_base > self.base_index {
            self.base_term = self.term_at(new_base).unwrap_or(self.base_term);
            self.entries
                .drain(..usize::try_from(new_base - self.base_index).unwrap_or(0));
            self.base_index = new_base;
        }
        self.drop_memberships_before(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// The index before the trailing entries to keep up to a snapshot at `index`.
    fn trailing_base(&self, index: u64) -> u64 {
        let mut base = index;
        let mut sum_bytes = 0;
        while index - base < TRAILING_ENTRIES {
            let Some(entry) = self.entry(base) else { break };
            sum_bytes += size_bytes(entry);
            if sum_bytes > TRAILING_MAX_BYTES {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Replaces the whole log by a snapshot and drops every entry.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships = vec![MembershipAt {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.snapshot = Some(snapshot);
    }

    /// The latest membership in the log, which is in force even before it is committed.
    pub(crate) fn membership(&self) -> &Membership {
        &self.latest_membership().membership
    }

    /// The index of the entry or snapshot that set the latest membership; 0 for the initial one.
    pub(crate) fn membership_index(&self) -> u64 {
        self.latest_membership().index
    }

    /// The membership in force at `index`.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        let found = self.memberships.iter().rev().find(|m| m.index <= index);
        &found.unwrap_or(&self.memberships[0]).membership
    }

    fn latest_membership(&self) -> &MembershipAt {
        &self.memberships[self.memberships.len() - 1]
    }

    /// Drops the memberships that were no longer in force at `index`.
    fn drop_memberships_before(&mut self, index: u64) {
        let older = self.memberships.iter().filter(|m| m.index <= index).count();
        self.memberships.drain(..older.saturating_sub(1));
    }
}

/// The size of an entry as the limits on bytes count it.
pub(crate) fn size_bytes(entry: &Entry) -> usize {
    let payload_bytes = match &entry.payload {
        Payload::Noop => 0,
        Payload::Command(data) => data.len(),
        Payload::Membership(membership) => {
            let members = membership.voters.iter().chain(&membership.learners);
            members.map(|id| id.name.len() + 10).sum()
        }
    };
    ENTRY_OVERHEAD_BYTES + payload_bytes
}
