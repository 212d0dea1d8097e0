//! The invariants of the replicated log.

use super::{Group, Machine, Node};
use raft::{Entry, Message, Payload, Raft, ReplicaId, Role, Status};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

struct Read {
    floor: u64,
    asked_us: u64,
}

/// What the replicas of a group have shown so far.
#[derive(Default)]
pub struct Checks {
    pub elections: u64,
    leaders: HashMap<u64, ReplicaId>,
    votes: HashMap<(ReplicaId, u64), ReplicaId>,
    digests: BTreeMap<u64, u64>,
    reads: HashMap<u64, Read>,
    voters: BTreeMap<u64, BTreeSet<ReplicaId>>,
}

impl Checks {
    /// No replica votes for two candidates of one term.
    pub fn sent(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) {
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
        assert_eq!(voted.or_insert(choice.clone()), choice, "one vote a term");
    }

    /// Committed entries are the same on every replica, in order and without a gap.
    pub fn applied(&mut self, machine: &mut Machine, entry: &Entry) {
        assert_eq!(entry.index, machine.index + 1, "entries come in order");
        let mut hasher = DefaultHasher::new();
        let content = serde_json::to_string(&entry.payload).unwrap();
        (machine.digest, entry.index, entry.term, content).hash(&mut hasher);
        machine.index = entry.index;
        machine.digest = hasher.finish();
        let known = *self.digests.entry(entry.index).or_insert(machine.digest);
        assert_eq!(known, machine.digest, "state machines agree at {entry:?}");
        if let Payload::Membership(membership) = &entry.payload {
            self.changed_voters(entry.index, &membership.voters);
        }
    }

    /// Voters change one at a time.
    fn changed_voters(&mut self, index: u64, voters: &BTreeSet<ReplicaId>) {
        if let Some((_, before)) = self.voters.range(..index).next_back() {
            let changed = before.symmetric_difference(voters).count();
            assert!(changed <= 1, "from {before:?} to {voters:?}");
        }
        self.voters.insert(index, voters.clone());
    }

    /// A snapshot holds what was committed.
    pub fn restored(&self, machine: &Machine) {
        let known = self.digests.get(&machine.index);
        assert_eq!(known, Some(&machine.digest), "a snapshot agrees");
    }

    /// One leader a term.
    pub fn changed(&mut self, status: &Status) {
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

    /// A read must see everything that was committed when it came.
    pub fn reading(&mut self, request: u64, now_us: u64) {
        let read = Read {
            floor: self.committed_index(),
            asked_us: now_us,
        };
        self.reads.insert(request, read);
    }

    /// Returns when the read came.
    pub fn read_ready(&self, request: u64, index: u64) -> u64 {
        let Read { floor, asked_us } = self.reads[&request];
        assert!(index >= floor, "read at {index} of what was {floor}");
        asked_us
    }
}

impl Group {
    /// No replica leads while another that leads relies on the promises not to vote.
    pub fn check_leases(&self, status: &Status) {
        if status.role != Role::Leader {
            return;
        }
        for other in self.nodes.iter().filter(|other| other.id != status.id) {
            let view = other.raft.as_ref().map(Raft::status);
            let leads = view.is_some_and(|v| v.role == Role::Leader && v.term < status.term);
            assert!(!leads || self.now_us >= other.sure_until_us, "two leaders");
        }
    }

    /// An entry that a leader commits is on the disks of a majority. One step may commit a change of
    /// membership, begin the next and commit more by it, so the membership before or after counts.
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
        assert!(on_majority.contains(&true), "{entry:?} is on a majority");
    }
}
