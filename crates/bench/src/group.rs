//! A group of raft replicas in memory, whose messages and writes complete at once.

use raft::{
    Entry, Input, Membership, Output, Payload, Raft, RaftConfig, ReplicaId, Restored, Role,
};
use std::collections::{BTreeMap, VecDeque};

const HEARTBEAT_US: u64 = 150_000;
const ELECTION_US: u64 = 1_000_000;
const TICK_US: u64 = 50_000;

/// Number of commits between two snapshots.
const SNAPSHOT_COMMITS: u64 = 1_024;

/// A group of replicas that has elected a leader.
#[derive(Debug)]
pub struct Group {
    nodes: BTreeMap<ReplicaId, Raft>,
    leader: ReplicaId,
    now_us: u64,
    next_request: u64,
    /// Commands that the replicas applied, summed over all of them.
    pub applied: u64,
    /// Messages that the replicas sent to each other.
    pub messages: u64,
}

impl Group {
    /// Starts a group with this number of voters and waits until it has elected a leader.
    #[must_use]
    pub fn new(voters: u32) -> Self {
        let id = |number| ReplicaId {
            name: format!("control-{number}"),
            incarnation: 1,
        };
        let voters: Vec<ReplicaId> = (1..=voters).map(id).collect();
        let membership = Membership {
            voters: voters.iter().cloned().collect(),
            ..Membership::default()
        };
        let node = |(seed, id): (u64, &ReplicaId)| {
            let restored = Restored {
                initial_membership: Some(membership.clone()),
                ..Restored::default()
            };
            (id.clone(), Raft::new(config(id, seed), restored, 0))
        };
        let mut group = Self {
            nodes: (1..).zip(&voters).map(node).collect(),
            leader: voters[0].clone(),
            now_us: 0,
            next_request: 0,
            applied: 0,
            messages: 0,
        };
        while !group.find_leader() {
            group.advance_time(TICK_US);
        }
        group
    }

    fn find_leader(&mut self) -> bool {
        let is_leader = |node: &&Raft| node.status().role == Role::Leader;
        let leader = self
            .nodes
            .values()
            .find(is_leader)
            .map(|node| node.status().id);
        leader.map(|leader| self.leader = leader).is_some()
    }

    /// Lets time pass at every replica and delivers the messages that follow.
    pub fn advance_time(&mut self, elapsed_us: u64) {
        self.now_us += elapsed_us;
        let ids: Vec<ReplicaId> = self.nodes.keys().cloned().collect();
        for id in ids {
            self.step_until_idle(id, Input::Tick);
        }
    }

    /// Proposes a command at the leader, which commits it, then lets a heartbeat's interval pass,
    /// in which the other replicas apply it. Every 1,024 commits the replicas take a snapshot.
    pub fn commit(&mut self, data: Vec<u8>) {
        self.next_request += 1;
        let request = self.next_request;
        self.step_until_idle(self.leader.clone(), Input::Propose { request, data });
        self.advance_time(HEARTBEAT_US);
        if request.is_multiple_of(SNAPSHOT_COMMITS) {
            self.snapshot_all();
        }
    }

    fn snapshot_all(&mut self) {
        let ids: Vec<(ReplicaId, u64)> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.commit_index()))
            .collect();
        for (id, index) in ids {
            let data = Vec::new();
            self.step_until_idle(id, Input::SnapshotTaken { index, data });
        }
    }

    fn step_until_idle(&mut self, id: ReplicaId, input: Input) {
        let mut inputs = VecDeque::from([(id, input)]);
        let mut outputs = Vec::new();
        while let Some((id, input)) = inputs.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            node.step(self.now_us, input, &mut outputs);
            for output in outputs.drain(..) {
                match output {
                    Output::Send { to, message } => {
                        self.messages += 1;
                        let from = id.clone();
                        inputs.push_back((to, Input::Receive { from, message }));
                    }
                    Output::Persist(persist) => {
                        let ticket = persist.ticket;
                        inputs.push_back((id.clone(), Input::Persisted { ticket }));
                    }
                    Output::Apply(Entry {
                        payload: Payload::Command(_),
                        ..
                    }) => self.applied += 1,
                    _ => {}
                }
            }
        }
    }
}

fn config(id: &ReplicaId, seed: u64) -> RaftConfig {
    RaftConfig {
        id: id.clone(),
        heartbeat_interval_us: HEARTBEAT_US,
        election_timeout_min_us: ELECTION_US,
        append_max_bytes: 256 * 1024,
        snapshot_chunk_bytes: 256 * 1024,
        seed,
    }
}
