//! Checks of the invariants of the replicated log.

use super::{Group, Machine, Node};
use raft::{Entry, Message, Payload, Raft, ReplicaId, Role, Status};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

/// A read that was requested.
struct Read {
    /// The highest index committed when it was requested.
    min_index: u64,
    requested_us: u64,
}

/// What has been observed of the replicas of a group so far, for comparison with later outputs.
#[derive(Default)]
pub struct Checks {
    /// Terms that had a leader.
    pub elections: u64,
    /// The leader of each term that had one.
    leaders: HashMap<u64, ReplicaId>,
    /// The candidate that a voter voted for in a term.
    votes: HashMap<(ReplicaId, u64), ReplicaId>,
    /// The state machine's digest after each committed entry, by index.
    digests: BTreeMap<u64, u64>,
    /// The reads that were requested, by the number of the request.
    reads: HashMap<u64, Read>,
    /// The voters of each committed membership, by the index of the entry that set it.
    voters: BTreeMap<u64, BTreeSet<ReplicaId>>,
}

impl Checks {
    /// Checks that no replica votes for two candidates in one term.
    pub fn check_vote(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) {
        let (term, choice) = match message {
            Message::Vote {
                term,
                pre: false,
                granted: true,
            } => (*term, to),
            Message::RequestVote {
                term, pre: false, ..
            } => (*term, from),
            _ => return,
        };
        let voted = self.votes.entry((from.clone(), term));
        assert_eq!(
            voted.or_insert(choice.clone()),
            choice,
            "one vote in term {term}"
        );
    }

    /// Checks that committed entries are the same on every replica, in order and without a gap.
    pub fn check_applied(&mut self, machine: &mut Machine, entry: &Entry) {
        assert_eq!(
            entry.index,
            machine.index + 1,
            "entries are applied in order"
        );
        let mut hasher = DefaultHasher::new();
        let content = serde_json::to_string(&entry.payload).unwrap();
        (machine.digest, entry.index, entry.term, content).hash(&mut hasher);
        machine.index = entry.index;
        machine.digest = hasher.finish();
        let known = *self.digests.entry(entry.index).or_insert(machine.digest);
        assert_eq!(known, machine.digest, "state machines agree at {entry:?}");
        if let Payload::Membership(membership) = &entry.payload {
            self.check_voter_change(entry.index, &membership.voters);
        }
    }

    /// Checks that each change of membership adds or removes at most one voter.
    fn check_voter_change(&mut self, index: u64, voters: &BTreeSet<ReplicaId>) {
        if let Some((_, before)) = self.voters.range(..index).next_back() {
            let changed = before.symmetric_difference(voters).count();
            assert!(changed <= 1, "from {before:?} to {voters:?}");
        }
        self.voters.insert(index, voters.clone());
    }

    /// Checks that a snapshot holds exactly the entries that were committed up to its index.
    pub fn check_restored(&self, machine: &Machine) {
        let known = self.digests.get(&machine.index);
        assert_eq!(
            known,
            Some(&machine.digest),
            "a snapshot agrees with the committed entries"
        );
    }

    /// Checks that each term has at most one leader.
    pub fn check_leader(&mut self, status: &Status) {
        if status.role != Role::Leader {
            return;
        }
        if !self.leaders.contains_key(&status.term) {
            self.elections += 1;
        }
        let leader = self.leaders.entry(status.term);
        let leader = leader.or_insert_with(|| status.id.clone());
        assert_eq!(*leader, status.id, "one leader in term {}", status.term);
    }

    pub fn committed_index(&self) -> u64 {
        self.digests.keys().next_back().copied().unwrap_or(0)
    }

    /// Records a read, which must see everything that is committed now.
    pub fn record_read(&mut self, request: u64, now_us: u64) {
        let read = Read {
            min_index: self.committed_index(),
            requested_us: now_us,
        };
        self.reads.insert(request, read);
    }

    /// Checks that a read sees everything that was committed when it was requested; returns when
    /// that was.
    pub fn check_read(&self, request: u64, index: u64) -> u64 {
        let Read {
            min_index,
            requested_us,
        } = self.reads[&request];
        assert!(
            index >= min_index,
            "read at index {index}, committed before it: {min_index}"
        );
        requested_us
    }
}

impl Group {
    /// Checks that no replica becomes leader while one of an earlier term still leads and may rely
    /// on its followers not to vote for another.
    pub fn check_leases(&self, status: &Status) {
        if status.role != Role::Leader {
            return;
        }
        for other in self.nodes.iter().filter(|other| other.id != status.id) {
            let view = other.raft.as_ref().map(Raft::status);
            let leads = view.is_some_and(|v| v.role == Role::Leader && v.term < status.term);
            assert!(
                !leads || self.now_us >= other.lease_until_us,
                "a second leader within the lease of the first"
            );
        }
    }

    /// Checks that an entry which a leader commits is on the disks of a majority. One step may
    /// commit a change of membership, begin the next one and commit more entries under it, so a
    /// majority of the membership before or after the step is enough.
    pub fn check_majority(&self, before: &Status, node: usize, entry: &Entry) {
        if before.role != Role::Leader {
            return;
        }
        let after = self.status(node);
        let on_majority = [&before.membership, &after.membership].map(|membership| {
            let voters = &membership.voters;
            let lacks =
                |n: &&Node| voters.contains(&n.id) && !n.has_on_disk(entry.index, entry.term);
            self.nodes.iter().filter(lacks).count() < voters.len().div_ceil(2)
        });
        assert!(
            on_majority.contains(&true),
            "committed {entry:?} is on the disks of a majority"
        );
    }
}
